package hyssearch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"hyssopshore/core/hysmember"
	"hyssopshore/io/hysconn"
)

// Limits of a reply, in bytes.
const (
	maxHead  = 64 << 10
	maxReply = 8 << 20
	// replyMemoryBudget bounds the memory for all replies being read.
	replyMemoryBudget = 64 << 20
)

// dialTimeout bounds the time to open a connection.
const dialTimeout = 500 * time.Millisecond

// ErrStatus means that a response is no reply to a search, since its status is not 200: a
// reply states its outcome in its body.
const ErrStatus = errors.ConstError("the response is no reply")

// connection carries one request at a time to a searcher.
type connection struct {
	net.Conn
	// limited bounds what reader reads.
	limited  *hysconn.Reader
	reader   *bufio.Reader
	reused   bool
	lastUsed time.Time
}

func (c *Client) dial(ctx context.Context, address hysmember.Address) (*connection, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	limited := hysconn.NewReader(conn, c.memory)
	return &connection{Conn: conn, limited: limited, reader: bufio.NewReader(limited)}, nil
}

// exchange sends one request and reads its reply. Bytes may have been sent
// whether or not it returns an error. It is aborted when the context ends.
func (c *connection) exchange(ctx context.Context, path string, body, into any) error {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := c.write(path, body); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	c.limited.Begin(maxHead)
	defer c.limited.End()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return fmt.Errorf("read reply to %s: %w", path, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("reply to %s: status %d: %w", path, response.StatusCode, ErrStatus)
	}
	c.limited.SetLimit(maxReply)
	data, err := hysconn.ReadBody(response.Body)
	if err != nil {
		return fmt.Errorf("read body of %s: %w", path, err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("decode reply to %s: %w", path, err)
	}
	if !stop() {
		return fmt.Errorf("exchange %s: %w", path, context.Cause(ctx))
	}
	c.reused = true
	return nil
}

func (c *connection) write(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+c.RemoteAddr().String()+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if err := request.Write(c); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}
