package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"hyssopshore/io/hysoperator"
)

// Addresses used when no --address is given.
const (
	defaultOperatorAddress = "127.0.0.1:7301"
	defaultCallerAddress   = "127.0.0.1:7101"
)

// Maximum sizes of a reply or standard input, and of a secret file.
const (
	maxReplyBytes  = 64 << 20
	maxSecretBytes = 4 << 10
)

// daemonOptions are the options of subcommands that call an operator port.
type daemonOptions struct {
	Addresses  []string      `arg:"--address,separate" placeholder:"IP:PORT" help:"operator address of a daemon; given several times, each is tried in turn [default: 127.0.0.1:7301]"`
	SecretFile string        `arg:"--secret-file,env:HYSSOPSHORE_SECRET_FILE,required" placeholder:"FILE" help:"file with the operators' secret"`
	Timeout    time.Duration `arg:"--timeout" default:"30s" help:"time for the whole command"`
}

// errMalformedReply is returned for a reply that can't be decoded or that belongs
// to another request.
const errMalformedReply = errors.ConstError("the reply is not one of hyssopshore to this request")

// noReplyError is returned when a call got no valid reply.
type noReplyError struct {
	// maybeSent is true if the request may have reached a daemon.
	maybeSent bool
	err       error
}

// Error returns the cause.
func (e *noReplyError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *noReplyError) Unwrap() error { return e.err }

// rejectedError is returned when a daemon replied with a failure instead of a result.
type rejectedError struct {
	hysoperator.Failure
}

// Error returns the reason that the daemon gave.
func (e *rejectedError) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Reason) }

// read fetches a value from the first daemon that returns it.
func (o *daemonOptions) read(ctx context.Context, path string, into any) error {
	_, err := o.call(ctx, http.MethodGet, path, nil, into)
	return err
}

// call sends a request to each address in turn until a daemon returns a result. It
// returns the HTTP status. If no daemon replied, the error is a *noReplyError, which
// states whether any of them may have received the request.
func (o *daemonOptions) call(ctx context.Context, method, path string, body, into any) (int, error) {
	secret, err := readSecret(o.SecretFile)
	if err != nil {
		return 0, usageError("--secret-file: %w", err)
	}
	return callAny(ctx, o.Timeout, withDefault(o.Addresses, defaultOperatorAddress), func(ctx context.Context, address string) (int, error) {
		return call(ctx, method, "http://"+address+path, secret, body, into)
	})
}

func readSecret(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("open: %w", err)
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxSecretBytes))
	if err != nil {
		return "", fmt.Errorf("read: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

func withDefault(addresses []string, defaultAddress string) []string {
	if len(addresses) == 0 {
		return []string{defaultAddress}
	}
	return addresses
}

// callAny calls send for each address in turn until one replies. Each address gets
// an equal share of the remaining time.
func callAny(ctx context.Context, timeout time.Duration, addresses []string, send func(context.Context, string) (int, error)) (int, error) {
	if timeout <= 0 {
		return 0, usageError("--timeout %s is not above 0", timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	end := time.Now().Add(timeout)
	combined := &noReplyError{}
	for i, address := range addresses {
		share := time.Until(end) / time.Duration(len(addresses)-i)
		sendCtx, cancelSend := context.WithTimeout(ctx, share)
		status, err := send(sendCtx, address)
		cancelSend()
		var noReply *noReplyError
		if !errors.As(err, &noReply) {
			return status, err
		}
		combined.maybeSent = combined.maybeSent || noReply.maybeSent
		combined.err = joinNoReply(combined.err, address, noReply.err)
	}
	return 0, combined
}

func joinNoReply(before error, address string, err error) error {
	if before == nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	return fmt.Errorf("%w; %s: %w", before, address, err)
}

// call sends a JSON body and decodes the JSON reply.
func call(ctx context.Context, method, target, secret string, body, into any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return 0, usageError("make request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, &noReplyError{maybeSent: !connectFailed(err), err: cause(err)}
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return 0, &noReplyError{maybeSent: true, err: fmt.Errorf("read reply: %w", err)}
	}
	return response.StatusCode, decodeReply(response.StatusCode, reply, into)
}

// decodeReply decodes the result, or returns the reason why there is none.
func decodeReply(status int, reply []byte, into any) error {
	var rejected rejectedError
	if err := json.Unmarshal(reply, &rejected.Failure); err == nil {
		switch rejected.Kind {
		case hysoperator.FailureUnavailable:
			return &noReplyError{maybeSent: status != http.StatusServiceUnavailable, err: &rejected}
		case hysoperator.FailureInvalid, hysoperator.FailureUnauthorized:
			return &rejected
		}
	}
	if err := json.Unmarshal(reply, into); err != nil {
		return &noReplyError{maybeSent: true, err: fmt.Errorf("status %d: %w: %w", status, errMalformedReply, err)}
	}
	return nil
}

// connectFailed reports whether the connection could not be opened, so that nothing
// was sent.
func connectFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// cause strips the method and the URL from an error of the HTTP client, since the
// user of the command knows them.
func cause(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) {
		return fmt.Errorf("%s: %w", operation.Op, operation.Err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("no reply in time: %w", context.DeadlineExceeded)
	}
	return err
}

// readFile reads a file, or standard input for "-".
func (p *program) readFile(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(io.LimitReader(p.stdin, maxReplyBytes))
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return data, nil
}

func (p *program) printf(format string, args ...any) {
	fmt.Fprintf(p.stdout, format, args...)
}

func (p *program) printJSON(value any) {
	encoder := json.NewEncoder(p.stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
