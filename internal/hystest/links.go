package hystest

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"

	"hyssopshore/core/hysmember"
)

// Links are the links of one daemon to all searchers of a cluster, which can be cut
// without those of other daemons. The daemon must use the store at StoreAddress, which
// names the links in place of the searchers.
type Links struct {
	store   *httptest.Server
	proxies map[hysmember.Address]*Proxy
}

// NewLinks returns links to the searchers that the cluster has now.
func (c *Cluster) NewLinks() *Links {
	l := &Links{proxies: make(map[hysmember.Address]*Proxy)}
	for _, s := range c.Searchers {
		l.proxies[s.Member.Address] = NewProxy(s.Member.Address)
	}
	target := &url.URL{Scheme: "http", Host: c.platform.Listener.Addr().String()}
	forward := httputil.NewSingleHostReverseProxy(target)
	forward.ModifyResponse = l.rename
	l.store = httptest.NewServer(forward)
	return l
}

// rename replaces the addresses of the searchers in a response of the store.
func (l *Links) rename(r *http.Response) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return fmt.Errorf("Links.rename: %w", err)
	}
	for address, proxy := range l.proxies {
		body = bytes.ReplaceAll(body, []byte(`"`+address+`"`), []byte(`"`+proxy.Address()+`"`))
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Length", strconv.Itoa(len(body)))
	return nil
}

// StoreAddress returns the address of the store that names the links.
func (l *Links) StoreAddress() hysmember.Address {
	return hysmember.Address(l.store.Listener.Addr().String())
}

// Cut cuts all links until Heal.
func (l *Links) Cut(c Cut) {
	for _, p := range l.proxies {
		p.Cut(c)
	}
}

// Heal ends a cut.
func (l *Links) Heal() {
	for _, p := range l.proxies {
		p.Heal()
	}
}

// Close closes the links and the store.
func (l *Links) Close() {
	for _, p := range l.proxies {
		p.Close()
	}
	l.store.CloseClientConnections()
	l.store.Close()
}
