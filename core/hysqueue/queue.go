// Package hysqueue divides the slots of searchers between groups.
//
// A Queue is a weighted fair queue: each group has a virtual time that
// advances by the slot time it used, divided by its weight, and the group with
// the lowest virtual time goes next. A group's urgent requests go before its
// bulk ones. They also go before the requests of groups with a lower virtual
// time, as long as the group is at most a credit of slot time ahead of them:
// an urgent request within its group's share hardly waits, and a group that
// marks all as urgent gets no more than its share.
//
// An item that has missed its goal goes behind all that have not, of every group, but
// for one turn of a few. This answers a crowd: what is worked off in the order of
// arrival has soon missed its goal as a whole, and holds the slots in which later ones
// would make theirs. The late ones still end before their callers give up.
//
// # Usage
//
//	q := hysqueue.New()
//	q.Push(hysqueue.Item{Group: "a", Weight: 1, Class: hysquery.ClassUrgent, Work: w})
//	q.Demote(now)
//	item, ok := q.Pop(accept)
//	q.Charge(item, used-item.Cost)
//
// A Queue is not safe for concurrent use; its owner holds a lock.
package hysqueue

import (
	"slices"
	"time"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysquery"
)

// lateTurns is how many turns others have between two late items.
const lateTurns = 8

// lateClass holds the items of all classes that have missed their goal.
const lateClass = int(hysquery.ClassBulk) + 1

// classCount is how many classes of items there are.
const classCount = lateClass + 1

// UrgentCredit is the slot time that a group's urgent requests may use ahead
// of its share.
const UrgentCredit = 100 * time.Millisecond

// Item is one sub-request that waits for a slot.
type Item struct {
	Group  hysgroup.Name
	Weight uint32
	Class  hysquery.Class
	// Cost is the slot time that the item is expected to use. It is charged
	// on Pop and corrected by Charge.
	Cost time.Duration
	// StartBy is when the item must have begun to make its goal, zero if it has none.
	StartBy time.Time
	// Late items have missed their goal before they wait.
	Late bool
	// Value belongs to the caller.
	Value any
}

// lateAt reports whether the item has missed its goal.
func (i Item) lateAt(now time.Time) bool { return !i.StartBy.IsZero() && now.After(i.StartBy) }

// Option changes a Queue.
type Option func(*Queue)

// FirstInFirstOut makes the queue ignore groups and classes. It is the
// baseline that fair queueing is measured against.
func FirstInFirstOut() Option {
	return func(q *Queue) { q.fifo = true }
}

// Queue is a weighted fair queue.
type Queue struct {
	fifo  bool
	flows map[hysgroup.Name]*flow
	// order holds the flows in the order of their first items, so that ties
	// are not left to chance.
	order   []*flow
	virtual float64
	length  int
	// untilLate is how many turns go before a late item goes first.
	untilLate int
}

// New returns an empty queue.
func New(options ...Option) *Queue {
	q := &Queue{flows: make(map[hysgroup.Name]*flow), untilLate: lateTurns}
	for _, o := range options {
		o(q)
	}
	return q
}

// Len returns how many items wait.
func (q *Queue) Len() int { return q.length }

// GroupCount returns how many groups the queue keeps a virtual time for.
func (q *Queue) GroupCount() int { return len(q.order) }

// Push adds an item behind those of its group and class.
func (q *Queue) Push(i Item) {
	f, c := q.flow(i), q.classOf(i)
	f.waiting[c] = append(f.waiting[c], i)
	q.length++
}

// PushFront adds an item before those of its group and class.
func (q *Queue) PushFront(i Item) {
	f, c := q.flow(i), q.classOf(i)
	f.waiting[c] = slices.Insert(f.waiting[c], 0, i)
	q.length++
}

// Pop removes and returns the next item that accept allows.
func (q *Queue) Pop(accept func(Item) bool) (Item, bool) {
	q.advance()
	next := q.next(accept)
	if next.flow == nil {
		return Item{}, false
	}
	item := next.flow.remove(next.class, next.index)
	q.countTurn(next.class == lateClass)
	q.length--
	q.Charge(item, item.Cost)
	if q.length == 0 {
		// Nobody waits, so that nobody is owed anything.
		q.reset()
	}
	return item, true
}

// advance moves the queue's virtual time up to that of the waiting groups.
func (q *Queue) advance() {
	lowest, found := 0.0, false
	for _, f := range q.order {
		if f.length() > 0 && (!found || f.virtual < lowest) {
			lowest, found = f.virtual, true
		}
	}
	if found {
		q.virtual = max(q.virtual, lowest)
	}
}

// DemoteLate puts the items that have missed their goal behind all others.
func (q *Queue) DemoteLate(now time.Time) {
	if q.fifo {
		return
	}
	for _, f := range q.order {
		f.demote(now)
	}
}

