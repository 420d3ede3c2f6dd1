// Package hysqueue divides the slots of searchers between groups.
//
// A Queue is a weighted fair queue: each group has a virtual time that advances by
// the slot time it used, divided by its weight, and the group with the lowest virtual
// time goes next. A group's urgent requests go before its bulk ones. They also go
// before the requests of groups with a lower virtual time, as long as the group is at
// most a credit of slot time ahead of them: an urgent request within its group's
// share hardly waits, and a group that marks all requests as urgent gets no more than
// its share.
//
// An item that has missed its goal goes behind the items of all groups that can still
// meet theirs, except for one turn in several. Under overload, a queue served in the
// order of arrival soon holds only items that have missed their goal, and these take
// the slots in which later items would meet theirs. The turns of the late items let
// them end before their callers give up.
//
// # Usage
//
//	q := hysqueue.New()
//	q.Push(hysqueue.Item{Group: "a", Weight: 1, Class: hysquery.ClassUrgent, Value: v})
//	q.DemoteLate(now)
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

// turnsBetweenLate is how many other items are popped between two late ones.
const turnsBetweenLate = 8

// lateClass holds the items of all classes that have missed their goal.
const lateClass = int(hysquery.ClassBulk) + 1

// classCount is how many classes of items there are.
const classCount = lateClass + 1

// UrgentCredit is the slot time that a group's urgent requests may use ahead of its
// share.
const UrgentCredit = 100 * time.Millisecond

// Item is one sub-request that is waiting for a slot.
type Item struct {
	Group  hysgroup.Name
	Weight uint32
	Class  hysquery.Class
	// Cost is the slot time that the item is expected to use. It is charged on Pop
	// and corrected by Charge.
	Cost time.Duration
	// StartBy is the latest time at which the item can start and still meet its goal;
	// zero if it has no goal.
	StartBy time.Time
	// Late marks an item that has missed its goal before it is queued.
	Late bool
	// Value is an arbitrary value of the caller.
	Value any
}

// isLate reports whether the item has missed its goal.
func (i Item) isLate(now time.Time) bool { return !i.StartBy.IsZero() && now.After(i.StartBy) }

// Option configures a Queue.
type Option func(*Queue)

// FirstInFirstOut makes the queue ignore groups and classes. It is the baseline that
// fair queueing is measured against.
func FirstInFirstOut() Option {
	return func(q *Queue) { q.fifo = true }
}

// Queue is a weighted fair queue.
type Queue struct {
	fifo  bool
	flows map[hysgroup.Name]*flow
	// order holds the flows in the order of their first items, so that ties are
	// broken deterministically.
	order       []*flow
	virtualTime float64
	length      int
	// turnsUntilLate is how many other items are popped before a late one goes first.
	turnsUntilLate int
}

// New returns an empty queue.
func New(options ...Option) *Queue {
	q := &Queue{flows: make(map[hysgroup.Name]*flow), turnsUntilLate: turnsBetweenLate}
	for _, o := range options {
		o(q)
	}
	return q
}

// Len returns how many items are waiting.
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

// Pop removes and returns the next item that accept allows, and charges its Cost. It
// returns false if there is none.
func (q *Queue) Pop(accept func(Item) bool) (Item, bool) {
	q.advance()
	next := q.nextPosition(accept)
	if next.flow == nil {
		return Item{}, false
	}
	item := next.flow.remove(next.class, next.index)
	q.countTurn(next.class == lateClass)
	q.length--
	q.Charge(item, item.Cost)
	if q.length == 0 {
		// No group is waiting, so none is owed slot time.
		q.reset()
	}
	return item, true
}

// advance raises the queue's virtual time to the lowest one of the waiting groups.
func (q *Queue) advance() {
	lowest, found := 0.0, false
	for _, f := range q.order {
		if f.length() > 0 && (!found || f.virtualTime < lowest) {
			lowest, found = f.virtualTime, true
		}
	}
	if found {
		q.virtualTime = max(q.virtualTime, lowest)
	}
}

// DemoteLate moves the items that have missed their goal behind all others.
func (q *Queue) DemoteLate(now time.Time) {
	if q.fifo {
		return
	}
	for _, f := range q.order {
		f.demote(now)
	}
}

