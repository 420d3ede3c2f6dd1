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
	func(act func(net.Conn), reusable bool) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		client, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer client.Close()
		server, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer server.Close()
		act(server)
		if reusable {
			Consistently(func() bool { return hysconn.Reusable(client) }, "50ms").Should(BeTrue())
			return
		}
		Eventually(func() bool { return hysconn.Reusable(client) }, "1s").Should(BeFalse())
	},
	Entry("that is open and silent", func(net.Conn) {}, true),
	Entry("that the peer has closed", func(c net.Conn) { _ = c.Close() }, false),
	Entry("with unread bytes", func(c net.Conn) { _, _ = c.Write([]byte("x")) }, false),
)
