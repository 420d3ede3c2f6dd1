package hyslimit

import "time"

// peakSpan is how long the highest number of instances stands. An instance whose
// announcement is lost still sends, and announces itself again before that.
const peakSpan = time.Minute

// Peak is the highest number of instances that was counted lately. A number that is
// too low would make each instance's own part too large. It is not safe for
// concurrent use.
type Peak struct {
	highest int
	until   time.Time
}

// Add adds a count, and returns the highest number.
func (p *Peak) Add(now time.Time, count int) int {
	if count >= p.highest || !now.Before(p.until) {
		p.highest, p.until = count, now.Add(peakSpan)
	}
	return p.highest
}
