package hysqueue_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysqueue"
	"hyssopshore/internal/hyssuite"
)

func TestMain(m *testing.M) { hyssuite.Main(m, 100) }

func TestQueue(t *testing.T) {
	hyssuite.Run(t, "Queue")
}

func acceptAll(hysqueue.Item) bool { return true }

// Times around the one at which the items are popped.
var (
	popTime   = time.Unix(1000, 0)
	beforePop = popTime.Add(-time.Millisecond)
	afterPop  = popTime.Add(time.Millisecond)
)

// item parses group/weight/class/cost, the cost in milliseconds. For an item with a
// goal, /late, /due or /returning follows.
func item(text string) hysqueue.Item {
	parts := strings.Split(text, "/")
	weight, err := strconv.ParseUint(parts[1], 10, 32)
	Expect(err).NotTo(HaveOccurred())
	class, err := hysquery.ParseClass(parts[2])
	Expect(err).NotTo(HaveOccurred())
	cost, err := strconv.Atoi(parts[3])
	Expect(err).NotTo(HaveOccurred())
	i := hysqueue.Item{
		Group: hysgroup.Name(parts[0]), Weight: uint32(weight), Class: class,
		Cost: time.Duration(cost) * time.Millisecond,
	}
	if len(parts) > 4 {
		i.StartBy = map[string]time.Time{"late": beforePop, "due": afterPop, "returning": afterPop}[parts[4]]
		i.Late = parts[4] == "returning"
	}
	return i
}

var _ = Describe("the order of a queue", func() {
	var scripts []struct {
		Name  string
		Fifo  bool
		Push  []string
		Order []string
	}
	hyssuite.Read("order.json", &scripts)
	for _, s := range scripts {
		It(s.Name, func() {
			var options []hysqueue.Option
			if s.Fifo {
				options = append(options, hysqueue.FirstInFirstOut())
			}
			q := hysqueue.New(options...)
			for _, p := range s.Push {
				q.Push(item(p))
			}
			var order []string
			for q.Len() > 0 {
				q.DemoteLate(popTime)
				i, ok := q.Pop(acceptAll)
				Expect(ok).To(BeTrue())
				order = append(order, fmt.Sprintf("%s/%s", i.Group, i.Class))
			}
			Expect(order).To(Equal(s.Order))
		})
	}

	It("counts no late items ahead of a new one", func() {
		q := hysqueue.New()
		q.Push(item("a/1/bulk/10/late"))
		q.Push(item("b/1/bulk/10/late"))
		q.Push(item("a/1/bulk/10/due"))
		Expect(q.ItemsAhead(item("a/1/bulk/10"))).To(Equal(3))
		q.DemoteLate(popTime)
		Expect(q.ItemsAhead(item("a/1/bulk/10"))).To(Equal(1))
		Expect(q.Len()).To(Equal(3))
	})

	It("expects a late item to wait for more items than are waiting now", func() {
		q, late := hysqueue.New(), item("a/1/bulk/10/returning")
		q.Push(late)
		Expect(q.ItemsAhead(late)).To(Equal(1), "nothing else is waiting")
		q.Push(item("a/1/bulk/10/due"))
		Expect(q.ItemsAhead(late)).To(BeNumerically(">", 10), "other items go first for some turns")
	})

	It("evicts groups without waiting items", func() {
		q := hysqueue.New()
		q.Push(item("busy/1/bulk/1"))
		for i := range 10_000 {
			q.Push(item(fmt.Sprintf("once-%d/1/urgent/1", i)))
			q.Push(item("busy/1/bulk/1"))
			for range 2 {
				_, ok := q.Pop(acceptAll)
				Expect(ok).To(BeTrue())
			}
		}
		Expect(q.GroupCount()).To(BeNumerically("<", 150))
	})
})

// oracle holds the serials that must be in the queue, by group and class, oldest
// first.
type oracle map[string][]int

func key(i hysqueue.Item) string { return fmt.Sprintf("%s/%s", i.Group, i.Class) }

