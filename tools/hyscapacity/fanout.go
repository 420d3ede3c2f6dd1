package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/io/hyspeer"
	"hyssopshore/io/hyssearch"
)

var (
	shardCounts      = []int{15, 60, 240, 1_400}
	batchSizes       = []int{1, 6, 24, 96}
	subRequestCounts = []int{1, 8, 64, 256}
)

// queryBatch is the number of shards in one dispatch message of the query series.
const queryBatch = 6

const callDeadline = 10 * time.Second

var errIncomplete = errors.New("the answer is not complete")

// measureFanOut measures whole queries, single dispatch messages, and
// sub-requests to a searcher.
func measureFanOut(ctx context.Context) ([]Series, error) {
	o, err := startRemote(ctx, fleet{})
	if err != nil {
		return nil, err
	}
	client := hyspeer.NewClient(secret)
	queries, err := querySeries(ctx, o, client)
	if err != nil {
		return nil, err
	}
	batches, err := batchSeries(ctx, o, client)
	if err != nil {
		return nil, err
	}
	subRequests, err := subRequestSeries(ctx, o)
	if err != nil {
		return nil, err
	}
	return append(append(queries, batches...), subRequests...), nil
}

// querySeries measures whole queries with several shard counts, at the entry
// instance and at the dispatchers.
func querySeries(ctx context.Context, o *remoteProcess, client *hyspeer.Client) ([]Series, error) {
	local := Series{Name: "query, 6 shards a message: entry", Unit: "us", Per: "shards"}
	remote := Series{Name: "query, 6 shards a message: dispatchers' peer server", Unit: "us", Per: "shards"}
	wire := Series{Name: "query, 6 shards a message: both ways", Unit: "B", Per: "shards"}
	for _, count := range shardCounts {
		g := hysgather.New(shardMap(count), rankByBatch(o.Peer), client.Dispatch)
		c, err := o.measureCall(concurrentCalls, func() error {
			if a := g.Answer(ctx, request(count)); a.Outcome != hysquery.OutcomeComplete {
				return fmt.Errorf("%w: %s", errIncomplete, a.Reason)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		local.add(count, c.local)
		remote.add(count, c.remote)
		wire.add(count, c.bytes)
	}
	return []Series{local, remote, wire}, nil
}

func shardMap(count int) hysgather.SnapshotFunc {
	m := hyssnapshot.Map{Epoch: 3}
	width := hyssnapshot.KeySpace / uint64(count)
	for n := range count {
		r := hyssnapshot.Range{
			Shard: shardID(n), From: uint64(n) * width, To: uint64(n+1) * width,
			Versions: []hyssnapshot.Version{7},
		}
		if n == count-1 {
			r.To = hyssnapshot.KeySpace
		}
		m.Ranges = append(m.Ranges, r)
	}
	return func(hysservice.Name) (hyssnapshot.Map, bool) { return m, true }
}

func rankByBatch(address hysmember.Address) hysgather.RankFunc {
	return func(_ hysservice.Name, shard hysservice.ShardID) hysmember.Instances {
		return hysmember.Instances{{ID: peerID(int(shard) / queryBatch), Address: address}}
	}
}

func request(n int) hysgather.Request {
	return hysgather.Request{
		Query: hysquery.Query{
			RequestID: hysquery.RequestID(fmt.Sprintf("request-%d", n)), Group: "group-1",
			Service: "service-0", Deadline: hysservice.Milliseconds(callDeadline.Milliseconds()),
			Body: json.RawMessage(`{"find":"treble","limit":10}`),
		},
		Service: hysservice.Service{Name: "service-0", WaitForCoverage: true},
		Weight:  3,
	}
}

// batchSeries measures one dispatch message with several sub-requests.
func batchSeries(ctx context.Context, o *remoteProcess, client *hyspeer.Client) ([]Series, error) {
	local := Series{Name: "dispatch message: sender", Unit: "us", Per: "sub-requests in it"}
	remote := Series{Name: "dispatch message: receiver", Unit: "us", Per: "sub-requests in it"}
	wire := Series{Name: "dispatch message: both ways", Unit: "B", Per: "sub-requests in it"}
	to := hysmember.Instance{ID: peerID(0), Address: o.Peer}
	for _, size := range batchSizes {
		part := hysgather.Part{Query: request(0).Query, Weight: 3, Version: 7, Epoch: 3}
		for n := range size {
			part.Shards = append(part.Shards, shardID(n))
		}
		c, err := o.measureCall(concurrentCalls, func() error {
			p := part
			p.Deadline = time.Now().Add(callDeadline)
			_, err := client.Dispatch(ctx, to, p)
			return err
		})
		if err != nil {
			return nil, err
		}
		local.add(size, c.local)
		remote.add(size, c.remote)
		wire.add(size, c.bytes)
	}
	return []Series{local, remote, wire}, nil
}

// subRequestSeries measures sub-requests from a dispatcher to one searcher, each
// in its own message, with several concurrent callers.
func subRequestSeries(ctx context.Context, o *remoteProcess) ([]Series, error) {
	local := Series{Name: "sub-requests to a searcher: dispatcher", Unit: "us", Per: "sub-requests"}
	wire := Series{Name: "sub-requests to a searcher: both ways", Unit: "B", Per: "sub-requests"}
	client := hyssearch.New()
	defer client.Close()
	d := hysdispatch.New(client.Send)
	d.SetReplicas("service-0", []hysdispatch.Replica{replica(o.Searcher)}, 2)
	for _, count := range subRequestCounts {
		c, err := o.measureCall(concurrentCalls, func() error { return submit(ctx, d, count) })
		if err != nil {
			return nil, err
		}
		local.add(count, c.local)
		wire.add(count, c.bytes)
	}
	return []Series{local, wire}, nil
}

func replica(address hysmember.Address) hysdispatch.Replica {
	return hysdispatch.Replica{
		Searcher:    hysmember.Searcher{ID: "searcher-0", Service: "service-0", Address: address},
		Incarnation: 1,
		Holdings: []hyssnapshot.Holding{{Epoch: 3, Range: hyssnapshot.Range{
			Shard: 0, From: 0, To: hyssnapshot.KeySpace, Versions: []hyssnapshot.Version{7},
		}}},
	}
}

func submit(ctx context.Context, d *hysdispatch.Dispatcher, count int) error {
	for n := range count {
		reply := d.Submit(ctx, hysdispatch.SubRequest{
			RequestID: hysquery.RequestID(fmt.Sprintf("request-%d", n)), Group: "group-1", Weight: 3,
			Service: "service-0", Idempotent: true, Version: 7, Epoch: 3,
			Body: []byte(`{"find":"treble","limit":1}`), Deadline: time.Now().Add(callDeadline),
		})
		if reply.Status != hysquery.ShardAnswered {
			return fmt.Errorf("submit: %s: %w", reply.Reason, errIncomplete)
		}
	}
	return nil
}
