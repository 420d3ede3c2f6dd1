package hysgather_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hyssuite"
)

// delegatesScript is one script of testdata/delegates.json.
type delegatesScript struct {
	Name    string                 `json:"name"`
	Self    hysmember.InstanceID   `json:"self"`
	First   []hysmember.InstanceID `json:"first"`
	Reserve []hysmember.InstanceID `json:"reserve"`
	Steps   []struct {
		AtMS     int                     `json:"at-ms"`
		Silent   hysmember.InstanceID    `json:"silent"`
		Declined hysmember.InstanceID    `json:"declined"`
		SpanMS   int                     `json:"span-ms"`
		Want     *[]hysmember.InstanceID `json:"want"`
	} `json:"steps"`
}

func instancesOf(ids []hysmember.InstanceID) hysmember.Instances {
	var all hysmember.Instances
	for _, id := range ids {
		all = append(all, hysmember.Instance{ID: id})
	}
	return all
}

func (s delegatesScript) run() {
	now := time.Unix(1000, 0)
	start := now
	d := hysgather.NewDelegates(func() time.Time { return now })
	g := hysmember.Gatherers{First: instancesOf(s.First), Reserve: instancesOf(s.Reserve)}
	for _, step := range s.Steps {
		now = start.Add(max(now.Sub(start), time.Duration(step.AtMS)*time.Millisecond))
		switch {
		case step.Silent != "":
			d.Record(step.Silent, hysgather.DelegationSilent, 0)
		case step.Declined != "":
			d.Record(step.Declined, hysgather.DelegationDeclined, time.Duration(step.SpanMS)*time.Millisecond)
		default:
			picked := []hysmember.InstanceID{}
			for _, i := range d.Pick(s.Self, g) {
				picked = append(picked, i.ID)
			}
			Expect(picked).To(ConsistOf(*step.Want), "after %s", now.Sub(start))
		}
	}
}

var _ = Describe("the gatherers that an instance delegates to", func() {
	var scripts []delegatesScript
	hyssuite.Read("delegates.json", &scripts)
	for _, s := range scripts {
		It("are as wanted: "+s.Name, s.run)
	}
})
