package hyslisten_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/io/hyslisten"
)

var _ = DescribeTable("a port's share of the descriptors", func(descriptors int, share float64, sockets int) {
	Expect(hyslisten.Sockets(descriptors, share)).To(Equal(sockets))
},
	Entry("of a deployment, for callers", 4100, hyslisten.CallerShare, 1755),
	Entry("of a deployment, for other daemons", 4100, hyslisten.PeerShare, 585),
	Entry("less than what is kept for files", 300, hyslisten.CallerShare, 67),
	Entry("hardly any", 2, hyslisten.OperatorShare, 1))

var _ = It("leaves a third of the descriptors while all ports evict as many connections as they may", func() {
	const evicting = 1.125
	Expect((hyslisten.CallerShare + hyslisten.PeerShare) * evicting).To(BeNumerically("<", 0.68))
	Expect(hyslisten.Sockets(0, 1)).To(BeNumerically(">", 0), "the system's own limit")
})
