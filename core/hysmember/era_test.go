package hysmember_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hyssopshore/core/hysmember"
)

var _ = Describe("a revision", func() {
	It("is ordered by era first", func() {
		earlier, later := hysmember.Revision{Era: 1, Number: 90}, hysmember.Revision{Era: 2, Number: 40}
		Expect(earlier.Before(later)).To(BeTrue())
		Expect(later.Before(earlier)).To(BeFalse())
		Expect(hysmember.MaxRevision(earlier, later)).To(Equal(later))
		Expect(hysmember.MinRevision(earlier, later)).To(Equal(earlier))
		Expect(hysmember.Revision{Era: 2, Number: 39}.Before(later)).To(BeTrue())
		Expect(later.Compare(later)).To(BeZero())
	})
})

var _ = Describe("the era that the store states", func() {
	var eras *hysmember.Eras
	var problems []error

	BeforeEach(func() {
		problems = nil
		eras = hysmember.NewEras()
		eras.Problem = func(err error) { problems = append(problems, err) }
		eras.Raise(4)
	})

	DescribeTable("is followed while it is valid",
		func(stated string, of hysmember.Era, current hysmember.Era, problem error) {
			era, err := eras.Observe(stated)
			Expect(era).To(Equal(of))
			Expect(eras.Current()).To(Equal(current))
			if problem == nil {
				Expect(problems).To(BeEmpty())
				return
			}
			Expect(problems).To(ConsistOf(MatchError(problem)))
			Expect(err != nil).To(Equal(problem == hysmember.ErrEarlierEra))
		},
		Entry("the same", "4", hysmember.Era(4), hysmember.Era(4), nil),
		Entry("the next", "5", hysmember.Era(5), hysmember.Era(5), nil),
		Entry("the highest that there is", fmt.Sprint(math.MaxInt64), hysmember.Era(math.MaxInt64), hysmember.Era(math.MaxInt64), nil),
		Entry("an earlier one", "3", hysmember.Era(3), hysmember.Era(4), hysmember.ErrEarlierEra),
		Entry("none", "", hysmember.Era(4), hysmember.Era(4), hysmember.ErrEraMissing),
		Entry("no number", "four", hysmember.Era(4), hysmember.Era(4), hysmember.ErrEraInvalid),
		Entry("a fraction", "4.5", hysmember.Era(4), hysmember.Era(4), hysmember.ErrEraInvalid),
		Entry("a negative number", "-1", hysmember.Era(4), hysmember.Era(4), hysmember.ErrEraInvalid),
		Entry("zero", "0", hysmember.Era(4), hysmember.Era(4), hysmember.ErrEraInvalid),
		Entry("too high a number", "9223372036854775808", hysmember.Era(4), hysmember.Era(4), hysmember.ErrEraInvalid),
	)

	It("is 0 for a store that states none", func() {
		eras = hysmember.NewEras()
		eras.Problem = func(err error) { problems = append(problems, err) }
		Expect(eras.Observe("")).To(BeZero())
		Expect(problems).To(BeEmpty())
	})

	It("wakes those who wait for another one", func() {
		_, changed := eras.Changed()
		eras.Raise(4)
		Expect(changed).NotTo(BeClosed())
		Expect(eras.Raise(5)).To(BeTrue())
		Expect(changed).To(BeClosed())
	})
})

// process is one start of a searcher.
type process struct {
	id    hysmember.SearcherID
	start int64
}

// drill is a store that comes back from copies, the searchers that write to it, and
// directories that read it and each other.
type drill struct {
	era     hysmember.Era
	number  int64
	items   map[hysmember.SearcherID]hysmember.Entry
	copied  map[hysmember.SearcherID]hysmember.Entry
	copyOf  int64
	starts  int64
	running map[hysmember.SearcherID]hysmember.Entry
	readers []*drillReader
	// late are entries as they were written once.
	late hysmember.Entries
	now  time.Time
}

// drillReader is a directory, the era in which it last read the store, and the processes
// of which it has learned that they have ended.
type drillReader struct {
	*hysmember.Directory
	era   hysmember.Era
	ended map[process]bool
	// applied is the revision up to which it knows everything.
	applied hysmember.Revision
	version hysmember.Version
	cursors map[*drillReader]hysmember.Version
}

func newDrill() *drill {
	d := &drill{
		era: 1, items: make(map[hysmember.SearcherID]hysmember.Entry), copied: make(map[hysmember.SearcherID]hysmember.Entry),
		running: make(map[hysmember.SearcherID]hysmember.Entry), now: time.Unix(1000, 0),
	}
	for range 2 {
		d.readers = append(d.readers, &drillReader{
			Directory: hysmember.NewDirectory(), era: 1, ended: make(map[process]bool), cursors: make(map[*drillReader]hysmember.Version),
		})
	}
	return d
}

func (d *drill) revision() hysmember.Revision {
	return hysmember.Revision{Era: d.era, Number: d.number}
}

// write writes the entry of a running searcher, and tells the readers that watch.
func (d *drill) write(t *rapid.T, e hysmember.Entry) {
	d.number++
	e.Sequence++
	e.Revision = d.revision()
	d.running[e.Searcher.ID], d.items[e.Searcher.ID] = e, e
	d.late = append(d.late, e)
	for _, r := range d.drawWatching(t) {
		r.Put(e)
	}
}

// drawWatching returns readers that have read the store in its current era.
func (d *drill) drawWatching(t *rapid.T) []*drillReader {
	var watching []*drillReader
	for _, r := range d.readers {
		if r.era == d.era && rapid.Bool().Draw(t, "watching") {
			watching = append(watching, r)
		}
	}
	return watching
}

