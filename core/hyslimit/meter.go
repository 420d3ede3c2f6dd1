package hyslimit

import (
	"math"
	"time"
)

// Meter decides when this instance may send to one incarnation of a searcher. Without
// a limit it may always send.
type Meter struct {
	limit Limit
	// own is this instance's own part, which it uses while alone is set: no allocator
	// has answered its last ask.
	own   ownPart
	alone bool
	// permits may be used until permitsUntil.
	permits      int
	permitsUntil time.Time
	// needed counts the sends since the last ask that were made or held back.
	needed int
	// urgent counts those of them that were made for urgent requests. urgentPeak is the
	// highest count between two asks, which halves with each ask.
	urgent     int
	urgentPeak float64
	// missed is set if one of them was held back.
	missed bool
	// wanted is the number of permits asked for, until there is a reply. scarce is set
	// if the last reply granted fewer.
	wanted int
	scarce bool
	// refused is set if it granted none.
	refused bool
	// part is the rate that this instance could have.
	part Rate
	// askedAt is when permits were last asked for, askAt when they may be again.
	askedAt time.Time
	askAt   time.Time
	// unknown is set while the searcher states a limit that can't be used and none is
	// known, until the allocator was asked for the one that others know.
	unknown bool
	// reportLifted is set until the allocator was told that the limit is lifted.
	reportLifted bool
	// sends and heldBack count since the limit was learned.
	sends    int64
	heldBack int64
}

// NewMeter returns the meter of a searcher that has stated no limit.
func NewMeter() *Meter { return &Meter{} }

// Limit returns what is known of the limit.
func (m *Meter) Limit() Limit { return m.limit }

// Sends returns the number of sends since the limit was learned.
func (m *Meter) Sends() int64 { return m.sends }

// HeldBack returns the number of sends that were not made, or were made elsewhere,
// because of the limit.
func (m *Meter) HeldBack() int64 { return m.heldBack }

// Part returns the rate that this instance could have of the limit.
func (m *Meter) Part() Rate { return m.part }

// Record applies what a response that arrived now states, where sentAt is when its
// request was sent, and returns what has changed.
func (m *Meter) Record(now, sentAt time.Time, s Statement) Change {
	m.unknown = s.Kind == StatementInvalid && !m.limit.Limited
	return m.replace(m.limit.record(now, sentAt, s))
}

// replace replaces the limit, and returns what has changed.
func (m *Meter) replace(next Limit) Change {
	before := m.limit
	m.limit = next
	change := before.changeTo(next)
	switch change {
	case ChangeLearned:
		*m = Meter{limit: next, part: next.Rate.effective() * allocatedShare}
	case ChangeChanged:
		// Permits of a higher limit are worth less.
		ratio := float64(next.Rate.effective() / before.Rate.effective())
		m.permits = int(float64(m.permits) * min(ratio, 1))
		m.part *= Rate(ratio)
	case ChangeLifted:
		m.reportLifted = true
	}
	return change
}

// SetInstances sets the number of instances among which the own part is divided; 0 if
// it is not known.
func (m *Meter) SetInstances(now time.Time, count int) {
	rate := Rate(0)
	if count > 0 {
		rate = m.limit.Rate.effective() * ownShare / Rate(count)
	}
	m.own.setRate(now, rate)
}

// Ready reports whether a send may be made now.
func (m *Meter) Ready(now time.Time) bool { return !m.NextAt(now).After(now) }

// ReadyForBulk reports whether a send for a bulk request may be made now. Permits that
// urgent requests will likely need are kept for them.
func (m *Meter) ReadyForBulk(now time.Time) bool {
	if !m.limit.Limited {
		return true
	}
	return m.validPermits(now) > m.keptForUrgent() || m.alone && !m.own.nextAt(now).After(now)
}

// keptForUrgent returns how many permits are kept for urgent requests: as many as they
// have lately needed between two asks.
func (m *Meter) keptForUrgent() int { return int(math.Ceil(m.urgentPeak - 0.5)) }

