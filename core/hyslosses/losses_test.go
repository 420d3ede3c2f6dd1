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

// script is a log and what is to be told of it.
type script struct {
	Name   string          `json:"name"`
	Lines  []string        `json:"lines"`
	Worst  int             `json:"worst"`
	Report json.RawMessage `json:"report"`
}

func loadScripts() []script {
	var scripts []script
	hyssuite.Read("losses.json", &scripts)
	return scripts
}

var _ = Describe("the losses told by logs", func() {
	for _, s := range loadScripts() {
		It(s.Name, func() {
			l := hyslosses.New(2 * time.Second)
			for _, text := range s.Lines {
				l.Add([]byte(text))
			}
			told, err := json.Marshal(l.Report(s.Worst))
			Expect(err).NotTo(HaveOccurred())
			Expect(told).To(MatchJSON(s.Report))
		})
	}
})
