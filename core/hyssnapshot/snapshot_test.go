package hyssnapshot_test

import (
	"encoding/json"
	"os"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

type script struct {
	Name     string `json:"name"`
	Holdings []struct {
		Epoch    hyssnapshot.Epoch     `json:"epoch"`
		Shard    hysservice.ShardID    `json:"shard"`
		From     uint64                `json:"from"`
		To       uint64                `json:"to"`
		Versions []hyssnapshot.Version `json:"versions"`
	} `json:"holdings"`
	Found   bool                `json:"found"`
	Epoch   hyssnapshot.Epoch   `json:"epoch"`
	Version hyssnapshot.Version `json:"version"`
	Whole   bool                `json:"whole"`
}

func (s script) holdings() []hyssnapshot.Holding {
	var holdings []hyssnapshot.Holding
	for _, h := range s.Holdings {
		r := hyssnapshot.Range{Shard: h.Shard, From: h.From, To: h.To, Versions: h.Versions}
		holdings = append(holdings, hyssnapshot.Holding{Epoch: h.Epoch, Range: r})
	}
	return holdings
}

func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/snapshot.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []script
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) { s.check(NewWithT(t)) })
	}
}

// check learns the holdings in either order: the order must not matter.
func (s script) check(g *WithT) {
	holdings := s.holdings()
	for range 2 {
		slices.Reverse(holdings)
		m, found := hyssnapshot.NewestMap(holdings)
		g.Expect(found).To(Equal(s.Found))
		if !found {
			continue
		}
		version, whole := m.Pin()
		g.Expect(m.Epoch).To(Equal(s.Epoch))
		g.Expect(version).To(Equal(s.Version))
		g.Expect(whole).To(Equal(s.Whole))
	}
}
