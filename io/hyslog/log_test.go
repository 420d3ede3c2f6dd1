package hyslog_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hyslog"
)

func TestLog(t *testing.T) {
	hyssuite.Run(t, "Log")
}

var _ = Describe("the log", func() {
	It("writes every line within the rate limit, in order", func() {
		var out bytes.Buffer
		w := hyslog.NewWriter(&out)
		log := slog.New(hyslog.NewHandler(w)).With("instance", "i-1")
		log.Info("first", "n", 1)
		log.Info("second", "n", 2)
		w.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(lines).To(HaveLen(2))
		Expect(lines[0]).To(ContainSubstring(`"msg":"first","instance":"i-1","n":1`))
		Expect(lines[1]).To(ContainSubstring(`"msg":"second"`))
		Expect(w.Dropped()).To(BeZero())
	})

	It("drops the lines over the rate limit of a message and logs their number", func() {
		var out bytes.Buffer
		w := hyslog.NewWriter(&out)
		log := slog.New(hyslog.NewHandler(w))
		for range 1000 {
			log.Info("often")
		}
		time.Sleep(1100 * time.Millisecond)
		log.Info("rare")
		w.Close()
		// The 1,000 lines may fall into two seconds, each with its own limit.
		Expect(strings.Count(out.String(), `"msg":"often"`)).To(BeNumerically("~", 150, 51))
		Expect(out.String()).To(ContainSubstring(`"msg":"log lines dropped","message":"often"`))
		Expect(out.String()).To(ContainSubstring(`"msg":"rare"`))
	})

	It("never blocks when the output accepts no data", func() {
		// The queue holds at most 4,096 lines and one batch of 64 KB at most 13,108.
		const lines, maxAccepted = 40_000, 17_204
		reader, writer := io.Pipe()
		w := hyslog.NewWriter(writer)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range lines {
				_, _ = w.Write([]byte("line\n"))
			}
		}()
		Eventually(done, "1s").Should(BeClosed())
		Expect(w.Dropped()).To(BeNumerically(">=", lines-maxAccepted))
		reader.Close()
		w.Close()
	})
})
