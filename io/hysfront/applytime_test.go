package hysfront_test

import (
	"fmt"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysfront"
)

// calmShare is the share of the time limit that a change may take while all is well.
const calmShare = 0.5

var _ = Describe("the longest time from the acknowledgement of a change to force", func() {
	var limitsMS []int
	hyssuite.Read("limits-of-changes.json", &limitsMS)
	for _, ms := range limitsMS {
		limit := time.Duration(ms) * time.Millisecond
		It(fmt.Sprint("is within the limit of ", limit), func() {
			s := hysfront.Settings{Instance: "entry", ApplyWithin: limit, DrainWithin: limit}
			for _, a := range hysfront.New(s, hysfront.Source{}, headers, slog.New(slog.DiscardHandler)).ApplyTimes() {
				allowed := limit
				if a.Calm {
					allowed = time.Duration(calmShare * float64(limit))
				}
				Expect(a.Time).To(BeNumerically("<=", allowed), a.Way)
				GinkgoWriter.Printf("%s: %s of %s\n", a.Way, a.Time, allowed)
			}
		})
	}
})
