package hysqueue

import (
	"slices"
	"time"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysquery"
)

// flow holds the waiting items of one group.
type flow struct {
	name        hysgroup.Name
	weight      uint32
	virtualTime float64
	waiting     [classCount][]Item
}

// position is the position of an item; its flow is nil if there is none.
type position struct {
	flow  *flow
	class int
	index int
}

// first returns the first item that accept allows and that is not late, urgent ones
// first.
func (f *flow) first(accept func(Item) bool) position {
	for c := range lateClass {
		if p := f.firstOf(c, accept); p.flow != nil {
			return p
		}
	}
	return position{}
}

// firstLate returns the first late item that accept allows.
func (f *flow) firstLate(accept func(Item) bool) position {
	return f.firstOf(lateClass, accept)
}

func (f *flow) firstOf(class int, accept func(Item) bool) position {
	if i := slices.IndexFunc(f.waiting[class], accept); i >= 0 {
		return position{flow: f, class: class, index: i}
	}
	return position{}
}

// demote moves the items that have missed their goal to the late class. Items of a
// class are waiting in the order of their StartBy.
func (f *flow) demote(now time.Time) {
	for c := range lateClass {
		late := 0
		for late < len(f.waiting[c]) && f.waiting[c][late].isLate(now) {
			late++
		}
		f.waiting[lateClass] = append(f.waiting[lateClass], f.waiting[c][:late]...)
		f.waiting[c] = slices.Delete(f.waiting[c], 0, late)
	}
}

func (f *flow) remove(class, index int) Item {
	item := f.waiting[class][index]
	f.waiting[class] = slices.Delete(f.waiting[class], index, index+1)
	return item
}

func (f *flow) length() int {
	count := 0
	for _, w := range f.waiting {
		count += len(w)
	}
	return count
}

// countUpTo returns how many items of a class and of more urgent classes are waiting.
func (f *flow) countUpTo(class hysquery.Class) int {
	count := 0
	for c := range int(class) + 1 {
		count += len(f.waiting[c])
	}
	return count
}

// urgentCredit is how far the group's urgent items may be ahead, in virtual time.
func (f *flow) urgentCredit() float64 {
	return UrgentCredit.Seconds() / float64(max(f.weight, 1))
}