// next chooses between the first acceptable item of each group and class. Late
// ones are left for when there is no other, and for one turn of a few.
func (q *Queue) next(accept func(Item) bool) position {
	first, second := (*flow).first, (*flow).firstLate
	if q.untilLate <= 0 {
		first, second = second, first
	}
	if p := q.nextOf(accept, first); p.flow != nil {
		return p
	}
	return q.nextOf(accept, second)
}

// countTurn counts the turns until a late item goes first.
func (q *Queue) countTurn(late bool) {
	if late {
		q.untilLate = lateTurns
		return
	}
	q.untilLate--
}

// nextOf chooses between the items that first finds in each group.
func (q *Queue) nextOf(accept func(Item) bool, first func(*flow, func(Item) bool) position) position {
	var fair, urgent position
	for _, f := range q.order {
		p := first(f, accept)
		if p.flow == nil {
			continue
		}
		if fair.flow == nil || f.virtual < fair.flow.virtual {
			fair = p
		}
		if p.class == int(hysquery.ClassUrgent) && (urgent.flow == nil || f.virtual < urgent.flow.virtual) {
			urgent = p
		}
	}
	if urgent.flow != nil && urgent.flow.virtual <= fair.flow.virtual+urgent.flow.credit() {
		return urgent
	}
	return fair
}

// ItemsAhead estimates how many items go before a new one.
func (q *Queue) ItemsAhead(i Item) int {
	switch {
	case q.fifo:
		return q.length
	case i.Late:
		return q.aheadOfLate()
	}
	own := q.flows[i.Group]
	mine, urgent := 0, i.Class == hysquery.ClassUrgent
	if own != nil {
		mine = own.upTo(i.Class)
		urgent = urgent && own.virtual <= q.virtual+own.credit()
	}
	ahead := float64(mine)
	for _, f := range q.order {
		if f == own {
			continue
		}
		theirs := f.length() - len(f.waiting[lateClass])
		if urgent {
			theirs = len(f.waiting[hysquery.ClassUrgent])
		}
		turns := float64(mine+1) * float64(max(f.weight, 1)) / float64(max(i.Weight, 1))
		ahead += min(float64(theirs), turns)
	}
	return int(ahead)
}

// aheadOfLate estimates how many items go before a new late one. While others wait,
// more of them are likely to come.
func (q *Queue) aheadOfLate() int {
	late := 0
	for _, f := range q.order {
		late += len(f.waiting[lateClass])
	}
	if late == q.length {
		return late
	}
	return late + (late+1)*lateTurns
}

// Charge advances the item's group by slot time that it used beyond what was
// charged already; a negative time gives it back.
func (q *Queue) Charge(i Item, used time.Duration) {
	if f, ok := q.flows[q.flowName(i)]; ok && !q.fifo {
		f.virtual += used.Seconds() / float64(max(i.Weight, 1))
	}
}

// Remove drops the items that drop reports true for and returns them.
func (q *Queue) Remove(drop func(Item) bool) []Item {
	var removed []Item
	for _, f := range q.order {
		for c := range f.waiting {
			f.waiting[c] = slices.DeleteFunc(f.waiting[c], func(i Item) bool {
				dropped := drop(i)
				if dropped {
					removed = append(removed, i)
				}
				return dropped
			})
		}
	}
	q.length -= len(removed)
	if q.length == 0 {
		q.reset()
	}
	return removed
}

func (q *Queue) reset() {
	clear(q.flows)
	q.order = q.order[:0]
	q.virtual = 0
	q.untilLate = lateTurns
}

// flow returns the flow of an item that is about to wait.
func (q *Queue) flow(i Item) *flow {
	name := q.flowName(i)
	f, ok := q.flows[name]
	if !ok {
		q.evict()
		f = &flow{name: name, virtual: q.virtual}
		q.flows[name] = f
		q.order = append(q.order, f)
	}
	f.weight = i.Weight
	if f.length() == 0 {
		// An idle group earns no credit for the time it did not use.
		f.virtual = max(f.virtual, q.virtual)
	}
	return f
}

// evict forgets the groups that wait for nothing and owe nothing.
func (q *Queue) evict() {
	q.order = slices.DeleteFunc(q.order, func(f *flow) bool {
		idle := f.length() == 0 && f.virtual <= q.virtual
		if idle {
			delete(q.flows, f.name)
		}
		return idle
	})
}

func (q *Queue) flowName(i Item) hysgroup.Name {
	if q.fifo {
		return ""
	}
	return i.Group
}

func (q *Queue) classOf(i Item) int {
	switch {
	case q.fifo:
		return 0
	case i.Late:
		return lateClass
	default:
		return int(i.Class)
	}
}
