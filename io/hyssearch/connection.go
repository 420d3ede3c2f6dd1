package hyssearch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hyssopshore/core/hysmember"
)

// maxReply is the largest reply that is read, in bytes.
const maxReply = 8 << 20

// dialTimeout bounds the opening of a connection.
const dialTimeout = 500 * time.Millisecond

// connection carries one request at a time to a searcher.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	used     bool
	lastUsed time.Time
}

func dial(ctx context.Context, address hysmember.Address) (*connection, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// exchange sends one request and reads its reply. Bytes may have left once it
// returns, with or without an error. The end of the context closes it.
func (c *connection) exchange(ctx context.Context, path string, body, into any) error {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := c.write(path, body); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return fmt.Errorf("read reply to %s: %w", path, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return fmt.Errorf("read body of %s: %w", path, err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("decode reply to %s: %w", path, err)
	}
	if !stop() {
		return fmt.Errorf("exchange %s: %w", path, context.Cause(ctx))
	}
	c.used = true
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
