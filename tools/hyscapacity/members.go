package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/io/hyspeer"
)

// measureMembers measures the memory and the processor time that the members of
// the system take at one instance.
func measureMembers(context.Context) ([]Series, error) {
	listMemory := Series{Name: "memory of the list", Unit: "kB", Per: "instances + searchers"}
	infoMemory := Series{Name: "memory of infos", Unit: "kB", Per: "searchers"}
	reportMemory := Series{Name: "memory of the reports, digests included", Unit: "kB", Per: "instances"}
	allMemory := Series{Name: "memory of a member: list, infos, reports and digests", Unit: "kB", Per: "instances + searchers"}
	merge := Series{Name: "merge of reports, none new", Unit: "us", Per: "instances"}
	setList := Series{Name: "take in the list", Unit: "us", Per: "instances + searchers"}
	rank := Series{Name: "rank the instances for one key", Unit: "us", Per: "instances"}
	dispatchers := Series{Name: "dispatchers of one shard, list unchanged", Unit: "us", Per: "searchers"}
	firstRank := Series{Name: "dispatchers of 1,400 shards, first time", Unit: "us", Per: "instances"}
	afterLeave := Series{Name: "dispatchers of 1,400 shards after one instance left", Unit: "us", Per: "instances"}
	listBytes := Series{Name: "bytes of the platform's list", Unit: "B", Per: "instances + searchers"}
	listDecode := Series{Name: "decode the platform's list", Unit: "us", Per: "instances + searchers"}
	observe := Series{Name: "searchers that one instance observes, list unchanged", Unit: "us", Per: "searchers"}
	shardMap := Series{Name: "shard map of one service", Unit: "us", Per: "searchers"}
	for _, f := range fleets {
		members := f.instances + f.searchers
		listMemory.add(members, kilobytes(func() any { return f.list() }))
		infoMemory.add(f.searchers, kilobytes(func() any { return fullInfos(f) }))
		reportMemory.add(f.instances, kilobytes(func() any { return fullTable(f) }))
		allMemory.add(members, kilobytes(func() any { return newExchanger(f, nil) }))
		table, reports := fullTable(f), f.reports(1)
		merge.add(f.instances, microseconds(func() { table.Merge(reports, false) }))
		list := f.list()
		data, err := json.Marshal(list)
		if err != nil {
			return nil, wrapError("measureMembers", err)
		}
		listBytes.add(members, float64(len(data)))
		listDecode.add(members, microseconds(func() {
			var decoded hysmember.List
			_ = json.Unmarshal(data, &decoded)
		}))
		view := fullView(f, list)
		setList.add(members, microseconds(func() { view.SetList(list) }))
		n := 0
		rank.add(f.instances, microseconds(func() {
			n++
			hysmember.Rank(list.Instances, fmt.Sprintf("service-0/%d", n%shardsPerService), regionOf(n))
		}))
		observe.add(f.searchers, microseconds(func() { view.Observed("entry-0") }))
		dispatchers.add(f.searchers, microseconds(func() { view.Dispatchers("service-0", 3) }))
		firstRank.add(f.instances, rankTime(fullView(f, list)))
		afterLeave.add(f.instances, rerankTime(view, list))
		shardMap.add(f.searchers, microseconds(func() { view.Snapshot("service-0") }))
	}
	return []Series{listMemory, infoMemory, reportMemory, allMemory, merge, setList, rank, dispatchers, firstRank, afterLeave, observe, shardMap, listBytes, listDecode}, nil
}

// rankTime returns the processor time to rank the dispatchers of 1,400 shards for
// the first time, in microseconds.
func rankTime(view *hysmember.View) float64 {
	view.Dispatchers("service-0", 0)
	begin := processorTime()
	rankAllShards(view)
	return float64((processorTime() - begin).Nanoseconds()) / 1e3
}

// rerankTime returns the processor time to rank those dispatchers again after one
// instance has left or come back, including setting the new list, in microseconds.
func rerankTime(view *hysmember.View, list hysmember.List) float64 {
	shorter := hysmember.List{Instances: list.Instances[1:], Searchers: list.Searchers}
	removed := false
	return microseconds(func() {
		removed = !removed
		if removed {
			view.SetList(shorter)
		} else {
			view.SetList(list)
		}
		rankAllShards(view)
	})
}

func rankAllShards(view *hysmember.View) {
	for shard := range shardsPerService {
		view.Dispatchers("service-0", shardID(shard))
	}
}

func fullInfos(f fleet) *hysmember.Infos {
	infos := hysmember.NewInfos()
	for _, i := range f.infos() {
		infos.Merge(i)
	}
	return infos
}

func fullTable(f fleet) *hyspeer.Table {
	table := hyspeer.NewTable(time.Now)
	table.Merge(f.reports(1), false)
	return table
}

func fullView(f fleet, list hysmember.List) *hysmember.View {
	view := hysmember.NewView(func(hysmember.InstanceID) bool { return true })
	view.SetList(list)
	for _, i := range f.infos() {
		view.Merge(i)
	}
	return view
}
