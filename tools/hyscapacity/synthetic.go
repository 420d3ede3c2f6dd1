package main

import (
	"fmt"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/internal/gen/peer"
)

// fleet is a synthetic system of some size.
type fleet struct {
	instances int
	searchers int
}

// fleets have the current size, two sizes in between, and the target size.
var fleets = []fleet{{9, 90}, {300, 5_000}, {1_200, 20_000}, {4_700, 87_000}}

const (
	regionCount      = 4
	zoneCount        = 14
	shardsPerService = 1_400
	replicasPerShard = 3
)

func zoneOf(n int) hysmember.Zone {
	return hysmember.Zone(fmt.Sprintf("region-%d-zone-%d", n%zoneCount%regionCount, n%zoneCount))
}

func regionOf(n int) hysmember.Region {
	return hysmember.Region(fmt.Sprintf("region-%d", n%zoneCount%regionCount))
}

func addressOf(n int) hysmember.Address {
	return hysmember.Address(fmt.Sprintf("10.%d.%d.%d:7400", n>>16, n>>8&255, n&255))
}

func (f fleet) list() hysmember.List {
	var list hysmember.List
	for n := range f.instances {
		list.Instances = append(list.Instances, hysmember.Instance{
			ID: hysmember.InstanceID(fmt.Sprintf("entry-%d", n)), Address: addressOf(n),
			Zone: zoneOf(n), Region: regionOf(n),
		})
	}
	for n := range f.searchers {
		list.Searchers = append(list.Searchers, searcher(n))
	}
	return list
}

// searcher returns the n-th searcher. All replicas of a shard are in one region.
func searcher(n int) hysmember.Searcher {
	shard := n / replicasPerShard
	return hysmember.Searcher{
		ID:      hysmember.SearcherID(fmt.Sprintf("searcher-%d", n)),
		Service: serviceOf(n), Address: addressOf(n),
		Zone: zoneOf(shard), Region: regionOf(shard),
	}
}

func serviceOf(n int) hysservice.Name {
	return hysservice.Name(fmt.Sprintf("service-%d", n/replicasPerShard/shardsPerService))
}

func (f fleet) infos() []hysmember.Info {
	infos := make([]hysmember.Info, 0, f.searchers)
	for n := range f.searchers {
		shard := n / replicasPerShard % shardsPerService
		infos = append(infos, hysmember.Info{
			Searcher: hysmember.SearcherID(fmt.Sprintf("searcher-%d", n)), Service: serviceOf(n),
			Incarnation: 1_780_000_000_000_000, Holdings: []hyssnapshot.Holding{holding(shard, 7, 8)},
		})
	}
	return infos
}

func holding(shard int, versions ...hyssnapshot.Version) hyssnapshot.Holding {
	width := hyssnapshot.KeySpace / shardsPerService
	h := hyssnapshot.Holding{Epoch: 3, Range: hyssnapshot.Range{
		Shard: hysservice.ShardID(shard), From: uint64(shard) * width,
		To: uint64(shard+1) * width, Versions: versions,
	}}
	if shard == shardsPerService-1 {
		h.To = hyssnapshot.KeySpace
	}
	return h
}

// reports returns a report of each instance.
func (f fleet) reports(sequence uint64) []*peer.Report {
	list := f.list()
	reports := make([]*peer.Report, 0, f.instances)
	for _, i := range list.Instances {
		reports = append(reports, &peer.Report{
			Instance: string(i.ID), Incarnation: 1_780_000_000_000_000, Sequence: sequence,
			Address: string(i.Address), Zone: string(i.Zone), Region: string(i.Region),
		})
	}
	return reports
}

// messages returns the info of each searcher as a peer message.
func (f fleet) messages() []*peer.SearcherInfo {
	messages := make([]*peer.SearcherInfo, 0, f.searchers)
	for _, i := range f.infos() {
		messages = append(messages, infoMessage(i))
	}
	return messages
}

func infoMessage(i hysmember.Info) *peer.SearcherInfo {
	m := &peer.SearcherInfo{Searcher: string(i.Searcher), Service: string(i.Service), Incarnation: i.Incarnation}
	for _, h := range i.Holdings {
		w := &peer.Holding{Epoch: uint64(h.Epoch), Shard: uint32(h.Shard), From: h.From, To: h.To}
		for _, v := range h.Versions {
			w.Versions = append(w.Versions, uint64(v))
		}
		m.Holdings = append(m.Holdings, w)
	}
	return m
}
