package hysmember_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

const fuzzShards = 4

// plainView is the oracle: it caches nothing that it derives.
type plainView struct {
	list   hysmember.List
	silent map[hysmember.InstanceID]bool
	infos  map[hysmember.SearcherID]hysmember.Info
}

func (p *plainView) usable() hysmember.Instances {
	usable := hysmember.Instances{}
	for _, i := range p.list.Instances {
		if !i.Leaving && !p.silent[i.ID] {
			usable = append(usable, i)
		}
	}
	return usable
}

func (p *plainView) preferredRegion(shard hysservice.ShardID) hysmember.Region {
	counts := make(map[hysmember.Region]int)
	for _, s := range p.list.Searchers {
		if i, ok := p.infos[s.ID]; ok && i.Holdings[0].Shard == shard {
			counts[s.Region]++
		}
	}
	var best hysmember.Region
	for _, r := range []hysmember.Region{"accra", "kumasi", "tamale"} {
		if counts[r] > counts[best] {
			best = r
		}
	}
	return best
}

func (p *plainView) top(key string, region hysmember.Region, count, spare int) hysmember.Instances {
	var local, remote hysmember.Instances
	for _, i := range hysmember.Rank(p.usable(), key, region) {
		if i.Region == region {
			local = append(local, i)
			continue
		}
		remote = append(remote, i)
	}
	local = local[:min(len(local), max(count-spare, count-len(remote)))]
	remote = remote[:min(len(remote), count-len(local))]
	return append(append(hysmember.Instances{}, local...), remote...)
}

// merge keeps the newer of two infos by the meaning of each field.
func (p *plainView) merge(i hysmember.Info) {
	if !slices.ContainsFunc(p.list.Searchers, func(s hysmember.Searcher) bool { return s.ID == i.Searcher }) {
		return
	}
	known, ok := p.infos[i.Searcher]
	newest := func(x hysmember.Info) hyssnapshot.Version { return x.Holdings[0].Versions[0] }
	if !ok || i.Incarnation > known.Incarnation || (i.Incarnation == known.Incarnation && newest(i) > newest(known)) {
		p.infos[i.Searcher] = i
	}
}

// TestViewMatchesPlainView compares a View with the oracle while instances,
// searchers and infos change.
func TestViewMatchesPlainView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		p := &plainView{silent: make(map[hysmember.InstanceID]bool), infos: make(map[hysmember.SearcherID]hysmember.Info)}
		v := hysmember.NewView(func(id hysmember.InstanceID) bool { return !p.silent[id] },
			hysmember.WithClock(func() time.Time { return now }))
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				p.list = drawList(t)
				for id := range p.infos {
					if !slices.ContainsFunc(p.list.Searchers, func(s hysmember.Searcher) bool { return s.ID == id }) {
						delete(p.infos, id)
					}
				}
				v.SetList(p.list)
			},
			"silence": func(t *rapid.T) {
				id := hysmember.InstanceID(fmt.Sprint("entry-", rapid.IntRange(0, 13).Draw(t, "instance")))
				p.silent[id] = rapid.Bool().Draw(t, "silent")
			},
			"silence-abroad": func(t *rapid.T) {
				id := hysmember.InstanceID(fmt.Sprint("entry-", rapid.IntRange(9, 13).Draw(t, "instance")))
				p.silent[id] = !p.silent[id]
			},
			"info": func(t *rapid.T) {
				if len(p.list.Searchers) == 0 {
					t.Skip("no searchers")
				}
				s := rapid.SampledFrom(p.list.Searchers).Draw(t, "searcher")
				incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
				shard := (int(s.ID[0]) + int(incarnation)) % fuzzShards
				i := info(string(s.ID), shard, incarnation, hyssnapshot.Version(rapid.IntRange(1, 4).Draw(t, "version")))
				p.merge(i)
				v.Merge(i)
			},
			"": func(t *rapid.T) {
				now = now.Add(time.Second)
				compare(t, v, p)
			},
		})
	})
}

