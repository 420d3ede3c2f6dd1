package hysingress_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hyssopshore/core/hysservice"
)

// slowWriter needs some time to send what was written.
type slowWriter struct {
	*httptest.ResponseRecorder
	flushTime time.Duration
}

// Flush takes that time.
func (w slowWriter) Flush() {
	time.Sleep(w.flushTime)
	w.ResponseRecorder.Flush()
}

// TestSlowWriter sends partial answers, in virtual time, from a daemon that needs
// some milliseconds to write them: after a few of them it answers that much
// earlier.
func TestSlowWriter(t *testing.T) {
	const late, tolerance = 9 * time.Millisecond, time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		replies := map[hysservice.Name]scriptedReply{"d1": {Status: 200}, "d2": {Status: 200}, "d3": {Status: 200, AfterMS: 400}}
		f := newIngress(requestCase{Replies: replies})
		var sent []time.Duration
		for range 8 {
			r := httptest.NewRequest(http.MethodPost, "http://127.0.0.1/few/7", http.NoBody)
			r.Header.Set("X-Id", "r-1")
			began := time.Now()
			f.ingress.ServeHTTP(slowWriter{ResponseRecorder: httptest.NewRecorder(), flushTime: late}, r)
			sent = append(sent, time.Since(began))
			for range replies {
				<-f.subs
			}
			<-f.records
		}
		g := gomega.NewWithT(t)
		g.Expect(sent[0]).To(gomega.BeNumerically("~", 136*time.Millisecond+late, tolerance))
		g.Expect(sent[len(sent)-1]).To(gomega.BeNumerically("~", 136*time.Millisecond, tolerance))
	})
}
