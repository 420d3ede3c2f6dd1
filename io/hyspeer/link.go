package hyspeer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/internal/gen/peer/peerconnect"
)

// errSilent means that a connection was abandoned because the peer did not
// answer a probe on it.
const errSilent = errors.ConstError("the connection is silent")

// Timeouts of a connection between instances.
const (
	dialTimeout = 300 * time.Millisecond
	// probeAfter is how long a call waits before its connection is probed.
	probeAfter   = 100 * time.Millisecond
	probeTimeout = 250 * time.Millisecond
	// pingAfter and pingTimeout control the HTTP/2 pings that detect a dead idle
	// connection.
	pingAfter   = 200 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// closeDelay is the delay until a replaced link closes the connections that
	// have become idle meanwhile.
	closeDelay = time.Second
)

// headerOnce marks a request that must be delivered at most once.
const headerOnce = "X-Hyssopshore-Once"

// pathPing is the path that answers probes.
const pathPing = "/ping"

// onceTransport keeps net/http from retrying a marked request on its own.
// net/http retries a request whose body it can read again after a refused
// stream, a GOAWAY frame or a protocol error.
type onceTransport struct {
	*http.Transport
}

// RoundTrip sends a request and disables the automatic retry if it is marked.
func (t onceTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Header.Get(headerOnce) != "" {
		r = r.Clone(r.Context())
		r.GetBody = nil
	}
	return t.Transport.RoundTrip(r)
}

// link is the connection to one instance. An unresponsive link is replaced as
// a whole, together with every call on it.
type link struct {
	address   hysmember.Address
	transport *http.Transport
	http      *http.Client
	peer      peerconnect.PeerServiceClient
	// done ends when the link is abandoned.
	done   context.Context
	cancel context.CancelCauseFunc
	// lastAnswer is when the peer last answered on this link, in Unix
	// nanoseconds.
	lastAnswer atomic.Int64
	probing    sync.Mutex
}

func newLink(address hysmember.Address) *link {
	dialer := net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{Protocols: new(http.Protocols), DialContext: dialer.DialContext}
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	l := &link{address: address, transport: t, http: &http.Client{Transport: onceTransport{t}}}
	l.peer = peerconnect.NewPeerServiceClient(l.http, "http://"+string(address), withoutCompression)
	l.done, l.cancel = context.WithCancelCause(context.Background())
	return l
}

// callContext returns a context that ends when the link is abandoned, and
// probes the link periodically until the returned function is called.
// onSilent is called if a probe fails.
func (l *link) callContext(ctx context.Context, secret string, onSilent func(*link)) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(l.done, func() { cancel(errSilent) })
	var timer *time.Timer
	var mu sync.Mutex
	checkLink := func() {
		if l.probe(secret) != nil {
			onSilent(l)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() == nil {
			timer.Reset(probeAfter)
		}
	}
	mu.Lock()
	timer = time.AfterFunc(probeAfter, checkLink)
	mu.Unlock()
	return ctx, func() {
		detach()
		cancel(nil)
		timer.Stop()
	}
}

// probe sends a probe unless the peer has answered on this link within
// probeAfter. Concurrent calls on one link share a probe.
func (l *link) probe(secret string) error {
	l.probing.Lock()
	defer l.probing.Unlock()
	if time.Since(time.Unix(0, l.lastAnswer.Load())) < probeAfter {
		return nil
	}
	ctx, cancel := context.WithTimeout(l.done, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(l.address)+pathPing, nil)
	if err != nil {
		return err
	}
	request.Header.Set(headerSecret, secret)
	response, err := l.http.Do(request)
	if err != nil {
		return err
	}
	l.recordAnswer()
	return response.Body.Close()
}

func (l *link) recordAnswer() { l.lastAnswer.Store(time.Now().UnixNano()) }

// close cancels every call on the link and closes its connections.
func (l *link) close() {
	l.cancel(errSilent)
	l.transport.CloseIdleConnections()
	time.AfterFunc(closeDelay, l.transport.CloseIdleConnections)
}
