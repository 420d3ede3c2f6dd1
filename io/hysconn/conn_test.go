package hysconn_test

import (
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/internal/hyssuite"
	"hyssopshore/io/hysconn"
)

func TestConn(t *testing.T) {
	hyssuite.Run(t, "Conn")
}

var _ = DescribeTable("an idle connection",
	func(act func(net.Conn), quiet bool) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		near, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer near.Close()
		far, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer far.Close()
		act(far)
		if quiet {
			Consistently(func() bool { return hysconn.Reusable(near) }, "50ms").Should(BeTrue())
			return
		}
		Eventually(func() bool { return hysconn.Reusable(near) }, "1s").Should(BeFalse())
	},
	Entry("that was left alone", func(net.Conn) {}, true),
	Entry("that was closed", func(c net.Conn) { _ = c.Close() }, false),
	Entry("on which bytes came", func(c net.Conn) { _, _ = c.Write([]byte("x")) }, false),
)
