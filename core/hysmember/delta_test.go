package hysmember_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hystest"
)

// pair is a store, a directory that reads it, and a follower of that directory
// that reads the store itself now and then.
type pair struct {
	listed           map[hysmember.SearcherID]hysmember.Entry
	startTimes       map[hysmember.SearcherID]int64
	reader, follower *hysmember.Directory
	cursor           hysmember.Version
	// departed holds the start times of the searcher processes that have
	// announced that they are leaving.
	departed map[hysmember.SearcherID]int64
	revision hysmember.Revision
	// complete is the revision up to which the reader knows everything.
	complete hysmember.Revision
	now      time.Time
}

func newPair() *pair {
	return &pair{
		listed: make(map[hysmember.SearcherID]hysmember.Entry), startTimes: make(map[hysmember.SearcherID]int64),
		departed: make(map[hysmember.SearcherID]int64),
		reader:   hysmember.NewDirectory(), follower: hysmember.NewDirectory(), now: time.Unix(1000, 0),
	}
}

// follow passes the follower's departures to the reader and the reader's
// updates to the follower. If the two differ afterwards, the next call passes
// on the full state.
func (p *pair) follow(*rapid.T) {
	p.reader.MarkAllLeaving(p.follower.DeparturesSince(0))
	x := p.reader.Since(p.cursor)
	p.follower.Apply(x, p.reader.ConfirmedRevision(p.complete))
	p.cursor = x.Version
	if p.follower.Digest() != x.Digest {
		p.cursor = 0
	}
}

// converge checks that the follower knows what is listed once the reader has
// read it and all missing entries have expired.
func (p *pair) converge(t *rapid.T) {
	p.list(p.reader)
	p.settle(t)
	for range 2 {
		p.follow(t)
	}
	want := hysmember.NewDirectory()
	p.list(want)
	for id, startTime := range p.departed {
		want.MarkLeaving(hysmember.Departure{ID: id, StartTime: startTime})
	}
	if got := usesOf(p.follower); got != usesOf(want) {
		t.Fatalf("follower %s, listed %s", got, usesOf(want))
	}
	if p.follower.Digest() != want.Digest() {
		t.Fatalf("the digests of equal directories differ")
	}
}

// list reads the whole listing.
func (p *pair) list(d *hysmember.Directory) {
	p.revision.Number++
	var entries hysmember.Entries
	for _, e := range p.listed {
		entries = append(entries, e)
	}
	d.Replace(entries, p.revision, p.now)
	if d == p.reader {
		p.complete = p.revision
	}
}

// markLearned records that a directory was sent the last change.
func (p *pair) markLearned(d *hysmember.Directory) {
	if d == p.reader && p.complete.Number == p.revision.Number-1 {
		p.complete = p.revision
	}
}

// settle lets the time pass in which an entry may come back.
func (p *pair) settle(*rapid.T) {
	p.now = p.now.Add(3 * time.Second)
	p.reader.ExpireMissing(p.now)
	p.follower.ExpireMissing(p.now)
}

// usesOf returns the entries without what heartbeats change, as text.
func usesOf(d *hysmember.Directory) string {
	text := ""
	for _, e := range d.Entries() {
		e.Sequence, e.Revision = 0, hysmember.Revision{}
		text += fmt.Sprint(e, " ")
	}
	return text
}

