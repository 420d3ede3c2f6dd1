package hyspeer

import (
	"cmp"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/gen/peer"
)

// startupGrace is how long after the start of this instance another one may
// get work although it has not sent a report yet.
const startupGrace = 1500 * time.Millisecond

// refuteTimePerRound is the time allowed for each gossip round until an
// instance that was reported unreachable has refuted the report.
const refuteTimePerRound = 250 * time.Millisecond

// extraRefuteRounds are the rounds beyond those of gossip: the failed exchange
// that caused the report, and the way back of the refutation.
const extraRefuteRounds = 2

// maxFailures is the number of consecutive failed exchanges with an instance
// after which this instance sends it no more work.
const maxFailures = 2

// Table holds the newest report of each instance, the digests of all members
// and the updates to pass on. It is safe for concurrent use. Lock order:
// View.mu, then Table.mu, then Infos.mu.
type Table struct {
	mu       sync.Mutex
	now      func() time.Time
	started  time.Time
	reports  map[hysmember.InstanceID]reportEntry
	failures map[hysmember.InstanceID]int
	// consecutiveFailures counts the failed exchanges with any instance since
	// the last successful one.
	consecutiveFailures int
	digests             *digests
	gossip              *gossipQueue
}

type reportEntry struct {
	report *peer.Report
	// unreachableSince is when the instance was first reported unreachable.
	unreachableSince time.Time
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{
		now: now, started: now(),
		reports:  make(map[hysmember.InstanceID]reportEntry),
		failures: make(map[hysmember.InstanceID]int),
		digests:  newDigests(),
		gossip:   newGossipQueue(now),
	}
}

// Merge applies the reports that are newer than the known ones. With gossip
// set they are also queued to be passed on to other instances.
func (t *Table) Merge(reports []*peer.Report, gossip bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if t.merge(r) && gossip {
			t.gossip.addInstance(hysmember.InstanceID(r.GetInstance()), len(t.reports))
		}
	}
}

func (t *Table) merge(r *peer.Report) bool {
	id := hysmember.InstanceID(r.GetInstance())
	known, ok := t.reports[id]
	if ok && compareReports(r, known.report) <= 0 {
		return false
	}
	e := reportEntry{report: r}
	if r.GetUnreachable() {
		e.unreachableSince = t.now()
	}
	// A report does not show that the instance answers this one; a restart clears
	// the failures so that it is tried again.
	if r.GetIncarnation() > known.report.GetIncarnation() {
		delete(t.failures, id)
	}
	t.reports[id] = e
	t.digests.set(instanceKey(id), contentHash(r))
	return true
}

// compareReports orders the reports of one instance. A peer's report that the
// instance is unreachable holds only until the instance publishes a newer one.
// The clocks of two instances are never compared. If its clock is set back, an
// instance may start twice with the same incarnation; the content then decides
// the order, and the instance publishes a report that supersedes both.
func compareReports(a, b *peer.Report) int {
	order := cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
		compareBool(a.GetUnreachable(), b.GetUnreachable()),
	)
	if order != 0 {
		return order
	}
	return compareContent(a, b)
}

func compareContent(a, b *peer.Report) int {
	if proto.Equal(a, b) {
		return 0
	}
	return cmp.Compare(contentHash(a), contentHash(b))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func contentHash(m proto.Message) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// Report returns the newest report of an instance.
func (t *Table) Report(id hysmember.InstanceID) (*peer.Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.reports[id]
	return e.report, ok
}

// All returns the newest report of each instance.
func (t *Table) All() []*peer.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*peer.Report, 0, len(t.reports))
	for _, e := range t.reports {
		all = append(all, e.report)
	}
	return all
}

// Retain removes the instances for which keep returns false.
func (t *Table) Retain(keep func(hysmember.InstanceID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.reports {
		if !keep(id) {
			delete(t.reports, id)
			delete(t.failures, id)
			t.digests.remove(instanceKey(id))
		}
	}
}

// Usable reports whether an instance may get work: it has sent a report, is
// not leaving and is reachable. Right after the start, when no reports are
// known, all instances are usable.
func (t *Table) Usable(id hysmember.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failures[id] >= maxFailures {
		return false
	}
	e, ok := t.reports[id]
	if !ok {
		return t.now().Sub(t.started) < startupGrace
	}
	if e.report.GetUnreachable() && t.now().Sub(e.unreachableSince) >= t.refuteTimeout() {
		return false
	}
	return !e.report.GetLeaving()
}

// refuteTimeout is how long an instance that was reported unreachable has to
// refute that. It grows with the number of gossip rounds.
func (t *Table) refuteTimeout() time.Duration {
	return refuteTimePerRound * time.Duration(gossipRounds(len(t.reports))+extraRefuteRounds)
}

// RecordSuccess records that an instance answered this one.
func (t *Table) RecordSuccess(id hysmember.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failures, id)
	t.consecutiveFailures = 0
}

// RecordFailure records that an instance did not answer this one, and reports
// it unreachable unless no instance answers: then the fault is likely local.
func (t *Table) RecordFailure(id hysmember.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures[id]++
	t.consecutiveFailures++
	e, ok := t.reports[id]
	if !ok || e.report.GetUnreachable() || t.consecutiveFailures > maxConsecutiveFailures {
		return
	}
	report := proto.CloneOf(e.report)
	report.Unreachable = true
	t.merge(report)
	t.gossip.addInstance(id, len(t.reports))
}

// failing returns any instance whose last exchange with this one failed.
func (t *Table) failing() (hysmember.InstanceID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.failures {
		return id, true
	}
	return "", false
}

// maxConsecutiveFailures is the number of consecutive failed exchanges with
// any instances above which this instance no longer reports others
// unreachable.
const maxConsecutiveFailures = 8
