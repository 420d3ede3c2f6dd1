package hysgather_test

import (
	"context"
	"fmt"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// One of two shards has no searcher: the answer is partial and says which one.
func Example() {
	half := hyssnapshot.KeySpace / 2
	snapshot := func(hysservice.Name) (hyssnapshot.Map, bool) {
		m, err := hyssnapshot.NewMap(1, []hyssnapshot.Range{
			{Shard: 0, To: half, Versions: []hyssnapshot.Version{7}},
			{Shard: 1, From: half, To: hyssnapshot.KeySpace, Versions: []hyssnapshot.Version{7}},
		})
		return m, err == nil
	}
	rank := func(hysservice.Name, hysservice.ShardID) hysmember.Instances {
		return hysmember.Instances{{ID: "entry-1"}}
	}
	send := func(_ context.Context, _ hysmember.Instance, part hysgather.Part) ([]hysdispatch.SubReply, error) {
		var replies []hysdispatch.SubReply
		for _, s := range part.Shards {
			r := hysdispatch.SubReply{Shard: s, Version: part.Version, Epoch: part.Epoch, Hits: [][]byte{[]byte(`"hit"`)}}
			if s == 1 {
				r = hysdispatch.SubReply{Shard: s, Version: part.Version, Epoch: part.Epoch, Status: hysquery.ShardUnavailable, NotRun: true}
			}
			replies = append(replies, r)
		}
		return replies, nil
	}
	service := hysservice.Service{Name: "captains-desk"}
	service.Defaults()
	answer := hysgather.New(snapshot, rank, send).Answer(context.Background(), hysgather.Request{
		Query: hysquery.Query{Service: "captains-desk", Deadline: 1_000}, Service: service, Weight: 1,
	})
	fmt.Println(answer.Outcome, answer.Version, answer.Coverage)
	// Output: partial 7 [0 answered 1 unavailable]
}
