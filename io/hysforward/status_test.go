package hysforward_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysforward"
)

// statusCase is one case of testdata/statuses.json.
type statusCase struct {
	Status string `json:"status"`
	Valid  bool   `json:"valid"`
}

// Guards against a response with an invalid status that is passed on, or taken for an
// interim one, so that the final one is waited for until the deadline.
var _ = Describe("a status of a searcher", func() {
	var cases []statusCase
	hyssuite.Read("statuses.json", &cases)
	for _, c := range cases {
		for _, framing := range []string{"Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "Content-Length: 0\r\n\r\n"} {
			It(fmt.Sprintf("%s, valid: %t, %.17q", c.Status, c.Valid, framing), func() {
				s := serve(responseCase{Send: "HTTP/1.1 " + c.Status + " Text\r\nX-Id: r-1\r\nX-Sig: s\r\n" + framing})
				defer s.listener.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				result := hysforward.New(headers).Send(ctx, s.searcher(), request(0))
				Expect(ctx.Err()).NotTo(HaveOccurred(), "it is not waited for")
				if c.Valid {
					Expect(result.Message).NotTo(BeNil(), result.Reason)
					return
				}
				Expect(result.Fault).To(Equal(hysdispatch.FaultLost), result.Reason)
				Expect(result.Message).To(BeNil())
				Expect(result.NotRun).To(BeFalse(), "it may have run")
			})
		}
	}
})