// NextAt estimates when the next send may be made. It is in the past if one may be
// made now.
func (m *Meter) NextAt(now time.Time) time.Time {
	if !m.limit.Limited || m.validPermits(now) > 0 {
		return time.Time{}
	}
	granted := m.grantExpectedAt(now)
	if own := m.own.nextAt(now); m.alone && own.Before(granted) {
		return own
	}
	return granted
}

// grantExpectedAt estimates when the next permit arrives, after now.
func (m *Meter) grantExpectedAt(now time.Time) time.Time {
	soon := now.Add(replyTime)
	if m.wanted > 0 || m.askedAt.IsZero() {
		return soon
	}
	return later(soon, later(m.nextAsk(1), m.askedAt.Add(m.part.interval())))
}

func (m *Meter) validPermits(now time.Time) int {
	if !now.Before(m.permitsUntil) {
		return 0
	}
	return m.permits
}

// Take counts a send, which uses a permit or else the own part.
func (m *Meter) Take(now time.Time, urgent bool) {
	if !m.limit.Limited {
		return
	}
	m.sends++
	m.needed++
	if urgent {
		m.urgent++
	}
	if m.validPermits(now) > 0 {
		m.permits--
		return
	}
	m.own.take(now)
}

// HoldBack counts a send that would have been made if there had been a permit.
func (m *Meter) HoldBack() {
	m.heldBack++
	m.needed++
	m.missed = true
}

// Ask returns an ask for permits, and true if one is to be sent now; waiting is the
// number of sends that wait for a permit. The ask counts as sent.
func (m *Meter) Ask(now time.Time, waiting int) (Ask, bool) {
	if m.reportLifted {
		m.reportLifted = false
		return Ask{Limit: m.limit}, true
	}
	if m.unknown && !now.Before(m.askAt) {
		m.unknown, m.askAt = false, now.Add(minAskInterval)
		return Ask{Limit: m.limit}, true
	}
	if !m.limit.Limited || !m.Pending(waiting) || now.Before(m.nextAsk(waiting)) {
		return Ask{}, false
	}
	m.wanted = max(m.needed+waiting-m.validPermits(now), 1)
	ask := Ask{Limit: m.limit, Wanted: m.wanted, Waiting: min(waiting, m.wanted)}
	m.needed, m.missed = 0, false
	m.urgentPeak, m.urgent = max(m.urgentPeak/2, float64(m.urgent)), 0
	m.askedAt, m.askAt = now, now.Add(replyTimeout)
	return ask, true
}

// Pending reports whether permits are to be asked for, now or later.
func (m *Meter) Pending(waiting int) bool {
	return m.reportLifted || m.unknown || m.limit.Limited && m.needed+waiting > 0
}

// nextAsk returns when permits may be asked for: earlier than usual if sends wait, or
// if the last ones were as many as wanted and turned out to be too few.
func (m *Meter) nextAsk(waiting int) time.Time {
	urgent := waiting > 0 && !m.refused || m.missed && !m.scarce
	if m.wanted > 0 || !urgent {
		return m.askAt
	}
	return m.askedAt.Add(urgentAskInterval)
}

// Apply applies a grant that arrived now in reply to an ask that was sent at a time.
// It returns what has changed of the limit.
func (m *Meter) Apply(now, askedAt time.Time, g Grant) Change {
	change := m.replace(m.limit.merge(g.Limit))
	interval := min(max(g.Interval, minAskInterval), maxAskInterval)
	m.alone, m.scarce, m.refused, m.wanted = false, g.Permits < m.wanted, g.Permits <= 0, 0
	m.permits = m.validPermits(now) + max(g.Permits, 0)
	m.permitsUntil = later(m.permitsUntil, askedAt.Add(interval+permitMargin))
	m.askAt = askedAt.Add(interval)
	m.part = g.Rate
	return change
}

// Fail applies that no allocator has replied to an ask. The instance then has only its
// own part.
func (m *Meter) Fail(now time.Time) {
	m.askAt, m.wanted, m.scarce, m.refused = now.Add(minAskInterval), 0, true, true
	m.alone, m.part = true, 0
	if m.own.interval > 0 {
		m.part = Rate(1 / m.own.interval.Seconds())
	}
}
