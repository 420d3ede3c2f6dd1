// Package hysstore is the client of the platform's key-value store and of its
// instance list.
//
// A write whose response is lost may have taken effect. The error is then
// ErrUnknown, and the caller must read the key to find out.
//
// # Usage
//
//	c := hysstore.New("127.0.0.1:7000")
//	v, err := c.Get(ctx, "hyssopshore/head")
//	rev, err := c.Put(ctx, "hyssopshore/head", data, v.Revision)
package hysstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
)

// Errors of the client.
const (
	// ErrConflict means that the key has another revision; nothing was written.
	ErrConflict = errors.ConstError("the key has another revision")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.ConstError("no such key")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.ConstError("the effect of the write is unknown")
	// ErrUnavailable means that a read failed, or that nothing was written.
	ErrUnavailable = errors.ConstError("the store is unavailable")
)

// Revision is the number of the write that set a key. 0 stands for a key that
// does not exist.
type Revision uint64

// Headers and limits of the protocol. callTimeout bounds each call; for a watch it
// is added to the wait.
const (
	headerRevision = "X-Revision"
	maxValueBytes  = 1 << 20
	callTimeout    = 2 * time.Second
)

// Value is the data of a key with its revision.
type Value struct {
	Data     []byte
	Revision Revision
}

// Entry is one key of a listing.
type Entry struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
}

// Client calls the store at one address. It is safe for concurrent use.
type Client struct {
	address hysmember.Address
	http    *http.Client
}

// New returns a client of the store at an address.
func New(address hysmember.Address) *Client {
	return &Client{address: address, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// Get reads a key. The error is ErrNotFound if the key does not exist, otherwise
// ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.get(ctx, key, url.Values{})
}

// Watch waits until the key has another revision than the known one, or until
// wait has passed, and returns the value of the key. Its errors are those of Get.
func (c *Client) Watch(ctx context.Context, key string, known Revision, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("not-revision", strconv.FormatUint(uint64(known), 10))
	query.Set("wait-ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return c.get(ctx, key, query)
}

func (c *Client) get(ctx context.Context, key string, query url.Values) (Value, error) {
	status, header, body, err := c.do(ctx, http.MethodGet, "/v1/kv/"+key, query, nil)
	if err != nil {
		return Value{}, fmt.Errorf("Client.get: %s: %w: %w", key, err, ErrUnavailable)
	}
	switch status {
	case http.StatusOK:
		return Value{Data: body, Revision: parseRevision(header)}, nil
	case http.StatusNotFound:
		return Value{}, fmt.Errorf("Client.get: %s: %w", key, ErrNotFound)
	default:
		return Value{}, fmt.Errorf("Client.get: %s: status %d: %w", key, status, ErrUnavailable)
	}
}

// Put writes a key if it has the expected revision, and returns the new one.
// An expected revision of 0 means that the key must not exist. The error is
// ErrConflict, ErrUnavailable if nothing was written, or ErrUnknown.
func (c *Client) Put(ctx context.Context, key string, data []byte, expected Revision) (Revision, error) {
	return c.write(ctx, http.MethodPut, key, data, expected)
}

// Delete removes a key if it has the expected revision. Its errors are those of
// Put.
func (c *Client) Delete(ctx context.Context, key string, expected Revision) error {
	_, err := c.write(ctx, http.MethodDelete, key, nil, expected)
	return err
}

func (c *Client) write(ctx context.Context, method, key string, data []byte, expected Revision) (Revision, error) {
	if len(data) > maxValueBytes {
		return 0, fmt.Errorf("Client.write: %s: %d bytes, at most %d: %w", key, len(data), maxValueBytes, ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("revision", strconv.FormatUint(uint64(expected), 10))
	status, header, _, err := c.do(ctx, method, "/v1/kv/"+key, query, data)
	if err != nil {
		return 0, fmt.Errorf("Client.write: %s: %w: %w", key, err, ErrUnknown)
	}
	switch status {
	case http.StatusOK:
		return parseRevision(header), nil
	case http.StatusPreconditionFailed:
		return 0, fmt.Errorf("Client.write: %s: %w", key, ErrConflict)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, fmt.Errorf("Client.write: %s: status %d: %w", key, status, ErrUnavailable)
	default:
		return 0, fmt.Errorf("Client.write: %s: status %d: %w", key, status, ErrUnknown)
	}
}

// List returns the keys with a prefix and their revisions. The error is
// ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	query := url.Values{}
	query.Set("prefix", prefix)
	var entries []Entry
	if err := c.getJSON(ctx, "/v1/kv", query, &entries); err != nil {
		return nil, fmt.Errorf("Client.List: %s: %w", prefix, err)
	}
	return entries, nil
}

// Instances returns the platform's instance list. The error is ErrUnavailable.
func (c *Client) Instances(ctx context.Context) (hysmember.List, error) {
	var list hysmember.List
	if err := c.getJSON(ctx, "/v1/instances", nil, &list); err != nil {
		return list, fmt.Errorf("Client.Instances: %w", err)
	}
	return list, nil
}

func (c *Client) getJSON(ctx context.Context, path string, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, _, body, err := c.do(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return fmt.Errorf("get %s: %w: %w", path, err, ErrUnavailable)
	}
	if status != http.StatusOK {
		return fmt.Errorf("get %s: status %d: %w", path, status, ErrUnavailable)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("decode %s: %w: %w", path, err, ErrUnavailable)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, data []byte) (int, http.Header, []byte, error) {
	target := url.URL{Scheme: "http", Host: string(c.address), Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(data))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("make request: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		// The idle connections may be dead too.
		c.http.CloseIdleConnections()
		return 0, nil, nil, fmt.Errorf("send: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 64*maxValueBytes))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("read reply: %w", err)
	}
	return response.StatusCode, response.Header, body, nil
}

func parseRevision(h http.Header) Revision {
	n, err := strconv.ParseUint(h.Get(headerRevision), 10, 64)
	if err != nil {
		return 0
	}
	return Revision(n)
}
