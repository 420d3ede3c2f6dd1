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
	// A daemon that is given one address twice can't start.
	It("are never given out twice", func() {
		const calls = 10_000
		seen := make(map[hysmember.Address]bool)
		for range calls {
			seen[hystest.FreeAddress("127.0.0.9")] = true
		}
		Expect(seen).To(HaveLen(calls))
	})
})
