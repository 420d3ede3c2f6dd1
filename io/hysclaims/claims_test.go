package hysclaims_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysclaim"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysclaims"
	"hyssopshore/io/hysstore"
)

func TestMain(m *testing.M) { hyssuite.Main(m, 2000) }

func TestClaims(t *testing.T) {
	hyssuite.Run(t, "Claims")
}

// script is one case of testdata/claims.json.
type script struct {
	Name  string `json:"name"`
	Steps []step `json:"steps"`
}

type step struct {
	Fault  *hysstandin.PlatformFault `json:"fault"`
	Daemon int                       `json:"daemon"`
	Do     string                    `json:"do"`
	ID     string                    `json:"id"`
	Raw    hysquery.RequestID        `json:"raw"`
	Minute int                       `json:"minute"`
	Upper  bool                      `json:"upper"`
	Hits   int                       `json:"hits"`
	WaitMS int64                     `json:"wait-ms"`
	Expect string                    `json:"expect"`
}

func (s step) id() hysquery.RequestID {
	id := s.Raw
	if id == "" {
		id = idAt(s.ID, s.Minute)
	}
	if s.Upper {
		id = hysquery.RequestID(strings.ToUpper(string(id)))
	}
	return id
}

// idAt returns a request id of version 7, issued at a minute. It is the same for
// the same arguments, and always in partition 0.
func idAt(name string, minute int) hysquery.RequestID {
	issued := time.Unix(1_800_000_000, 0).Add(time.Duration(minute) * time.Minute)
	for salt := uint64(0); ; salt++ {
		var u uuid.UUID
		binary.BigEndian.PutUint64(u[:8], uint64(issued.UnixMilli())<<16)
		binary.BigEndian.PutUint64(u[8:], xxhash.Sum64String(name)+salt)
		u[6] = 0x70
		u[8] = u[8]&0x3f | 0x80
		id := hysquery.RequestID(u.String())
		if slot, err := hysclaim.SlotOf(id); err == nil && slot.Partition == 0 {
			return id
		}
	}
}

// fixture is a platform with the Claims of three daemons.
type fixture struct {
	platform *hysstandin.Platform
	address  hysmember.Address
	daemons  [3]*hysclaims.Claims
	won      map[hysquery.RequestID]hysclaim.Claim
	backup   map[string][]byte
}

func newFixture() *fixture {
	b := &fixture{platform: hysstandin.NewPlatform(), won: make(map[hysquery.RequestID]hysclaim.Claim)}
	server := httptest.NewServer(b.platform.Handler())
	DeferCleanup(server.Close)
	b.address = hysmember.Address(server.Listener.Addr().String())
	for i := range b.daemons {
		b.start(i)
	}
	return b
}

func (b *fixture) start(i int) {
	b.daemons[i] = hysclaims.New(hysstore.New(b.address), hysclaims.WithTimeout(500*time.Millisecond))
}

func (b *fixture) run(s step) string {
	if s.Fault != nil {
		b.platform.SetFault(*s.Fault)
	}
	ctx := context.Background()
	switch s.Do {
	case "restart":
		b.start(s.Daemon)
	case "wait":
		time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
	case "backup":
		b.backup = b.platform.Snapshot()
	case "restore":
		b.platform.Restore(b.backup)
	case "record":
		answer := hysquery.Answer{RequestID: s.id(), Outcome: hysquery.OutcomeComplete}
		for i := range s.Hits {
			answer.Hits = append(answer.Hits, json.RawMessage(fmt.Sprintf(`"hit %d"`, i)))
		}
		if err := b.daemons[s.Daemon].Record(ctx, b.won[s.id()], answer); err != nil {
			return err.Error()
		}
		return "done"
	default:
		return b.claim(ctx, s)
	}
	return ""
}

func (b *fixture) claim(ctx context.Context, s step) string {
	claim, won, err := b.daemons[s.Daemon].Claim(ctx, s.id())
	switch {
	case errors.Is(err, hysquery.ErrInvalid):
		return "invalid"
	case errors.Is(err, hysclaim.ErrExpired):
		return "forgotten"
	case err != nil:
		return "refused"
	case won:
		b.won[s.id()] = claim
		return "won"
	case claim.Answer == nil:
		return "unanswered"
	case claim.Answer.Outcome == hysquery.OutcomeComplete:
		return "answered"
	default:
		return claim.Answer.Outcome.String()
	}
}

var _ = Describe("Claims", func() {
	var scripts []script
	hyssuite.Read("claims.json", &scripts)
	for _, script := range scripts {
		It(script.Name, func() {
			b := newFixture()
			for i, s := range script.Steps {
				Expect(b.run(s)).To(Equal(s.Expect), "step %d", i)
			}
		})
	}

	It("keeps each page below the store's largest value, and rejects further claims", func() {
		page := &hysclaim.Page{}
		answer := hysquery.Answer{Hits: []json.RawMessage{json.RawMessage(`"` + strings.Repeat("x", 1500) + `"`)}}
		count := 0
		for ; ; count++ {
			id := hysquery.RequestID(uuid.NewString())
			if _, _, err := page.Claim(1, id, "nonce-of-36-bytes-nonce-of-36-bytes-"); err != nil {
				Expect(errors.Is(err, hysclaim.ErrFull)).To(BeTrue())
				break
			}
			page.RecordAnswer(id, "nonce-of-36-bytes-nonce-of-36-bytes-", answer)
		}
		data, err := page.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<", 1<<20))
		Expect(count).To(BeNumerically(">", 400))
	})

	It("keeps claims for longer than request ids are accepted", func() {
		kept := (hysclaim.RingSize - 1) * hysclaim.WindowLength
		Expect(kept).To(BeNumerically(">", hysquery.ClaimRetention+hysquery.MaxClockAhead))
	})
})

func freshID() hysquery.RequestID {
	return hysquery.RequestID(uuid.Must(uuid.NewV7()).String())
}

// newLoadFixture returns the Claims of count daemons with a platform that delays
// each call by 2 ms, and a function that returns the platform's counts.
func newLoadFixture(t *testing.T, count int) ([]*hysclaims.Claims, func() hysstandin.PlatformCounts) {
	p := hysstandin.NewPlatform()
	p.SetFault(hysstandin.PlatformFault{DelayMS: 2})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	var daemons []*hysclaims.Claims
	for range count {
		store := hysstore.New(hysmember.Address(server.Listener.Addr().String()))
		daemons = append(daemons, hysclaims.New(store))
	}
	return daemons, p.Counts
}
