package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// Timeout of one request and delay before the next.
const (
	callTimeout       = 2 * time.Second
	callRetryInterval = 50 * time.Millisecond
)

type callCommand struct {
	Method string        `arg:"--method" default:"GET" help:"method of the request"`
	Body   string        `arg:"--body" help:"body of the request"`
	Wait   time.Duration `arg:"--wait" help:"how long to retry until the call succeeds"`
	URL    string        `arg:"positional,required" help:"URL to call"`
}

func (c *callCommand) run(ctx context.Context) error {
	end := time.Now().Add(c.Wait)
	for {
		reply, err := c.callOnce(ctx)
		if err == nil {
			_, _ = os.Stdout.Write(reply)
			return nil
		}
		if ctx.Err() != nil || !time.Now().Before(end) {
			return fmt.Errorf("call %s: %w", c.URL, err)
		}
		time.Sleep(callRetryInterval)
	}
}

func (c *callCommand) callOnce(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read reply: %w", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("status %d: %s", response.StatusCode, reply)
	}
	return reply, nil
}

type portsCommand struct {
	Addresses []string `arg:"positional,required" help:"IP numbers and ports"`
}

func (c *portsCommand) run() error {
	var unavailable []string
	for _, address := range c.Addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			unavailable = append(unavailable, address)
			continue
		}
		_ = listener.Close()
	}
	if len(unavailable) > 0 {
		return fmt.Errorf("in use or not allowed: %s", strings.Join(unavailable, " "))
	}
	return nil
}
