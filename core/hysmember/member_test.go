package hysmember_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/internal/hyssuite"
)

func TestMain(m *testing.M) { hyssuite.Main(m, 1000) }

func TestMember(t *testing.T) {
	hyssuite.Run(t, "Member")
}

// dispatcherCase is one case of testdata/dispatchers.json. An instance is "id
// region", followed by "silent" or "leaving" where that applies; a searcher is
// "id region shard".
type dispatcherCase struct {
	Name      string               `json:"name"`
	Instances []string             `json:"instances"`
	Searchers []string             `json:"searchers"`
	Home      hysmember.Region     `json:"home"`
	First     hysmember.InstanceID `json:"first"`
	Count     int                  `json:"count"`
	Abroad    *int                 `json:"abroad"`
}

func (c dispatcherCase) view() *hysmember.View {
	var list hysmember.List
	silent := make(map[hysmember.InstanceID]bool)
	for _, line := range c.Instances {
		f := strings.Fields(line + " serving")
		i := hysmember.Instance{ID: hysmember.InstanceID(f[0]), Region: hysmember.Region(f[1]), Leaving: f[2] == "leaving"}
		silent[i.ID] = f[2] == "silent"
		list.Instances = append(list.Instances, i)
	}
	v := hysmember.NewView(func(id hysmember.InstanceID) bool { return !silent[id] })
	var infos []hysmember.Info
	for _, line := range c.Searchers {
		f := strings.Fields(line)
		list.Searchers = append(list.Searchers, hysmember.Searcher{
			ID: hysmember.SearcherID(f[0]), Service: "band-roll", Region: hysmember.Region(f[1]),
		})
		infos = append(infos, info(f[0], int(f[2][0]-'0'), 1, 1))
	}
	v.SetList(list)
	for _, i := range infos {
		v.Merge(i)
	}
	return v
}

func info(id string, shard int, incarnation uint64, version hyssnapshot.Version) hysmember.Info {
	return hysmember.Info{
		Searcher: hysmember.SearcherID(id), Service: "band-roll", Incarnation: incarnation,
		Holdings: []hyssnapshot.Holding{{Epoch: 1, Range: hyssnapshot.Range{
			Shard: hysservice.ShardID(shard), To: hyssnapshot.KeySpace, Versions: []hyssnapshot.Version{version},
		}}},
	}
}

func readCases(path string, into any) {
	GinkgoHelper()
	data, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(data, into)).To(Succeed())
}

var _ = Describe("the dispatchers of a shard", func() {
	It("match the table", func() {
		var cases []dispatcherCase
		readCases("testdata/dispatchers.json", &cases)
		for _, c := range cases {
			By(c.Name)
			order := c.view().Dispatchers("band-roll", 0)
			Expect(order).To(HaveLen(c.Count), c.Name)
			remote := 0
			for _, i := range order {
				if i.Region != c.Home {
					remote++
				}
			}
			if c.Count > 0 {
				Expect(order[0].Region).To(Equal(c.Home), c.Name)
			}
			if c.First != "" {
				Expect(order[0].ID).To(Equal(c.First), c.Name)
			}
			if c.Abroad != nil {
				Expect(remote).To(Equal(*c.Abroad), c.Name)
			}
		}
	})

	It("change only for the shards whose dispatcher left", func() {
		var list hysmember.List
		for n := range 40 {
			list.Instances = append(list.Instances, hysmember.Instance{ID: hysmember.InstanceID(fmt.Sprint("entry-", n))})
		}
		v := hysmember.NewView(func(hysmember.InstanceID) bool { return true })
		v.SetList(list)
		before := firsts(v)
		left := list.Instances[7].ID
		list.Instances = append(append(hysmember.Instances(nil), list.Instances[:7]...), list.Instances[8:]...)
		v.SetList(list)
		owned := 0
		for shard, id := range firsts(v) {
			if before[shard] == left {
				owned++
				Expect(id).NotTo(Equal(left))
				continue
			}
			Expect(id).To(Equal(before[shard]))
		}
		Expect(owned).To(BeNumerically("~", 400/40, 10))
	})

	It("exclude an instance once it is silent, without a new list", func() {
		now := time.Unix(0, 0)
		silent := false
		usable := func(id hysmember.InstanceID) bool { return id != "a" || !silent }
		v := hysmember.NewView(usable, hysmember.WithClock(func() time.Time { return now }))
		v.SetList(hysmember.List{Instances: hysmember.Instances{{ID: "a"}, {ID: "b"}}})
		Expect(v.Dispatchers("band-roll", 0)).To(HaveLen(2))
		silent = true
		now = now.Add(100 * time.Millisecond)
		Expect(v.Dispatchers("band-roll", 0)).To(Equal(hysmember.Instances{{ID: "b"}}))
	})
})

func firsts(v *hysmember.View) []hysmember.InstanceID {
	ids := make([]hysmember.InstanceID, 0, 400)
	for shard := range 400 {
		ids = append(ids, v.Dispatchers("band-roll", hysservice.ShardID(shard))[0].ID)
	}
	return ids
}
