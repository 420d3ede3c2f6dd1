// Package hysmessage holds the requests of callers and the responses of
// searchers where both are passed on as they are.
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
	// Target is the path and the query as the caller sent them.
	Target string
	Host   string
	// Header holds the fields that concern more than one connection.
	Header http.Header
	Body   []byte
}

// Fingerprint is the same for all requests that ask the same, whoever sends them
// and however often.
func (r *Request) Fingerprint() string {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return hex.EncodeToString(d.Sum(nil))
}

// Response is a searcher's response, read to its end.
type Response struct {
	Status int
	// Header holds the fields that concern more than one connection.
	Header http.Header
	Body   []byte
}

// Succeeded reports whether the status is one of success.
func (r *Response) Succeeded() bool {
	return r.Status >= 200 && r.Status < 300
}

// hopByHop are the fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd returns a copy of a header without the fields that concern one
// connection only.
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