// nextPosition returns the position of the next item that accept allows. Late items
// go first for one turn in several; otherwise they go when there is no other.
func (q *Queue) nextPosition(accept func(Item) bool) position {
	first, second := (*flow).first, (*flow).firstLate
	if q.turnsUntilLate <= 0 {
		first, second = second, first
	}
	if p := q.nextFrom(accept, first); p.flow != nil {
		return p
	}
	return q.nextFrom(accept, second)
}

// countTurn counts the turns until a late item goes first.
func (q *Queue) countTurn(late bool) {
	if late {
		q.turnsUntilLate = turnsBetweenLate
		return
	}
	q.turnsUntilLate--
}

// nextFrom chooses between the items that first returns for each group.
func (q *Queue) nextFrom(accept func(Item) bool, first func(*flow, func(Item) bool) position) position {
	var fair, urgent position
	for _, f := range q.order {
		p := first(f, accept)
		if p.flow == nil {
			continue
		}
		if fair.flow == nil || f.virtualTime < fair.flow.virtualTime {
			fair = p
		}
		if p.class == int(hysquery.ClassUrgent) && (urgent.flow == nil || f.virtualTime < urgent.flow.virtualTime) {
			urgent = p
		}
	}
	if urgent.flow != nil && urgent.flow.virtualTime <= fair.flow.virtualTime+urgent.flow.urgentCredit() {
		return urgent
	}
	return fair
}

// ItemsAhead estimates how many items would be popped before a new one.
func (q *Queue) ItemsAhead(i Item) int {
	switch {
	case q.fifo:
		return q.length
	case i.Late:
		return q.itemsAheadOfLate()
	}
	own := q.flows[i.Group]
	ownAhead, urgent := 0, i.Class == hysquery.ClassUrgent
	if own != nil {
		ownAhead = own.countUpTo(i.Class)
		urgent = urgent && own.virtualTime <= q.virtualTime+own.urgentCredit()
	}
	ahead := float64(ownAhead)
	for _, f := range q.order {
		if f == own {
			continue
		}
		waiting := f.length() - len(f.waiting[lateClass])
		if urgent {
			waiting = len(f.waiting[hysquery.ClassUrgent])
		}
		turns := float64(ownAhead+1) * float64(max(f.weight, 1)) / float64(max(i.Weight, 1))
		ahead += min(float64(waiting), turns)
	}
	return int(ahead)
}

// itemsAheadOfLate estimates how many items would be popped before a new late one.
// While items that are not late are waiting, more of them are likely to arrive.
func (q *Queue) itemsAheadOfLate() int {
	late := 0
	for _, f := range q.order {
		late += len(f.waiting[lateClass])
	}
	if late == q.length {
		return late
	}
	return late + (late+1)*turnsBetweenLate
}

// Charge advances the virtual time of the item's group by slot time that it used in
// addition to what is already charged; a negative time is a refund.
func (q *Queue) Charge(i Item, used time.Duration) {
	if f, ok := q.flows[q.flowName(i)]; ok && !q.fifo {
		f.virtualTime += used.Seconds() / float64(max(i.Weight, 1))
	}
}

// Remove removes the items for which drop returns true, and returns them.
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
	q.virtualTime = 0
	q.turnsUntilLate = turnsBetweenLate
}

// flow returns the flow of an item that is about to be queued.
func (q *Queue) flow(i Item) *flow {
	name := q.flowName(i)
	f, ok := q.flows[name]
	if !ok {
		q.evict()
		f = &flow{name: name, virtualTime: q.virtualTime}
		q.flows[name] = f
		q.order = append(q.order, f)
	}
	f.weight = i.Weight
	if f.length() == 0 {
		// An idle group earns no credit for the time it did not use.
		f.virtualTime = max(f.virtualTime, q.virtualTime)
	}
	return f
}

// evict removes the groups that have no waiting items and whose virtual time is not
// ahead.
func (q *Queue) evict() {
	q.order = slices.DeleteFunc(q.order, func(f *flow) bool {
		idle := f.length() == 0 && f.virtualTime <= q.virtualTime
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
