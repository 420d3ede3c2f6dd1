// Package hysoperator serves operators over HTTP: tickets, the configuration,
// the audit trail, the live status and the metrics. Every request carries the
// operators' secret as a bearer token, except for the metrics: a scraper
// changes nothing and should not hold a secret that can change everything.
//
// # Usage
//
//	o := &hysoperator.Operator{Secret: secret, Apply: keeper.Apply, ...}
//	o.Register(server)
package hysoperator

import (
	"context"
	"crypto/subtle"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/juju/errors"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hysticket"
	"hyssopshore/io/hyshttp"
)

// MaxBodyBytes is the largest ticket, in bytes.
const MaxBodyBytes = 8 << 20

// Operator serves operators. It is safe for concurrent use.
type Operator struct {
	Secret     string
	Apply      func(context.Context, hysticket.Ticket) (hysticket.Result, error)
	State      func() hysticket.State
	Log        func() hysticket.Log
	Status     func() Status
	Quarantine Quarantine
	// Metrics serves the metrics.
	Metrics http.Handler
	// Applied is told the result of each valid ticket. It may be left out.
	Applied func(hysticket.Ticket, hysticket.Result, error)
}

// FailureKind tells why a request had no result.
type FailureKind string

// The kinds of failures.
const (
	// FailureInvalid requests can never succeed as they are.
	FailureInvalid FailureKind = "invalid"
	// FailureUnauthorized requests do not carry the operators' secret.
	FailureUnauthorized FailureKind = "unauthorized"
	// FailureUnavailable requests were not taken by the daemon.
	FailureUnavailable FailureKind = "unavailable"
)

// Failure is the answer to a request without a result. Its kind takes the
// place of a ticket's result, so that none can be read as accepted.
type Failure struct {
	Kind   FailureKind `json:"result"`
	Reason string      `json:"reason"`
}

// NewFailure returns the answer for an HTTP status.
func NewFailure(status int, reason string) any {
	switch {
	case status == http.StatusUnauthorized:
		return Failure{Kind: FailureUnauthorized, Reason: reason}
	case status < http.StatusInternalServerError:
		return Failure{Kind: FailureInvalid, Reason: reason}
	default:
		return Failure{Kind: FailureUnavailable, Reason: reason}
	}
}

// TicketReply tells what became of a ticket.
type TicketReply struct {
	Number hysticket.Number `json:"number"`
	Result hysticket.Result `json:"result"`
	Reason string           `json:"reason,omitempty"`
}

// Configuration is the configuration in force.
type Configuration struct {
	NewestTicket hysticket.Number    `json:"newest-ticket"`
	Digest       hysticket.Digest    `json:"digest"`
	Groups       hysgroup.Groups     `json:"groups"`
	Services     hysservice.Services `json:"services"`
}

// Register adds the operators' interface to a server.
func (o *Operator) Register(h *server.Hertz) {
	h.GET("/metrics", adaptor.HertzHandler(o.Metrics))
	g := h.Group("/v1", o.authenticate)
	g.POST("/tickets", o.apply)
	g.GET("/configuration", o.configuration)
	g.GET("/audit", o.audit)
	g.GET("/status", o.status)
	g.GET("/quarantine", o.Quarantine.list)
	g.POST("/quarantine/lift", o.Quarantine.lift)
}

func (o *Operator) authenticate(ctx context.Context, c *app.RequestContext) {
	given := c.Request.Header.Get("Authorization")
	if subtle.ConstantTimeCompare([]byte(given), []byte("Bearer "+o.Secret)) != 1 {
		o.fail(c, http.StatusUnauthorized, "the operators' secret is missing or wrong")
		c.Abort()
		return
	}
	c.Next(ctx)
}

func (o *Operator) fail(c *app.RequestContext, status int, reason string) {
	hyshttp.Write(c, status, NewFailure(status, reason))
}

func (o *Operator) apply(ctx context.Context, c *app.RequestContext) {
	var t hysticket.Ticket
	if err := hyshttp.Read(c, &t); err != nil {
		o.fail(c, http.StatusBadRequest, err.Error())
		return
	}
	// A ticket that has begun is not cut off by a lost connection.
	result, err := o.Apply(context.WithoutCancel(ctx), t)
	if errors.Is(err, hysticket.ErrInvalid) {
		o.fail(c, http.StatusBadRequest, err.Error())
		return
	}
	if o.Applied != nil {
		o.Applied(t, result, err)
	}
	reply := TicketReply{Number: t.Number, Result: result}
	if err != nil {
		reply.Reason = err.Error()
	}
	hyshttp.Write(c, ticketStatus(result), reply)
}

func ticketStatus(r hysticket.Result) int {
	switch r {
	case hysticket.ResultUnknown:
		return http.StatusServiceUnavailable
	case hysticket.ResultSuperseded, hysticket.ResultConflict:
		return http.StatusConflict
	default:
		return http.StatusOK
	}
}

func (o *Operator) configuration(_ context.Context, c *app.RequestContext) {
	s := o.State()
	hyshttp.Write(c, http.StatusOK, Configuration{
		NewestTicket: s.HighestNumber(), Digest: s.Digest(), Groups: s.Groups(), Services: s.Services(),
	})
}

func (o *Operator) audit(_ context.Context, c *app.RequestContext) {
	hyshttp.Write(c, http.StatusOK, o.Log())
}

func (o *Operator) status(_ context.Context, c *app.RequestContext) {
	hyshttp.Write(c, http.StatusOK, o.Status())
}