// TestContents checks that no item is lost, duplicated or overtaken by one of its own
// group and class, whatever is pushed, popped, charged and removed.
func TestContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, model, lastSerial := hysqueue.New(), oracle{}, 0
		drawItem := func(t *rapid.T) hysqueue.Item {
			lastSerial++
			return hysqueue.Item{
				Group:  hysgroup.Name(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "group")),
				Weight: rapid.Uint32Range(0, 3).Draw(t, "weight"),
				Class:  hysquery.Class(rapid.IntRange(0, 1).Draw(t, "class")),
				Cost:   time.Duration(rapid.IntRange(0, 50).Draw(t, "cost")) * time.Millisecond,
				Value:  lastSerial,
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				i := drawItem(t)
				q.Push(i)
				model[key(i)] = append(model[key(i)], lastSerial)
			},
			"push front": func(t *rapid.T) {
				i := drawItem(t)
				q.PushFront(i)
				model[key(i)] = slices.Insert(model[key(i)], 0, lastSerial)
			},
			"pop": func(t *rapid.T) {
				odd := rapid.Bool().Draw(t, "odd")
				accept := func(i hysqueue.Item) bool { return !odd || i.Value.(int)%2 == 1 }
				i, ok := q.Pop(accept)
				if ok != model.any(odd) {
					t.Fatalf("Pop found %t", ok)
				}
				if ok && !model.removeFirst(key(i), i.Value.(int), odd) {
					t.Fatalf("%v of %s is not the oldest", i.Value, key(i))
				}
				if ok {
					q.Charge(i, time.Duration(rapid.IntRange(-50, 50).Draw(t, "used"))*time.Millisecond)
				}
			},
			"remove": func(t *rapid.T) {
				dropped := rapid.IntRange(0, lastSerial).Draw(t, "serial")
				for _, i := range q.Remove(func(i hysqueue.Item) bool { return i.Value.(int) == dropped }) {
					model[key(i)] = slices.DeleteFunc(model[key(i)], func(n int) bool { return n == dropped })
				}
			},
			"": func(t *rapid.T) {
				total := 0
				for _, waiting := range model {
					total += len(waiting)
				}
				if q.Len() != total {
					t.Fatalf("%d items instead of %d", q.Len(), total)
				}
			},
		})
	})
}

func (o oracle) any(odd bool) bool {
	for _, waiting := range o {
		if slices.ContainsFunc(waiting, func(n int) bool { return !odd || n%2 == 1 }) {
			return true
		}
	}
	return false
}

func (o oracle) removeFirst(key string, serial int, odd bool) bool {
	i := slices.IndexFunc(o[key], func(n int) bool { return !odd || n%2 == 1 })
	if i < 0 || o[key][i] != serial {
		return false
	}
	o[key] = slices.Delete(o[key], i, i+1)
	return true
}

// TestShares checks that groups with waiting items at all times get slot time by
// weight, whatever classes they use, within one item and the urgent credit.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := hysqueue.New()
		const groups, longest = 3, 50
		weights := make([]uint32, groups)
		used := make([]float64, groups)
		push := func(g int) {
			q.Push(hysqueue.Item{
				Group: hysgroup.Name(strconv.Itoa(g)), Weight: weights[g], Value: g,
				Class: hysquery.Class(rapid.IntRange(0, 1).Draw(t, "class")),
				Cost:  time.Duration(rapid.IntRange(1, longest).Draw(t, "cost")) * time.Millisecond,
			})
		}
		for g := range groups {
			weights[g] = rapid.Uint32Range(1, 5).Draw(t, "weight")
			push(g)
			push(g)
		}
		for range rapid.IntRange(1, 300).Draw(t, "pops") {
			i, ok := q.Pop(acceptAll)
			if !ok {
				t.Fatal("no item is waiting")
			}
			g := i.Value.(int)
			used[g] += i.Cost.Seconds() / float64(weights[g])
			push(g)
		}
		bound := hysqueue.UrgentCredit.Seconds() + 2*longest*time.Millisecond.Seconds()
		for g := range groups {
			for h := range groups {
				if used[g]-used[h] > bound {
					t.Fatalf("group %d used %f s per unit of weight, group %d only %f", g, used[g], h, used[h])
				}
			}
		}
	})
}
