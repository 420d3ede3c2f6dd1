package hysintake_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hyssopshore/core/hysintake"
	"hyssopshore/internal/hyssuite"
)

const fuzzChecks = 500

func TestMain(m *testing.M) { hyssuite.Main(m, fuzzChecks) }

func TestIntake(t *testing.T) {
	hyssuite.Run(t, "Intake")
}

// step is one step of a script in testdata/intake.json: a connection is opened, its
// request holds bytes, arrives, is answered, or the connection is closed.
type step struct {
	AtMS    int                    `json:"at-ms"`
	Open    hysintake.ConnectionID `json:"open"`
	Hold    hysintake.ConnectionID `json:"hold"`
	Bytes   int64                  `json:"bytes"`
	Begin   hysintake.ConnectionID `json:"begin"`
	End     hysintake.ConnectionID `json:"end"`
	Close   hysintake.ConnectionID `json:"close"`
	Evicted []string               `json:"evicted"`
	Refused bool                   `json:"refused"`
}

type script struct {
	Name        string `json:"name"`
	Connections int    `json:"connections"`
	Bytes       int64  `json:"bytes"`
	Steps       []step `json:"steps"`
}

// run runs a step and returns the evictions, and whether it was refused.
func (s step) run(t *hysintake.Table) (hysintake.Evictions, bool) {
	switch {
	case s.Open != 0:
		evictions, ok := t.Open(s.Open)
		return evictions, !ok
	case s.Hold != 0:
		return t.Hold(s.Hold, s.Bytes), false
	case s.Begin != 0:
		return nil, !t.Begin(s.Begin)
	case s.End != 0:
		t.End(s.End)
	default:
		t.Close(s.Close)
	}
	return nil, false
}

var _ = Describe("a table of connections", func() {
	var scripts []script
	hyssuite.Read("intake.json", &scripts)
	for _, c := range scripts {
		It(c.Name, func() {
			now := time.Unix(0, 0)
			table := hysintake.NewTable(hysintake.Limits{Connections: c.Connections, Bytes: c.Bytes}, func() time.Time { return now })
			for i, s := range c.Steps {
				now = time.UnixMilli(int64(s.AtMS))
				evictions, refused := s.run(table)
				var evicted []string
				for _, e := range evictions {
					evicted = append(evicted, fmt.Sprint(e.ID, " ", e.Reason))
				}
				Expect(evicted).To(Equal(s.Evicted), "step %d", i)
				Expect(refused).To(Equal(s.Refused), "step %d", i)
			}
		})
	}
})

// model is what must hold, without an order of evictions.
type model struct {
	running map[hysintake.ConnectionID]bool
	evicted map[hysintake.ConnectionID]bool
	open    map[hysintake.ConnectionID]bool
	// bytes is what the requests hold that hold anything.
	bytes map[hysintake.ConnectionID]int64
}

// forget removes what a request held.
func (m *model) forget(id hysintake.ConnectionID) {
	delete(m.running, id)
	delete(m.bytes, id)
}

// hold records what a request holds.
func (m *model) hold(id hysintake.ConnectionID, bytes int64) {
	if m.open[id] && !m.evicted[id] && !m.running[id] && bytes-hysintake.UncountedBytes > m.bytes[id] {
		m.bytes[id] = bytes - hysintake.UncountedBytes
	}
}

// total returns what all requests hold.
func (m *model) total() int64 {
	sum := int64(0)
	for _, b := range m.bytes {
		sum += b
	}
	return sum
}

// TestAnyOrder plays calls in any order: a running request is never evicted, an evicted
// one never begins, and no limit is exceeded but by a request that holds memory alone.
func TestAnyOrder(t *testing.T) {
	limits := hysintake.Limits{Connections: 4, Bytes: 10_000}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		table := hysintake.NewTable(limits, func() time.Time { return now })
		m := model{running: map[hysintake.ConnectionID]bool{}, evicted: map[hysintake.ConnectionID]bool{}, open: map[hysintake.ConnectionID]bool{}, bytes: map[hysintake.ConnectionID]int64{}}
		next := hysintake.ConnectionID(0)
		pick := func(t *rapid.T) hysintake.ConnectionID {
			return hysintake.ConnectionID(rapid.Uint64Range(1, uint64(next)+1).Draw(t, "id"))
		}
		evict := func(evictions hysintake.Evictions) {
			for _, e := range evictions {
				if m.running[e.ID] || m.evicted[e.ID] || !m.open[e.ID] {
					t.Fatalf("evicted %+v", e)
				}
				m.evicted[e.ID] = true
				m.forget(e.ID)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				next++
				evictions, ok := table.Open(next)
				if ok {
					m.open[next] = true
				}
				evict(evictions)
			},
			"hold": func(t *rapid.T) {
				id, bytes := pick(t), rapid.Int64Range(0, 20_000).Draw(t, "bytes")
				m.hold(id, bytes)
				evict(table.Hold(id, bytes))
			},
			"begin": func(t *rapid.T) {
				id := pick(t)
				if ok := table.Begin(id); ok != (m.open[id] && !m.evicted[id]) {
					t.Fatalf("begin %d: %t", id, ok)
				} else if ok {
					m.running[id] = true
				}
			},
			"end": func(t *rapid.T) {
				id := pick(t)
				table.End(id)
				m.forget(id)
			},
			"close": func(t *rapid.T) {
				id := pick(t)
				table.Close(id)
				m.forget(id)
				delete(m.evicted, id)
				delete(m.open, id)
			},
			"": func(t *rapid.T) {
				now = now.Add(time.Millisecond)
				// One more may be closing.
				if table.Connections() != len(m.open) || len(m.open) > limits.Connections+1 || len(m.open)-len(m.evicted) > limits.Connections {
					t.Fatalf("%d connections, %d evicted", table.Connections(), len(m.evicted))
				}
				if table.Bytes() != m.total() || table.Bytes() > limits.Bytes && len(m.bytes) > 1 {
					t.Fatalf("%d bytes, %v", table.Bytes(), m.bytes)
				}
			},
		})
	})
}
