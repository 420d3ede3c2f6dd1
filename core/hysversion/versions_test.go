package hysversion_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysversion"
	"hyssopshore/internal/hyssuite"
)

func TestVersions(t *testing.T) {
	hyssuite.Run(t, "Versions")
}

// logCase is a log and the report that is expected of it.
type logCase struct {
	Name   string          `json:"name"`
	Lines  []string        `json:"lines"`
	Report json.RawMessage `json:"report"`
}

func loadCases() []logCase {
	var cases []logCase
	hyssuite.Read("versions.json", &cases)
	return cases
}

var _ = Describe("the versions in logs", func() {
	for _, c := range loadCases() {
		It(c.Name, func() {
			collector := hysversion.New()
			for _, text := range c.Lines {
				collector.Add([]byte(text))
			}
			report, err := json.Marshal(collector.Report())
			Expect(err).NotTo(HaveOccurred())
			Expect(report).To(MatchJSON(c.Report))
		})
	}
})
