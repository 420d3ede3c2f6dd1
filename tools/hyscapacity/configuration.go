package main

import (
	"context"
	"encoding/json"
	"fmt"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hysticket"
)

var objectCounts = []int{100, 1_000, 10_000, 50_000}

// burstCounts are the numbers of successive changes, at 1,000 objects.
var burstCounts = []int{1, 10, 50, 200}

const burstObjects = 1_000

// measureConfiguration measures the size of configurations and the processor time
// to change, merge and paginate them.
func measureConfiguration(context.Context) ([]Series, error) {
	memory := Series{Name: "memory of a state", Unit: "kB", Per: "objects"}
	size := Series{Name: "bytes of a state", Unit: "B", Per: "objects"}
	moved := Series{Name: "bytes moved by one changed object: page and head", Unit: "B", Per: "objects"}
	object := Series{Name: "bytes of the changed objects alone", Unit: "B", Per: "changed objects"}
	apply := Series{Name: "apply a ticket of one object, digest included", Unit: "us", Per: "objects"}
	merge := Series{Name: "merge a state that differs in one object", Unit: "us", Per: "objects"}
	paginate := Series{Name: "make the pages", Unit: "us", Per: "objects"}
	digest := Series{Name: "compare equal states by digest", Unit: "us", Per: "objects"}
	for _, count := range objectCounts {
		memory.add(count, kilobytes(func() any { return newState(count) }))
		s := newState(count)
		next, _, err := s.Apply(change(count, 0))
		if err != nil {
			return nil, wrapError("measureConfiguration", err)
		}
		data, err := json.Marshal(s)
		if err != nil {
			return nil, wrapError("measureConfiguration", err)
		}
		size.add(count, float64(len(data)))
		bytes, err := bytesMoved(s, next)
		if err != nil {
			return nil, err
		}
		moved.add(count, float64(bytes))
		apply.add(count, microseconds(func() { _, _, _ = s.Apply(change(count, 0)) }))
		merge.add(count, microseconds(func() { s.Merge(next) }))
		paginate.add(count, microseconds(func() { _, _ = s.Paginate(1) }))
		digest.add(count, microseconds(func() { s.Merge(s) }))
	}
	burst := Series{Name: "changes one after another at 1,000 objects", Unit: "us", Per: "changes"}
	for _, count := range burstCounts {
		burst.add(count, microseconds(func() { applyBurst(newState(burstObjects), count) }))
		data, err := json.Marshal(newState(count).Objects())
		if err != nil {
			return nil, wrapError("measureConfiguration", err)
		}
		object.add(count, float64(len(data)))
	}
	return []Series{memory, size, moved, object, apply, merge, paginate, digest, burst}, nil
}

func newState(count int) hysticket.State {
	objects := make([]hysticket.Object, 0, count)
	for n := range count {
		g := newGroup(n)
		objects = append(objects, hysticket.Object{Key: hysticket.GroupKey(g.Name), Ticket: 1, Group: &g})
	}
	return hysticket.NewState(objects)
}

func newGroup(n int) hysgroup.Group {
	g := hysgroup.Group{Name: hysgroup.Name(fmt.Sprintf("group-%d", n)), Weight: 3}
	for s := range 4 {
		g.Services = append(g.Services, hysservice.Name(fmt.Sprintf("service-%d", s)))
	}
	return g
}

// change returns a ticket that sets one object.
func change(count, n int) hysticket.Ticket {
	g := newGroup(n % count)
	g.Weight = 4
	return hysticket.Ticket{Number: hysticket.Number(n + 2), Author: "capacity", Groups: hysgroup.Groups{g}}
}

func applyBurst(s hysticket.State, count int) {
	for n := range count {
		next, _, err := s.Apply(change(burstObjects, n))
		if err == nil {
			s = next
		}
	}
}

// bytesMoved returns the size of the pages that differ plus that of a head with
// a full log.
func bytesMoved(before, after hysticket.State) (int, error) {
	old, err := before.Paginate(1)
	if err != nil {
		return 0, wrapError("bytesMoved", err)
	}
	pages, err := after.Paginate(2)
	if err != nil {
		return 0, wrapError("bytesMoved", err)
	}
	var head hysticket.Head
	bytes := 0
	for i, p := range pages {
		head.Pages[i] = p.Ref
		if p.Ref.Hash != old[i].Ref.Hash {
			bytes += len(p.Data)
		}
	}
	for range hysticket.MaxLogEntries {
		head.Append(hysticket.LogEntry{
			Number: 1, Digest: after.Digest(), Author: "capacity", Objects: []string{"set group group-1"},
		})
	}
	data, err := json.Marshal(head)
	if err != nil {
		return 0, wrapError("bytesMoved", err)
	}
	return bytes + len(data), nil
}