// write lists a new or changed entry, or a heartbeat of the listed one.
func (p *pair) write(t *rapid.T) hysmember.Entry {
	p.revision.Number++
	id := drawID(t)
	e, known := p.listed[id]
	if !known || rapid.Bool().Draw(t, "changed") {
		e = hysmember.Entry{
			Searcher: hysmember.Searcher{
				ID:      id,
				Address: hysmember.Address(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address")),
				Leaving: rapid.Bool().Draw(t, "leaving"),
			},
			// A later process has a later start.
			StartTime: max(p.startTimes[id], rapid.Int64Range(1, 3).Draw(t, "born")),
		}
		p.startTimes[id] = e.StartTime
	}
	e.Sequence, e.Revision = p.revision.Number, p.revision
	p.listed[id] = e
	return e
}

func drawID(t *rapid.T) hysmember.SearcherID {
	return hysmember.SearcherID(rapid.SampledFrom([]string{"s-1", "s-2", "s-3", "s-4"}).Draw(t, "id"))
}

// drawInformed returns the directories that learn of a change at once.
func (p *pair) drawInformed(t *rapid.T) []*hysmember.Directory {
	all := [][]*hysmember.Directory{{}, {p.reader}, {p.follower}, {p.reader, p.follower}}
	return rapid.SampledFrom(all).Draw(t, "told")
}

func (p *pair) outage(t *rapid.T) {
	for _, d := range p.drawInformed(t) {
		d.MarkStoreUnavailable()
		d.MarkStoreAvailable(p.now)
	}
}

func (p *pair) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"put": func(t *rapid.T) {
			e := p.write(t)
			for _, d := range p.drawInformed(t) {
				d.Put(e)
				p.markLearned(d)
			}
		},
		"remove": func(t *rapid.T) {
			p.revision.Number++
			id := drawID(t)
			delete(p.listed, id)
			for _, d := range p.drawInformed(t) {
				d.Remove(id, p.revision, p.now)
				p.markLearned(d)
			}
		},
		"list": func(t *rapid.T) {
			for _, d := range p.drawInformed(t) {
				p.list(d)
			}
		},
		"leave": func(t *rapid.T) {
			id, informed := drawID(t), p.reader
			if rapid.Bool().Draw(t, "follower informed") {
				informed = p.follower
			}
			// A searcher gets requests only after it was listed.
			if startTime := p.startTimes[id]; startTime > 0 {
				p.departed[id] = startTime
				informed.MarkLeaving(hysmember.Departure{ID: id, StartTime: startTime})
			}
		},
		"outage": p.outage,
		"settle": p.settle,
		"follow": p.follow,
		"start anew": func(t *rapid.T) {
			// What only the follower was sent is lost with it.
			p.follow(t)
			p.follower, p.cursor = hysmember.NewDirectory(), 0
		},
	}
}

func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair()
		t.Repeat(p.actions())
		p.converge(t)
	})
}

var _ = Describe("the changes of a directory", func() {
	var d *hysmember.Directory

	BeforeEach(func() {
		d = hysmember.NewDirectory()
		d.Put(entry("s-1", 1))
	})

	It("do not count heartbeats", func() {
		version := d.Since(0).Version
		beat := entry("s-1", 2)
		beat.Sequence = 7
		d.Put(beat)
		Expect(d.Since(version)).To(Equal(hysmember.Delta{Version: version, Digest: d.Digest()}))
		Consistently(d.Changed(version), "20ms").ShouldNot(BeClosed())
	})

	It("wake those who wait for one", func() {
		changed := d.Changed(d.Since(0).Version)
		d.Put(entry("s-2", 2))
		Expect(changed).To(BeClosed())
	})

	It("are the full state for a follower without a version, or with one of another process", func() {
		d.Put(entry("s-2", 2))
		Expect(d.Since(0).Full).To(BeTrue())
		Expect(d.Since(99).Full).To(BeTrue())
		Expect(d.Since(99).Entries).To(HaveLen(2))
	})

	It("are the full state once removals have expired", func() {
		version := d.Since(0).Version
		for i := range int64(5000) {
			id := hysmember.SearcherID(fmt.Sprint("s-", i))
			d.Put(entry(id, 2*i+10))
			d.Remove(id, hystest.Revision(2*i+11), time.Unix(1, 0))
		}
		x := d.Since(version)
		Expect(x.Full).To(BeTrue())
		recent := d.Since(x.Version - 100)
		Expect(recent.Full).To(BeFalse())
		Expect(recent.Removals).To(HaveLen(50))
	})

	It("do not restore an entry that was written before its removal", func() {
		d.Remove("s-1", hystest.Revision(5), time.Unix(1, 0))
		d.Apply(hysmember.Delta{Entries: hysmember.Entries{entry("s-1", 4)}}, hystest.Revision(6))
		Expect(d.Entries()).To(BeEmpty())
	})

	It("do not drop an entry that was written after its removal", func() {
		d.Put(entry("s-1", 8))
		d.Apply(hysmember.Delta{Full: true}, hystest.Revision(7))
		d.Apply(hysmember.Delta{Removals: []hysmember.Removal{{ID: "s-1", Revision: hystest.Revision(7)}}}, hystest.Revision(7))
		Expect(d.Entries()).To(HaveLen(1))
	})
})