// drawRunning returns the entry of a running searcher; false if there is none.
func (d *drill) drawRunning(t *rapid.T) (hysmember.Entry, bool) {
	if len(d.running) == 0 {
		return hysmember.Entry{}, false
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(d.running))).Draw(t, "running")
	return d.running[id], true
}

func (d *drill) start(t *rapid.T) {
	id := drawID(t)
	if _, ok := d.running[id]; ok {
		return
	}
	d.starts++
	d.write(t, hysmember.Entry{Searcher: hysmember.Searcher{ID: id}, StartTime: d.starts})
}

func (d *drill) heartbeat(t *rapid.T) {
	if e, ok := d.drawRunning(t); ok {
		d.write(t, e)
	}
}

func (d *drill) drain(t *rapid.T) {
	if e, ok := d.drawRunning(t); ok {
		e.Searcher.Leaving = true
		d.write(t, e)
	}
}

// end ends a searcher. Its entry is removed.
func (d *drill) end(t *rapid.T) {
	e, ok := d.drawRunning(t)
	if !ok {
		return
	}
	id := e.Searcher.ID
	delete(d.running, id)
	d.number++
	delete(d.items, id)
	for _, r := range d.drawWatching(t) {
		if r.StartTime(id) != e.StartTime {
			// It knows nothing of this process.
			continue
		}
		// Soon after an outage or a new era it may be written again.
		if _, gone := r.Remove(id, d.revision(), d.now); gone {
			r.ended[process{id, e.StartTime}] = true
		}
	}
}

func (d *drill) copy(*rapid.T) { d.copied, d.copyOf = maps.Clone(d.items), d.number }

func (d *drill) restore(*rapid.T) {
	d.items, d.number = maps.Clone(d.copied), d.copyOf
	d.era++
	for id, e := range d.items {
		e.Revision.Era = d.era
		d.items[id] = e
	}
}

// read lets a reader read the full state.
func (d *drill) read(t *rapid.T) {
	d.list(t, rapid.SampledFrom(d.readers).Draw(t, "reader"))
}

func (d *drill) list(t *rapid.T, r *drillReader) {
	before := d.runningAt(r)
	newEra := r.era != d.era
	if newEra {
		r.era = d.era
		r.BeginEra(d.now)
	}
	r.Replace(slices.Collect(maps.Values(d.items)), d.revision(), d.now)
	r.applied = d.revision()
	if after := d.runningAt(r); newEra && len(after) < len(before) {
		t.Fatalf("a new era drops running searchers: %v, before %v", after, before)
	}
}

// runningAt returns the running processes that a reader lists.
func (d *drill) runningAt(r *drillReader) []hysmember.SearcherID {
	var ids []hysmember.SearcherID
	for _, e := range r.Entries() {
		if d.running[e.Searcher.ID].StartTime == e.StartTime {
			ids = append(ids, e.Searcher.ID)
		}
	}
	return ids
}

// lateAnswer lets a reader get an entry as it was written once.
func (d *drill) lateAnswer(t *rapid.T) {
	if len(d.late) > 0 {
		rapid.SampledFrom(d.readers).Draw(t, "reader").Put(rapid.SampledFrom(d.late).Draw(t, "late"))
	}
}

// exchange passes the changes of one reader to the other.
func (d *drill) exchange(t *rapid.T) {
	from := rapid.IntRange(0, 1).Draw(t, "from")
	teller, follower := d.readers[from], d.readers[1-from]
	if teller.era < follower.era || teller.applied.IsZero() {
		return
	}
	if follower.era != teller.era {
		follower.era = teller.era
		follower.BeginEra(d.now)
	}
	delta := teller.Since(follower.cursors[teller])
	follower.Apply(delta, teller.ConfirmedRevision(teller.applied))
	follower.cursors[teller] = delta.Version
}

// pass lets some time pass. The searchers write their entries again within the grace,
// and the store removes those that nobody writes.
func (d *drill) pass(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(d.items)) {
		if d.running[id].StartTime != d.items[id].StartTime {
			d.number++
			delete(d.items, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.running)) {
		d.write(t, d.running[id])
	}
	for _, r := range d.readers {
		d.list(t, r)
	}
	d.now = d.now.Add(3 * time.Second)
	for _, r := range d.readers {
		r.ExpireMissing(d.now)
	}
}

// check checks what must hold after each step.
func (d *drill) check(t *rapid.T) {
	for _, r := range d.readers {
		if v := r.Version(); v < r.version {
			t.Fatalf("version %d after %d", v, r.version)
		}
		r.version = r.Version()
		for _, e := range r.Entries() {
			if r.ended[process{e.Searcher.ID, e.StartTime}] {
				t.Fatalf("%s is listed, whose process %d has ended", e.Searcher.ID, e.StartTime)
			}
		}
	}
}

func (d *drill) converge(t *rapid.T) {
	for range 2 {
		d.pass(t)
	}
	want := hysmember.NewDirectory()
	want.Replace(slices.Collect(maps.Values(d.running)), d.revision(), d.now)
	for _, r := range d.readers {
		if got := usesOf(r.Directory); got != usesOf(want) {
			t.Fatalf("listed %s, running %s", got, usesOf(want))
		}
	}
}

// TestRestores lets the store come back from copies at any moment: nobody that is known
// to have ended is listed again, running searchers stay listed, and in the end each
// directory lists what runs.
func TestRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDrill()
		t.Repeat(map[string]func(*rapid.T){
			"start": d.start, "heartbeat": d.heartbeat, "drain": d.drain, "end": d.end, "copy": d.copy, "restore": d.restore,
			"read": d.read, "late answer": d.lateAnswer, "exchange": d.exchange, "pass": d.pass, "": d.check,
		})
		d.converge(t)
	})
}
