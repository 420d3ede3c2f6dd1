package hyslimit

import (
	"sync"
	"time"

	"hyssopshore/core/hysmember"
)

// accountTTL is how long an allocator keeps what it knows of a searcher that nobody
// asks for.
const accountTTL = time.Minute

// intervalPerAsk is how much longer the instances wait between two asks for each
// message that reached the allocator within the last second.
const intervalPerAsk = time.Millisecond

// headroom is how many times its need an instance may get while others don't need it.
const headroom = 2

// wantedSpan is the span over which the wanted permits are counted.
const wantedSpan = time.Second

// Allocator hands out permits of the searchers that it is responsible for. It is safe
// for concurrent use.
type Allocator struct {
	now func() time.Time

	mu       sync.Mutex
	accounts map[hysmember.SearcherID]*account
	messages counter
	sweptAt  time.Time
}

// AllocatorOption configures an Allocator.
type AllocatorOption func(*Allocator)

// WithClock replaces the clock.
func WithClock(now func() time.Time) AllocatorOption {
	return func(a *Allocator) { a.now = now }
}

// NewAllocator returns an allocator that knows no searcher.
func NewAllocator(options ...AllocatorOption) *Allocator {
	a := &Allocator{now: time.Now, accounts: make(map[hysmember.SearcherID]*account), messages: counter{span: time.Second}}
	for _, o := range options {
		o(a)
	}
	return a
}

// Grant answers the asks of one message of an instance, each with one grant.
func (a *Allocator) Grant(asks Asks, mode Mode) Grants {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.sweep(now)
	a.messages.add(now, 1)
	interval := min(max(time.Duration(a.messages.value(now))*intervalPerAsk, minAskInterval), maxAskInterval)
	grants := make(Grants, 0, len(asks))
	for _, ask := range asks {
		grants = append(grants, a.account(now, ask).grant(now, ask, mode, interval))
	}
	return grants
}

// account returns the account of an incarnation of a searcher.
func (a *Allocator) account(now time.Time, ask Ask) *account {
	known, ok := a.accounts[ask.Searcher]
	if !ok || ask.Incarnation > known.incarnation {
		known = newAccount(now, ask.Incarnation)
		a.accounts[ask.Searcher] = known
	}
	known.askedAt = now
	return known
}

// sweep removes the accounts that nobody has asked for lately.
func (a *Allocator) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < accountTTL {
		return
	}
	a.sweptAt = now
	for id, known := range a.accounts {
		if now.Sub(known.askedAt) > accountTTL {
			delete(a.accounts, id)
		}
	}
}

// account is what the allocator knows of one incarnation of a searcher.
type account struct {
	incarnation uint64
	limit       Limit
	askedAt     time.Time
	// allocated holds the tokens of the allocator, deputy those that it may use in
	// place of another one.
	allocated bucket
	deputy    bucket
	// wanted counts the permits that all instances have wanted lately.
	wanted counter
}

func newAccount(now time.Time, incarnation uint64) *account {
	return &account{
		incarnation: incarnation, allocated: bucket{updated: now}, deputy: bucket{updated: now},
		wanted: counter{span: wantedSpan},
	}
}

// grant answers one ask. If more is wanted than there is, each instance gets the same
// share of what it wants, and at least one permit as long as there are tokens. The
// tokens of reserveSpan are only for sends that wait.
func (a *account) grant(now time.Time, ask Ask, mode Mode, interval time.Duration) Grant {
	g := Grant{Searcher: ask.Searcher, Incarnation: a.incarnation, Interval: interval}
	if ask.Incarnation < a.incarnation {
		return g
	}
	a.limit = a.limit.merge(ask.Limit)
	g.Limit = a.limit
	if !a.limit.Limited || ask.Wanted <= 0 {
		return g
	}
	wanted, rate := float64(ask.Wanted), a.refill(now, mode)
	all := a.wantedIn(now, interval, wanted)
	supply := rate.in(interval)
	g.Rate = Rate(max(supply*wanted/all, supply-all+wanted) / interval.Seconds())
	free := a.tokens(mode) - rate.reserve()
	share := max(min(max(supply, free)*wanted/all, headroom*wanted), 1)
	forWaiting := min(ask.Waiting, int(a.tokens(mode)))
	g.Permits = max(min(int(share), int(free)), forWaiting, 0)
	a.take(g.Permits, mode)
	return g
}

// wantedIn counts what an ask wants, and returns how many permits all instances want
// within an interval.
func (a *account) wantedIn(now time.Time, interval time.Duration, wanted float64) float64 {
	a.wanted.add(now, wanted)
	return max(a.wanted.value(now)*interval.Seconds()/wantedSpan.Seconds(), wanted)
}

// tokens returns the number of tokens that there are in a mode.
func (a *account) tokens(mode Mode) float64 {
	if mode == ModeDeputy {
		return min(a.allocated.tokens, a.deputy.tokens)
	}
	return a.allocated.tokens
}

// refill adds the tokens since the last ask and returns the rate of the mode.
func (a *account) refill(now time.Time, mode Mode) Rate {
	rate := a.limit.Rate.effective()
	a.allocated.refill(now, rate*allocatedShare)
	a.deputy.refill(now, rate*deputyShare)
	if mode == ModeDeputy {
		return rate * deputyShare
	}
	return rate * allocatedShare
}

// take takes tokens. What the allocator hands out in place of another one counts as its
// own too.
func (a *account) take(count int, mode Mode) {
	if mode == ModeDeputy {
		a.deputy.tokens -= float64(count)
	}
	a.allocated.tokens -= float64(count)
}

// bucket is a token bucket that is empty at first.
type bucket struct {
	tokens  float64
	updated time.Time
}

// refill adds the tokens of a rate since the last call. It keeps those of burstSpan,
// and at least one.
func (b *bucket) refill(now time.Time, r Rate) {
	b.tokens = min(b.tokens+r.in(now.Sub(b.updated)), r.burst())
	b.updated = now
}

// counter estimates a sum over the last span from the sums of two spans.
type counter struct {
	span     time.Duration
	start    time.Time
	current  float64
	previous float64
}

func (c *counter) add(now time.Time, count float64) {
	c.advance(now)
	c.current += count
}

// value returns the estimated sum over the last span.
func (c *counter) value(now time.Time) float64 {
	c.advance(now)
	return c.current + c.previous*(1-float64(now.Sub(c.start))/float64(c.span))
}

// advance begins a new span if the current one is over.
func (c *counter) advance(now time.Time) {
	switch elapsed := now.Sub(c.start); {
	case elapsed < c.span:
	case elapsed < 2*c.span:
		c.previous, c.current, c.start = c.current, 0, c.start.Add(c.span)
	default:
		c.previous, c.current, c.start = 0, 0, now
	}
}
