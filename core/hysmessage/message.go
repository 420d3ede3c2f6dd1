// Package hysmessage defines the HTTP requests of callers and the responses of
// searchers for instances that forward both unchanged.
//
// # Usage
//
//	r := &hysmessage.Request{Method: "GET", Target: "/rota/7", Host: "rota.example"}
//	header := hysmessage.EndToEnd(received)
package hysmessage

import (
	"encoding/hex"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Request is a caller's request.
type Request struct {
	Method string
	// Target is the path and the query string as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end header fields.
	Header http.Header
	Body   []byte
}

// Fingerprint returns the same value for all requests with the same method, host,
// target and body.
func (r *Request) Fingerprint() string {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return hex.EncodeToString(d.Sum(nil))
}

// Bounds of the statuses of HTTP.
const (
	firstFinalStatus = 200
	lastStatus       = 599
)

// IsFinalStatus reports whether a status is one of a final response, and no interim or
// invalid one.
func IsFinalStatus(status int) bool { return status >= firstFinalStatus && status <= lastStatus }

// IsInterimStatus reports whether a status is one of a response that a final one follows.
// After 101 the connection speaks another protocol.
func IsInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < firstFinalStatus && status != http.StatusSwitchingProtocols
}

// Response is a searcher's response with its whole body.
type Response struct {
	Status int
	// Header holds the end-to-end header fields.
	Header http.Header
	Body   []byte
}

// Succeeded reports whether the status is 2xx.
func (r *Response) Succeeded() bool {
	return r.Status >= 200 && r.Status < 300
}

// hopByHop lists the header fields that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd returns a copy of a header without the hop-by-hop fields: those of
// hopByHop and those that the Connection field names.
func EndToEnd(h http.Header) http.Header {
	kept := h.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(kept, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(kept, name)
	}
	return kept
}
