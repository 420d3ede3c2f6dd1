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

// unknownFor is how long after the start an instance without a report may get
// work.
const unknownFor = 1500 * time.Millisecond

// refuteRound is the time that each round of an epidemic may take until an
// instance that was called unreachable is heard again.
const refuteRound = 250 * time.Millisecond

// extraRefuteRounds are the rounds beyond those of the epidemic: the failed
// exchange that the word came from, and the answer's way.
const extraRefuteRounds = 2

// maxFailures is how many exchanges in a row may fail before this daemon gives
// an instance no more work.
const maxFailures = 2

// Table keeps the newest report of each instance, the digests of all members
// and the news to pass on. It is safe for concurrent use. Lock order:
// View.mu, then Table.mu, then Infos.mu.
type Table struct {
	mu       sync.Mutex
	now      func() time.Time
	started  time.Time
	reports  map[hysmember.InstanceID]entry
	failures map[hysmember.InstanceID]int
	// unanswered is the number of failed exchanges since one succeeded.
	unanswered int
	digests    *digests
	rumors     *rumors
}

type entry struct {
	report *peer.Report
	// accused is when the instance was first called unreachable.
	accused time.Time
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{
		now: now, started: now(),
		reports:  make(map[hysmember.InstanceID]entry),
		failures: make(map[hysmember.InstanceID]int),
		digests:  newDigests(),
		rumors:   newRumors(now),
	}
}

// Merge keeps the reports that are newer than the known ones. Those that are
// passed on go to other daemons as news.
func (t *Table) Merge(reports []*peer.Report, pass bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if t.merge(r) && pass {
			t.rumors.addInstance(hysmember.InstanceID(r.GetInstance()), len(t.reports))
		}
	}
}

func (t *Table) merge(r *peer.Report) bool {
	id := hysmember.InstanceID(r.GetInstance())
	known, ok := t.reports[id]
	if ok && compareReports(r, known.report) <= 0 {
		return false
	}
	e := entry{report: r}
	if r.GetUnreachable() {
		e.accused = t.now()
	}
	// What an instance tells does not show that it answers; a new start may.
	if r.GetIncarnation() > known.report.GetIncarnation() {
		delete(t.failures, id)
	}
	t.reports[id] = e
	t.digests.set(instanceKey(id), contentOf(r))
	return true
}

// compareReports orders the reports of one instance. The word of a peer that
// could not reach it counts only until the instance speaks again. No clocks of
// two instances are compared. Two starts of an instance may have the same
// incarnation if its clock is set back; the content then decides, and the
// instance goes past both.
func compareReports(a, b *peer.Report) int {
	age := cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
		compareBool(a.GetUnreachable(), b.GetUnreachable()),
	)
	if age != 0 {
		return age
	}
	return compareContent(a, b)
}

func compareContent(a, b *peer.Report) int {
	if proto.Equal(a, b) {
		return 0
	}
	return cmp.Compare(contentOf(a), contentOf(b))
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

func contentOf(m proto.Message) uint64 {
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

// Retain forgets the instances that keep reports false for.
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

// Usable reports whether an instance may get work: it has told of itself, is
// not leaving and can be reached. Right after the start nothing is known and
// all are usable.
func (t *Table) Usable(id hysmember.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failures[id] >= maxFailures {
		return false
	}
	e, ok := t.reports[id]
	if !ok {
		return t.now().Sub(t.started) < unknownFor
	}
	if e.report.GetUnreachable() && t.now().Sub(e.accused) >= t.refuteTime() {
		return false
	}
	return !e.report.GetLeaving()
}

// refuteTime is how long an instance that was called unreachable has to be
// heard again. It grows with the rounds that news take.
func (t *Table) refuteTime() time.Duration {
	return refuteRound * time.Duration(rounds(len(t.reports))+extraRefuteRounds)
}

// RecordSuccess notes that an instance answered this daemon.
func (t *Table) RecordSuccess(id hysmember.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failures, id)
	t.unanswered = 0
}

// RecordFailure notes that an instance did not answer this daemon, and calls it
// unreachable, unless nobody answers this daemon: then the fault is its own.
func (t *Table) RecordFailure(id hysmember.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures[id]++
	t.unanswered++
	e, ok := t.reports[id]
	if !ok || e.report.GetUnreachable() || t.unanswered > maxUnanswered {
		return
	}
	accused := proto.CloneOf(e.report)
	accused.Unreachable = true
	t.merge(accused)
	t.rumors.addInstance(id, len(t.reports))
}

// failing returns an instance that did not answer this daemon.
func (t *Table) failing() (hysmember.InstanceID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.failures {
		return id, true
	}
	return "", false
}

// maxUnanswered is how many exchanges in a row may fail before a daemon no
// longer trusts its own view of others.
const maxUnanswered = 8
