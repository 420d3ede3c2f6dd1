package hysmember_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hyssopshore/core/hysmember"
)

// pair is a directory that reads the store, and one that follows it.
type pair struct {
	reader, follower *hysmember.Directory
	cursor           hysmember.Version
	revision         hysmember.Revision
	now              time.Time
}

func newPair() *pair {
	return &pair{reader: hysmember.NewDirectory(), follower: hysmember.NewDirectory(), now: time.Unix(1000, 0)}
}

// follow brings the follower up to date, and compares what can be used.
func (p *pair) follow(t *rapid.T) {
	x := p.reader.Since(p.cursor)
	p.follower.Apply(x, p.revision)
	p.cursor = x.Version
	if got, want := uses(p.follower), uses(p.reader); got != want {
		t.Fatalf("follower %s, reader %s", got, want)
	}
}

// uses are the entries without what heartbeats change.
func uses(d *hysmember.Directory) string {
	text := ""
	for _, e := range d.Entries() {
		e.Sequence, e.Revision = 0, 0
		text += fmt.Sprint(e, " ")
	}
	return text
}

// drawEntry draws the next entry of one of a few ids.
func (p *pair) drawEntry(t *rapid.T) hysmember.Entry {
	p.revision++
	return hysmember.Entry{
		Searcher: hysmember.Searcher{
			ID:      drawID(t),
			Address: hysmember.Address(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address")),
			Leaving: rapid.Bool().Draw(t, "leaving"),
		},
		Born: rapid.Int64Range(1, 2).Draw(t, "born"), Sequence: int64(p.revision), Revision: p.revision,
	}
}

func drawID(t *rapid.T) hysmember.SearcherID {
	return hysmember.SearcherID(rapid.SampledFrom([]string{"s-1", "s-2", "s-3", "s-4"}).Draw(t, "id"))
}

func (p *pair) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"put": func(t *rapid.T) { p.reader.Put(p.drawEntry(t)) },
		"put both": func(t *rapid.T) {
			e := p.drawEntry(t)
			p.reader.Put(e)
			p.follower.Put(e)
		},
		"remove": func(t *rapid.T) {
			p.revision++
			p.reader.Remove(drawID(t), p.revision, p.now)
		},
		"list anew": func(t *rapid.T) {
			p.revision++
			var listed hysmember.Entries
			for _, e := range p.reader.Entries() {
				if rapid.Bool().Draw(t, "still listed") {
					listed = append(listed, e)
				}
			}
			p.reader.Replace(listed, p.revision, p.now)
		},
		"outage": func(*rapid.T) {
			p.reader.Lose()
			p.reader.Regain(p.now)
		},
		"time": func(*rapid.T) {
			p.now = p.now.Add(3 * time.Second)
			p.reader.Settle(p.now)
		},
		"start anew": func(*rapid.T) { p.follower, p.cursor = hysmember.NewDirectory(), 0 },
		"":           p.follow,
	}
}

func TestFollowerKnowsWhatItsReaderKnows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newPair().actions()) })
}

var _ = Describe("the changes of a directory", func() {
	var d *hysmember.Directory

	BeforeEach(func() {
		d = hysmember.NewDirectory()
		d.Put(entry("s-1", 1))
	})

	It("leave heartbeats out", func() {
		version := d.Since(0).Version
		beat := entry("s-1", 2)
		beat.Sequence = 7
		d.Put(beat)
		Expect(d.Since(version)).To(Equal(hysmember.Delta{Version: version}))
		Consistently(d.Changed(version), "20ms").ShouldNot(BeClosed())
	})

	It("wake those who wait for one", func() {
		changed := d.Changed(d.Since(0).Version)
		d.Put(entry("s-2", 2))
		Expect(changed).To(BeClosed())
	})

	It("are told whole to those who know nothing, or of another start", func() {
		d.Put(entry("s-2", 2))
		Expect(d.Since(0).Whole).To(BeTrue())
		Expect(d.Since(99).Whole).To(BeTrue())
		Expect(d.Since(99).Entries).To(HaveLen(2))
	})

	It("are told whole once removals have been forgotten", func() {
		version := d.Since(0).Version
		for i := range hysmember.Revision(5000) {
			id := hysmember.SearcherID(fmt.Sprint("s-", i))
			d.Put(entry(id, 2*i+10))
			d.Remove(id, 2*i+11, time.Unix(1, 0))
		}
		x := d.Since(version)
		Expect(x.Whole).To(BeTrue())
		recent := d.Since(x.Version - 100)
		Expect(recent.Whole).To(BeFalse())
		Expect(recent.Gone).To(HaveLen(50))
	})

	It("do not bring back what was written before it went", func() {
		d.Remove("s-1", 5, time.Unix(1, 0))
		d.Apply(hysmember.Delta{Entries: hysmember.Entries{entry("s-1", 4)}}, 6)
		Expect(d.Entries()).To(BeEmpty())
	})

	It("do not drop what was written since", func() {
		d.Put(entry("s-1", 8))
		d.Apply(hysmember.Delta{Whole: true}, 7)
		d.Apply(hysmember.Delta{Gone: []hysmember.Gone{{ID: "s-1", Revision: 7}}}, 7)
		Expect(d.Entries()).To(HaveLen(1))
	})
})
