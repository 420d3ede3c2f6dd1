package hysgather_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/internal/hystest"
)

const (
	serviceName = hysservice.Name("captains-desk")
	records     = 40
	// lateRun is when a dispatcher runs a part that its caller has abandoned
	// long ago.
	lateRun = 5 * time.Second
)

var errLost = errors.New("connection lost")

// step is what a dispatcher does with one part.
type step struct {
	Does    string `json:"does"`
	AfterMS int    `json:"after-ms"`
}

// snapshotStep is what the searchers serve from a point in time on.
type snapshotStep struct {
	AtMS     int                   `json:"at-ms"`
	Epoch    hyssnapshot.Epoch     `json:"epoch"`
	Shards   int                   `json:"shards"`
	Versions []hyssnapshot.Version `json:"versions"`
	// Lacking shards serve no version.
	Lacking []int `json:"lacking"`
}

// cluster is a set of dispatchers that follow a script, and what they ran.
type cluster struct {
	mu        sync.Mutex
	once      bool
	started   time.Time
	snapshots []snapshotStep
	order     map[string][]string
	steps     map[string][]step
	calls     map[string]int
	runs      []hysservice.ShardID
	cancelled int
}

func (w *cluster) current() snapshotStep {
	now := time.Since(w.started)
	current := w.snapshots[0]
	for _, s := range w.snapshots {
		if now >= time.Duration(s.AtMS)*time.Millisecond {
			current = s
		}
	}
	return current
}

func (w *cluster) snapshot(hysservice.Name) (hyssnapshot.Map, bool) {
	s := w.current()
	var ranges []hyssnapshot.Range
	for i := range s.Shards {
		h := hystest.Holding(s.Epoch, i, s.Shards, s.Versions...)
		r := hyssnapshot.Range{Shard: h.Shard, From: h.From, To: h.To, Versions: h.Versions}
		if slices.Contains(s.Lacking, i) {
			r.Versions = nil
		}
		ranges = append(ranges, r)
	}
	m, err := hyssnapshot.NewMap(s.Epoch, ranges)
	return m, err == nil
}

func (w *cluster) rank(_ hysservice.Name, shard hysservice.ShardID) hysmember.Instances {
	names, ok := w.order[fmt.Sprint(shard)]
	if !ok {
		names = w.order["*"]
	}
	var order hysmember.Instances
	for _, n := range names {
		order = append(order, hysmember.Instance{ID: hysmember.InstanceID(n)})
	}
	return order
}

func (w *cluster) next(id hysmember.InstanceID) step {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := string(id)
	script := w.steps[name]
	if len(script) == 0 {
		return step{Does: "answer", AfterMS: 5}
	}
	i := min(w.calls[name], len(script)-1)
	w.calls[name]++
	return script[i]
}

func (w *cluster) cancellations() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cancelled
}

func (w *cluster) send(ctx context.Context, to hysmember.Instance, part hysgather.Part) ([]hysdispatch.SubReply, error) {
	s := w.next(to.ID)
	select {
	case <-time.After(time.Duration(s.AfterMS) * time.Millisecond):
	case <-ctx.Done():
		w.mu.Lock()
		w.cancelled++
		w.mu.Unlock()
		return nil, ctx.Err()
	}
	switch s.Does {
	case "refused":
		return nil, fmt.Errorf("dial: %w", hysgather.ErrNotSent)
	case "stall":
		<-ctx.Done()
		return nil, ctx.Err()
	case "lost":
		w.run(part)
		return nil, errLost
	case "run-late":
		time.AfterFunc(lateRun, func() { w.run(part) })
		return nil, errLost
	}
	return w.replies(s, part), nil
}

func (w *cluster) run(part hysgather.Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, part.Shards...)
}

func (w *cluster) ran() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// served returns ShardAnswered if the searchers still serve the snapshot of a
// part, and otherwise the status that says what is gone.
func (w *cluster) served(part hysgather.Part) hysquery.ShardStatus {
	s := w.current()
	if s.Epoch != part.Epoch {
		return hysquery.ShardEpochGone
	}
	if !slices.Contains(s.Versions, part.Version) {
		return hysquery.ShardVersionGone
	}
	return hysquery.ShardAnswered
}

