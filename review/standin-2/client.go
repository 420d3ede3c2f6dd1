package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// reply is what a client has got for one attempt.
type reply struct {
	id     string
	status int
	stamp  string
	body   []byte
	header http.Header
	err    error
	took   time.Duration
}

// complete reports whether a success carries the searcher's stamp and its whole body.
func (r reply) complete() bool { return validStamp(r.stamp, r.id, r.body) }

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newClient returns a client that keeps connections open, or opens one for each request.
func newClient(keep bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: !keep, DisableCompression: true, MaxIdleConnsPerHost: 64,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// send makes one client attempt, and waits for its answer until the deadline.
func send(c *http.Client, address, method, host, path, body string, deadline time.Duration) reply {
	return sendAs(c, newID(), address, method, host, path, body, deadline)
}

// sendAs does the same with an id.
func sendAs(c *http.Client, id, address, method, host, path, body string, deadline time.Duration) reply {
	r := reply{id: id}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	check(err)
	request.Host = host
	request.Header.Set("X-Request-Id", r.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	began := time.Now()
	response, err := c.Do(request)
	if err != nil {
		r.err, r.took = err, time.Since(began)
		return r
	}
	defer response.Body.Close()
	r.body, r.err = io.ReadAll(response.Body)
	r.status, r.stamp, r.header, r.took = response.StatusCode, response.Header.Get("X-Server-Stamp"), response.Header, time.Since(began)
	return r
}

// describe returns a reply as text.
func (r reply) describe() string {
	if r.err != nil {
		return fmt.Sprintf("%s: no answer after %d ms: %v", r.id, r.took.Milliseconds(), r.err)
	}
	return fmt.Sprintf("%s: status %d, %d bytes, stamp %q, after %d ms", r.id, r.status, len(r.body), r.stamp, r.took.Milliseconds())
}
