package hyslosses_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hyslosses"
	"hyssopshore/internal/hyssuite"
)

func TestLosses(t *testing.T) {
	hyssuite.Run(t, "Losses")
}

// logCase is a log and the report that is expected of it.
type logCase struct {
	Name   string          `json:"name"`
	Lines  []string        `json:"lines"`
	Worst  int             `json:"worst"`
	Report json.RawMessage `json:"report"`
}

func loadCases() []logCase {
	var cases []logCase
	hyssuite.Read("losses.json", &cases)
	return cases
}

var _ = Describe("the losses in logs", func() {
	for _, c := range loadCases() {
		It(c.Name, func() {
			l := hyslosses.New(2 * time.Second)
			for _, text := range c.Lines {
				l.Add([]byte(text))
			}
			report, err := json.Marshal(l.Report(c.Worst))
			Expect(err).NotTo(HaveOccurred())
			Expect(report).To(MatchJSON(c.Report))
		})
	}
})