func compare(t *rapid.T, v *hysmember.View, p *plainView) {
	for shard := range hysservice.ShardID(fuzzShards) {
		key := hysmember.ShardKey("band-roll", shard)
		want := p.top(key, p.preferredRegion(shard), hysmember.MaxDispatchers, 2)
		if got := v.Dispatchers("band-roll", shard); !slices.Equal(got, want) {
			t.Fatalf("shard %d: got %v, want %v", shard, got, want)
		}
	}
	for id, want := range p.infos {
		if got, ok := v.Info(id); !ok || got.Incarnation != want.Incarnation {
			t.Fatalf("info of %s: got %v, want %v", id, got, want)
		}
	}
	var want hysmember.Searchers
	for _, s := range p.list.Searchers {
		top := p.top(string(s.ID), s.Region, hysmember.ObserversPerSearcher, 0)
		if slices.ContainsFunc(top, func(i hysmember.Instance) bool { return i.ID == "entry-3" }) {
			want = append(want, s)
		}
	}
	if got := v.Observed("entry-3"); !slices.Equal(got, want) {
		t.Fatalf("observed: got %v, want %v", got, want)
	}
}

// drawList returns most of 14 instances, nine of them in one region, so that
// both more and fewer than MaxDispatchers are of one region.
func drawList(t *rapid.T) hysmember.List {
	regions := rapid.SampledFrom([]hysmember.Region{"accra", "kumasi", "tamale"})
	homes := rapid.SampledFrom([]hysmember.Region{"kumasi", "kumasi", "kumasi", "accra"})
	var list hysmember.List
	for n := range 14 {
		if rapid.IntRange(0, 7).Draw(t, "listed") == 0 {
			continue
		}
		i := hysmember.Instance{ID: hysmember.InstanceID(fmt.Sprint("entry-", n)), Region: "kumasi"}
		if n >= 9 {
			i.Region = regions.Draw(t, "region")
		}
		i.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
		list.Instances = append(list.Instances, i)
	}
	for n := range rapid.IntRange(0, 8).Draw(t, "searchers") {
		list.Searchers = append(list.Searchers, hysmember.Searcher{
			ID: hysmember.SearcherID(fmt.Sprint(n, "-searcher")), Service: "band-roll", Region: homes.Draw(t, "region"),
		})
	}
	return list
}

// TestInfosMergeInAnyOrder checks that infos that arrive in any order, some of
// them twice, give the same result.
func TestInfosMergeInAnyOrder(t *testing.T) {
	version := rapid.Custom(func(t *rapid.T) hyssnapshot.Version {
		return hyssnapshot.Version(rapid.IntRange(1, 4).Draw(t, "version"))
	})
	drawInfo := rapid.Custom(func(t *rapid.T) hysmember.Info {
		i := info("s", rapid.IntRange(0, 1).Draw(t, "shard"), rapid.Uint64Range(1, 2).Draw(t, "incarnation"), 1)
		i.Holdings[0].Versions = rapid.SliceOfNDistinct(version, 1, 3, rapid.ID[hyssnapshot.Version]).Draw(t, "versions")
		i.Draining = rapid.IntRange(0, 3).Draw(t, "draining") == 0
		return i
	})
	rapid.Check(t, func(t *rapid.T) {
		infos := rapid.SliceOfN(drawInfo, 1, 6).Draw(t, "infos")
		one, other := hysmember.NewInfos(), hysmember.NewInfos()
		for _, i := range infos {
			one.Merge(i)
		}
		for _, i := range append(rapid.Permutation(infos).Draw(t, "order"), infos...) {
			other.Merge(i)
		}
		a, _ := one.Get("s")
		b, _ := other.Get("s")
		if fmt.Sprint(a) != fmt.Sprint(b) {
			t.Fatalf("%v in one order, %v in another", a, b)
		}
	})
}
