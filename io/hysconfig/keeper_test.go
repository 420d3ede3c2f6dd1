package hysconfig_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysconfig"
	"hyssopshore/io/hysstore"
)

func TestMain(m *testing.M) { hyssuite.Main(m, 500) }

func TestKeeper(t *testing.T) {
	hyssuite.Run(t, "Keeper")
}

// script is one case of testdata/keeper.json.
type script struct {
	Name  string `json:"name"`
	Steps []step `json:"steps"`
}

type step struct {
	Fault        *hysstandin.PlatformFault `json:"fault"`
	Daemon       int                       `json:"daemon"`
	Do           string                    `json:"do"`
	Number       hysticket.Number          `json:"number"`
	Weight       uint32                    `json:"weight"`
	Remove       bool                      `json:"remove"`
	Expect       string                    `json:"expect"`
	ExpectWeight *uint32                   `json:"expect-weight"`
	WaitMS       int64                     `json:"wait-ms"`
	// ExpectLogged is the number of a ticket that must be in the audit trail.
	ExpectLogged hysticket.Number `json:"expect-logged"`
	// ExpectEntries is how many entries the audit trail must have.
	ExpectEntries int `json:"expect-entries"`
}

func (s step) ticket() hysticket.Ticket {
	t := hysticket.Ticket{Number: s.Number, Author: "test"}
	if s.Remove {
		t.RemoveGroups = []hysgroup.Name{"g"}
	} else {
		t.Groups = hysgroup.Groups{{Name: "g", Weight: s.Weight}}
	}
	return t
}

// fixture is a platform with the keepers of several daemons.
type fixture struct {
	platform *hysstandin.Platform
	keepers  []*hysconfig.Keeper
	backup   map[string][]byte
}

func newFixture(daemons int) *fixture {
	b := &fixture{platform: hysstandin.NewPlatform()}
	server := httptest.NewServer(b.platform.Handler())
	DeferCleanup(server.Close)
	for range daemons {
		store := hysstore.New(hysmember.Address(server.Listener.Addr().String()))
		b.keepers = append(b.keepers, hysconfig.New(store))
	}
	return b
}

func (b *fixture) run(s step) {
	if s.Fault != nil {
		b.platform.SetFault(*s.Fault)
	}
	switch s.Do {
	case "backup":
		b.backup = b.platform.Snapshot()
	case "restore":
		b.platform.Restore(b.backup)
	case "many":
		for n := s.Number - 40; n < s.Number; n++ {
			result, err := b.keepers[s.Daemon].Apply(context.Background(), step{Number: n, Weight: uint32(n)}.ticket())
			Expect(result).To(Equal(hysticket.ResultAccepted), "%v", err)
		}
	case "exchange":
		for _, k := range b.keepers {
			k.Merge(b.keepers[s.Daemon].State())
		}
	}
	time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
	k := b.keepers[s.Daemon]
	if s.Number > 0 {
		result, _ := k.Apply(context.Background(), s.ticket())
		Expect(result.String()).To(Equal(s.Expect))
	}
	if s.ExpectWeight != nil {
		Expect(k.Refresh(context.Background())).To(Succeed())
		g, _ := k.State().Group("g")
		Expect(g.Weight).To(Equal(*s.ExpectWeight))
	}
	if s.ExpectLogged > 0 {
		trail, err := k.History(context.Background())
		Expect(err).NotTo(HaveOccurred())
		entry, ok := trail.Find(s.ExpectLogged)
		Expect(ok).To(BeTrue(), "the ticket is in the trail")
		Expect(entry.Author).To(Equal("test"))
		if s.ExpectEntries > 0 {
			Expect(trail).To(HaveLen(s.ExpectEntries))
		}
	}
}

var _ = Describe("Keeper", func() {
	var scripts []script
	hyssuite.Read("keeper.json", &scripts)
	for _, script := range scripts {
		It(script.Name, func() {
			b := newFixture(2)
			for i, s := range script.Steps {
				By(fmt.Sprintf("step %d", i))
				b.run(s)
			}
		})
	}

	It("keeps the newest ticket when several operators apply tickets concurrently", func() {
		const operators, each = 6, 20
		b := newFixture(operators)
		b.platform.SetFault(hysstandin.PlatformFault{LoseAnswers: 10, DropWrites: 10})
		accepted := make([]hysticket.Number, operators)
		var wait sync.WaitGroup
		for o := range operators {
			wait.Go(func() {
				defer GinkgoRecover()
				for n := range each {
					number := hysticket.Number(1 + n*operators + o)
					t := step{Number: number, Weight: uint32(number)}.ticket()
					result, err := b.keepers[o].Apply(context.Background(), t)
					Expect(result).To(BeElementOf(hysticket.ResultAccepted, hysticket.ResultSuperseded), "%v", err)
					if result == hysticket.ResultAccepted {
						accepted[o] = number
					}
				}
			})
		}
		wait.Wait()
		newest := hysticket.Number(0)
		for _, n := range accepted {
			newest = max(newest, n)
		}
		for _, k := range b.keepers {
			Expect(k.Refresh(context.Background())).To(Succeed())
			g, ok := k.State().Group("g")
			Expect(ok).To(BeTrue())
			Expect(g.Weight).To(Equal(uint32(newest)))
		}
	})

	It("rejects a configuration with a page too large for the store as invalid", func() {
		b := newFixture(1)
		t := hysticket.Ticket{Number: 1, Author: "test"}
		services := hysgroup.Group{Name: "g", Weight: 1}
		for i := range 1000 {
			services.Services = append(services.Services, serviceName(i))
		}
		for i := range 1500 {
			g := services
			g.Name = hysgroup.Name(fmt.Sprintf("g%d", i))
			t.Groups = append(t.Groups, g)
		}
		result, err := b.keepers[0].Apply(context.Background(), t)
		Expect(result).To(Equal(hysticket.ResultConflict))
		Expect(err).To(MatchError(hysticket.ErrInvalid))
	})
})

func serviceName(i int) hysservice.Name {
	return hysservice.Name(fmt.Sprintf("a-service-with-a-rather-long-name-for-a-page-of-a-megabyte-%d", i))
}
