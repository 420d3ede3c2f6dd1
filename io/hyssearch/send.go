package hyssearch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"syscall"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
)

// Send runs a sub-request on a searcher. When the context ends, Send cancels the
// search at the searcher and returns once the searcher has replied, or after
// cancelTimeout, so that the slot is free when the caller uses it again.
func (c *Client) Send(ctx context.Context, s hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
	began := time.Now()
	conn, err := c.acquire(ctx, s.Address, !sub.Idempotent)
	if err != nil {
		c.observe(ctx, s, began, err)
	}
	if errors.Is(err, ErrConnectionCap) {
		return hysdispatch.Result{Fault: hysdispatch.FaultShed, Reason: err.Error(), NotRun: true}
	}
	if err != nil {
		return hysdispatch.Result{Fault: hysdispatch.FaultRefused, Reason: err.Error(), NotRun: true}
	}
	request := c.request(sub)
	reused := conn.reused
	reply, err := c.exchange(ctx, s.Address, conn, request)
	c.observe(ctx, s, began, err)
	if reused && sub.Idempotent && ctx.Err() == nil && closedByPeer(err) {
		// The searcher had closed the idle connection, which is not a crash.
		if conn, err := c.connect(ctx, s.Address); err == nil {
			reply, err := c.exchange(ctx, s.Address, conn, request)
			return result(ctx, reply, err)
		}
	}
	return result(ctx, reply, err)
}

func (c *Client) request(sub hysdispatch.SubRequest) SearchRequest {
	return SearchRequest{
		RequestID: string(sub.RequestID), Attempt: c.attempts.Add(1), Service: sub.Service,
		Shard: sub.Shard, Epoch: sub.Epoch, Version: sub.Version, Idempotent: sub.Idempotent,
		DeadlineMS: time.Until(sub.Deadline).Milliseconds(), Body: json.RawMessage(sub.Body),
	}
}

func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// errSilent means that the searcher answers on other connections, but not on
// this one.
var errSilent = errors.New("the connection is silent")

// exchange sends a search and waits for its reply. The connection is kept if
// a reply came, including one that says that the search was cancelled.
func (c *Client) exchange(ctx context.Context, address hysmember.Address, conn *connection, request SearchRequest) (SearchReply, error) {
	var reply SearchReply
	// The exchange continues after the context ends, to learn whether the
	// search has stopped.
	exchangeCtx, abort := context.WithCancel(context.WithoutCancel(ctx))
	defer abort()
	done := make(chan error, 1)
	go func() { done <- conn.exchange(exchangeCtx, PathSearch, request, &reply) }()
	var err error
	select {
	case err = <-done:
	case <-ctx.Done():
		err = c.awaitCancelled(address, request, done, abort)
	}
	if err == nil {
		err = reply.checkMatches(request)
	}
	c.release(address, conn, err == nil)
	return reply, err
}

// awaitCancelled cancels a search at the searcher and waits up to cancelTimeout
// for its reply. If none comes, it aborts the exchange and probes the idle
// connections; the error is then errSilent if the searcher answered the
// cancellation on another connection.
func (c *Client) awaitCancelled(address hysmember.Address, request SearchRequest, done <-chan error, abort context.CancelFunc) error {
	answered := c.cancel(address, request)
	timer := time.NewTimer(cancelTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
	}
	abort()
	err := <-done
	c.probeIdle(address)
	if err != nil && answered {
		return errSilent
	}
	return err
}

// cancel sends a cancellation to a searcher and reports whether it answered. It
// opens a new connection if there is no idle one or that does not answer.
func (c *Client) cancel(address hysmember.Address, request SearchRequest) bool {
	body := CancelRequest{RequestID: request.RequestID, Attempt: request.Attempt, Shard: request.Shard}
	if conn := c.takeIdle(address); conn != nil && c.sendCancel(address, conn, body) {
		return true
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	conn, err := c.connect(ctx, address)
	return err == nil && c.sendCancel(address, conn, body)
}

func (c *Client) sendCancel(address hysmember.Address, conn *connection, body CancelRequest) bool {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	var reply struct{}
	err := conn.exchange(ctx, PathCancel, body, &reply)
	c.release(address, conn, err == nil)
	return err == nil
}

func result(ctx context.Context, reply SearchReply, err error) hysdispatch.Result {
	switch {
	case errors.Is(err, errSilent):
		return hysdispatch.Result{Fault: hysdispatch.FaultSilent, Reason: err.Error()}
	case err != nil:
		return hysdispatch.Result{Fault: hysdispatch.FaultLost, Reason: err.Error()}
	case ctx.Err() != nil && reply.Status != StatusOK:
		return hysdispatch.Result{Fault: hysdispatch.FaultCancelled, Reason: "cancelled"}
	}
	return reply.result()
}
