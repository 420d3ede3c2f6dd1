package hyssettings_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hyssettings"
)

func TestSettings(t *testing.T) {
	hyssuite.Run(t, "Settings")
}

const validFile = `{ // one daemon
  "instance": "entry-1",
  "zone": "accra-a",
  "region": "accra",
  "caller-address": "127.0.0.1:7101",
  "peer-address": "127.0.0.1:7201",
  "operator-address": "127.0.0.1:7301",
  "store-address": "127.0.0.1:7000",
  "peer-secret": "peer-secret-0123456",
  "operator-secret": "operator-secret-012",
  "drain-ms": 500,
}
`

// checkCase is a change to validFile, or a file in its place, and the problems
// expected. Hidden must not occur in any message.
type checkCase struct {
	Name     string   `json:"name"`
	Change   string   `json:"change"`
	With     string   `json:"with"`
	Replace  string   `json:"replace"`
	Problems []string `json:"problems"`
	Hidden   string   `json:"hidden"`
}

func (c checkCase) text() string {
	if c.Replace != "" {
		return c.Replace
	}
	return strings.Replace(validFile, c.Change, c.With, 1)
}

func loadCases() []checkCase {
	var cases []checkCase
	hyssuite.Read("check.json", &cases)
	return cases
}

var _ = Describe("a settings file", func() {
	for _, c := range loadCases() {
		It(c.Name, func() {
			_, problems, err := hyssettings.Parse([]byte(c.text()))
			if len(c.Problems) == 0 {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(hyssettings.ErrInvalid))
			}
			Expect(problems).To(HaveLen(len(c.Problems)), "%v", problems)
			for i, p := range problems {
				Expect(p.String()).To(HavePrefix(c.Problems[i]))
				if c.Hidden != "" {
					Expect(p.String()).NotTo(ContainSubstring(c.Hidden))
				}
			}
		})
	}

	It("has defaults for the optional fields", func() {
		s, _, err := hyssettings.Parse([]byte(validFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Connections).To(Equal(hyssettings.DefaultConnections))
		Expect(s.ReadTimeout).To(Equal(hyssettings.DefaultReadTimeout))
		Expect(s.Drain).To(BeEquivalentTo(500))
	})

	It("is described field by field in docs/SETTINGS.md", func() {
		page, err := os.ReadFile("../../docs/SETTINGS.md")
		Expect(err).NotTo(HaveOccurred())
		_, problems, _ := hyssettings.Parse([]byte(`{"x": 1, "baseline": {"x": 1}}`))
		for _, p := range problems {
			_, allowed, found := strings.Cut(p.Message, "allowed are ")
			if !found {
				continue
			}
			for name := range strings.SplitSeq(allowed, ", ") {
				Expect(string(page)).To(ContainSubstring("`"+strings.TrimSuffix(p.Field, "x")+name+"`"), name)
			}
		}
	})
})
