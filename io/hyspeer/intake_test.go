package hyspeer_test

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysintake"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/gen/peer"
	"hyssopshore/io/hyslisten"
	"hyssopshore/io/hyspeer"
)

// Guards against a crowd at the peers' port that takes a peer's connection, on which parts
// of queries run.
var _ = It("keeps the connection of a peer while others that have not given the secret are evicted", func() {
	const limit = 2
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	evicted := make(chan hysintake.ConnectionID, 100)
	l := hyslisten.New(inner, hysintake.Limits{Connections: limit, Bytes: 1 << 20},
		hyslisten.WithEvictedFunc(func(e hysintake.Eviction) { evicted <- e.ID }))
	release := make(chan struct{})
	s := hyspeer.NewServer(secret, func(_ context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
		<-release
		return hysdispatch.SubReply{Shard: sub.Shard, Status: hysquery.ShardAnswered}
	}, func(*peer.ExchangeRequest) *peer.ExchangeReply { return nil }, func() hysticket.State { return hysticket.State{} })
	server := &http.Server{Handler: s.Handler(), Protocols: new(http.Protocols), ConnContext: hyslisten.ConnContext}
	server.Protocols.SetUnencryptedHTTP2(true)
	server.Protocols.SetHTTP1(true)
	go func() { _ = server.Serve(l) }()
	DeferCleanup(func() { _ = server.Close() })
	address := inner.Addr().String()
	done := make(chan error, 1)
	go func() {
		_, err := hyspeer.NewClient(secret).Dispatch(context.Background(), hysmember.Instance{ID: "b", Address: hysmember.Address(address)}, newPart(true, 1))
		done <- err
	}()
	Eventually(s.Running, "2s").Should(BeEquivalentTo(1))
	const crowd = 10
	for range crowd {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		time.Sleep(5 * time.Millisecond)
	}
	Eventually(evicted).ShouldNot(BeEmpty())
	close(release)
	Expect(<-done).To(Succeed())
	for len(evicted) > 0 {
		Expect(<-evicted).NotTo(BeEquivalentTo(1), "the peer connected first")
	}
})