func (w *cluster) replies(s step, part hysgather.Part) []hysdispatch.SubReply {
	status := w.served(part)
	switch s.Does {
	case "overloaded":
		status = hysquery.ShardOverloaded
	case "unavailable":
		status = hysquery.ShardUnavailable
	case "quarantined":
		status = hysquery.ShardQuarantined
	}
	if status == hysquery.ShardAnswered {
		w.run(part)
	}
	var replies []hysdispatch.SubReply
	for _, shard := range part.Shards {
		r := hysdispatch.SubReply{
			Shard: shard, Status: status, Version: part.Version, Epoch: part.Epoch,
			NotRun: status != hysquery.ShardAnswered, Reason: status.String(),
		}
		if status == hysquery.ShardAnswered {
			r.Hits = oracle(part.Epoch, part.Version, shard, w.shards(part.Epoch))
		}
		replies = append(replies, r)
	}
	return corrupt(s.Does, replies)
}

func (w *cluster) shards(epoch hyssnapshot.Epoch) int {
	for _, s := range w.snapshots {
		if s.Epoch == epoch {
			return s.Shards
		}
	}
	return 0
}

// corrupt makes the last of the replies wrong in the given way.
func corrupt(how string, replies []hysdispatch.SubReply) []hysdispatch.SubReply {
	last := &replies[len(replies)-1]
	switch how {
	case "wrong-version":
		last.Version++
		last.Hits = [][]byte{[]byte(`"of another version"`)}
	case "wrong-epoch":
		last.Epoch++
	case "wrong-shard":
		last.Shard += 100
	case "truncated":
		return replies[:len(replies)-1]
	case "doubled":
		return append(replies, *last)
	}
	return replies
}

// oracle returns what a shard holds at a version.
func oracle(epoch hyssnapshot.Epoch, version hyssnapshot.Version, shard hysservice.ShardID, shards int) [][]byte {
	h := hystest.Holding(epoch, int(shard), shards)
	var hits [][]byte
	for _, hit := range hysstandin.Search(serviceName, records, h, version, hysstandin.SearchBody{}) {
		hits = append(hits, hit)
	}
	return hits
}

// violation returns which invariant an answer breaks, or "".
func (w *cluster) violation(a hysquery.Answer) string {
	if a.Outcome == hysquery.OutcomeNotRun && w.ran() > 0 {
		return fmt.Sprintf("not run, but shards %v ran", w.runs)
	}
	if len(a.Coverage) == 0 {
		return ""
	}
	if v := gaps(a.Coverage); v != "" && !w.once {
		return v
	}
	var hits []string
	for _, c := range a.Coverage {
		if c.Status != hysquery.ShardAnswered {
			continue
		}
		for _, h := range oracle(a.Epoch, a.Version, c.Shard, w.shards(a.Epoch)) {
			hits = append(hits, string(h))
		}
	}
	if got := texts(a.Hits); !slices.Equal(got, hits) {
		return fmt.Sprintf("hits %v, the oracle has %v", got, hits)
	}
	if (a.Outcome == hysquery.OutcomeComplete) != (a.Coverage.Answered() == len(a.Coverage)) {
		return "outcome " + a.Outcome.String() + " does not match the coverage"
	}
	return ""
}

// gaps returns how a coverage fails to list the whole key space exactly once,
// or "".
func gaps(coverage hysquery.Coverage) string {
	next := uint64(0)
	for _, c := range coverage {
		if c.From != next {
			return fmt.Sprintf("coverage continues at %d, not at %d", c.From, next)
		}
		next = c.To
	}
	if next != hyssnapshot.KeySpace {
		return fmt.Sprintf("coverage ends at %d", next)
	}
	return ""
}

func texts(hits []json.RawMessage) []string {
	var t []string
	for _, h := range hits {
		t = append(t, string(h))
	}
	return t
}
