package hysmember_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/internal/hystest"
)

// directoryStep is one step of testdata/directory.json: one of the actions, or
// what is expected at that point.
type directoryStep struct {
	AtMS   int                  `json:"at-ms"`
	Put    hysmember.SearcherID `json:"put"`
	Remove hysmember.SearcherID `json:"remove"`
	// Leaves is a searcher that announces that it is leaving.
	Leaves  hysmember.SearcherID    `json:"leaves"`
	Replace *[]hysmember.SearcherID `json:"replace"`
	Settle  *[]hysmember.SearcherID `json:"settle"`
	Lose    bool                    `json:"lose"`
	Regain  bool                    `json:"regain"`
	Rev     int64                   `json:"rev"`
	// Era is the era of the revision, BeginEra one that the store has begun.
	Era       hysmember.Era   `json:"era"`
	BeginEra  bool            `json:"begin-era"`
	StartTime int64           `json:"born"`
	Seq       int64           `json:"seq"`
	Slots     int             `json:"slots"`
	Drains    json.RawMessage `json:"leaving"`
	Want      string          `json:"want"`
	// Settled is the confirmed revision, of at most 100.
	Settled int64                   `json:"settled"`
	Listed  *[]hysmember.SearcherID `json:"listed"`
}

func entry(id hysmember.SearcherID, number int64) hysmember.Entry {
	return hysmember.Entry{Searcher: hysmember.Searcher{ID: id}, Revision: hystest.Revision(number)}
}

func (s directoryStep) revision() hysmember.Revision {
	return hysmember.Revision{Era: s.Era, Number: s.Rev}
}

func (s directoryStep) run(d *hysmember.Directory, now time.Time) {
	var change hysmember.Change
	switch {
	case s.Put != "":
		e := entry(s.Put, s.Rev)
		e.Revision = s.revision()
		e.StartTime, e.Sequence, e.Slots, e.Searcher.Leaving = s.StartTime, s.Seq, s.Slots, string(s.Drains) == "true"
		change, _ = d.Put(e)
		Expect(change.Kind.String()).To(Equal(s.kind()))
	case s.Leaves != "":
		change, _ = d.MarkLeaving(hysmember.Departure{ID: s.Leaves, StartTime: s.StartTime})
		Expect(change.Kind.String()).To(Equal(s.kind()))
	case s.Remove != "":
		change, _ = d.Remove(s.Remove, s.revision(), now)
		Expect(change.Kind.String()).To(Equal(s.kind()))
	case s.BeginEra:
		d.BeginEra(now)
	case s.Replace != nil:
		var entries hysmember.Entries
		for _, id := range *s.Replace {
			e := entry(id, s.Rev)
			e.Revision, e.StartTime, e.Sequence = s.revision(), s.StartTime, s.Seq
			entries = append(entries, e)
		}
		d.Replace(entries, s.revision(), now)
	case s.Settle != nil:
		gone := []hysmember.SearcherID{}
		for _, c := range d.ExpireMissing(now) {
			gone = append(gone, c.ID)
		}
		Expect(gone).To(Equal(*s.Settle))
	case s.Lose:
		d.MarkStoreUnavailable()
	case s.Regain:
		d.MarkStoreAvailable(now)
	default:
		s.checkState(d)
	}
}

// kind returns the expected change.
func (s directoryStep) kind() string {
	if s.Want == "" {
		return hysmember.ChangeNone.String()
	}
	return s.Want
}

// checkState compares the directory with what the step expects.
func (s directoryStep) checkState(d *hysmember.Directory) {
	if s.Settled != 0 {
		Expect(d.ConfirmedRevision(hystest.Revision(100))).To(Equal(hystest.Revision(s.Settled)))
		return
	}
	listed, leaving := []hysmember.SearcherID{}, []hysmember.SearcherID{}
	for _, e := range d.Entries() {
		listed = append(listed, e.Searcher.ID)
		if e.Searcher.Leaving {
			leaving = append(leaving, e.Searcher.ID)
		}
	}
	if s.Listed != nil {
		Expect(listed).To(Equal(*s.Listed))
		return
	}
	var want []hysmember.SearcherID
	Expect(json.Unmarshal(s.Drains, &want)).To(Succeed())
	Expect(leaving).To(ConsistOf(want))
}

var _ = Describe("the directory", func() {
	var scripts []struct {
		Name  string
		Steps []directoryStep
	}
	hyssuite.Read("directory.json", &scripts)
	for _, s := range scripts {
		It(s.Name, func() {
			d := hysmember.NewDirectory()
			start := time.Unix(1000, 0)
			now := start
			for _, step := range s.Steps {
				now = start.Add(max(now.Sub(start), time.Duration(step.AtMS)*time.Millisecond))
				step.run(d, now)
			}
		})
	}
})
