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

type testCase struct {
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

func (c testCase) holdings() []hyssnapshot.Holding {
	var holdings []hyssnapshot.Holding
	for _, h := range c.Holdings {
		r := hyssnapshot.Range{Shard: h.Shard, From: h.From, To: h.To, Versions: h.Versions}
		holdings = append(holdings, hyssnapshot.Holding{Epoch: h.Epoch, Range: r})
	}
	return holdings
}

func TestNewestMapAndPin(t *testing.T) {
	data, err := os.ReadFile("testdata/snapshot.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []testCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { c.check(NewWithT(t)) })
	}
}

// check checks the map and the pinned version for the holdings in both orders:
// the order must not matter.
func (c testCase) check(g *WithT) {
	holdings := c.holdings()
	for range 2 {
		slices.Reverse(holdings)
		m, found := hyssnapshot.NewestMap(holdings)
		g.Expect(found).To(Equal(c.Found))
		if !found {
			continue
		}
		version, whole := m.Pin()
		g.Expect(m.Epoch).To(Equal(c.Epoch))
		g.Expect(version).To(Equal(c.Version))
		g.Expect(whole).To(Equal(c.Whole))
	}
}
