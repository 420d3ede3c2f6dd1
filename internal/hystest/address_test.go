package hystest_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/internal/hystest"
)

func TestTest(t *testing.T) {
	hyssuite.Run(t, "Test")
}

var _ = Describe("free addresses", func() {
	// Two daemons with the same address could not both start.
	It("are never handed out twice", func() {
		const calls = 10_000
		seen := make(map[hysmember.Address]bool)
		for range calls {
			seen[hystest.FreeAddress("127.0.0.9")] = true
		}
		Expect(seen).To(HaveLen(calls))
	})
})
