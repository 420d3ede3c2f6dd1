// Package hysoperator implements the HTTP interface for operators: tickets, the
// configuration, the audit trail, quarantine, the live status and the metrics.
// Every request must carry the operators' secret as a bearer token, except for the
// metrics: a scraper only reads, so it should not need a secret that allows changes.
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

// MaxBodyBytes is the maximum size of a ticket, in bytes.
const MaxBodyBytes = 8 << 20

// Operator handles the requests of operators. It is safe for concurrent use.
type Operator struct {
	Secret     string
	Apply      func(context.Context, hysticket.Ticket) (hysticket.Result, error)
	State      func() hysticket.State
	Log        func() hysticket.Log
	Status     func() Status
	Quarantine Quarantine
	// Metrics handles GET /metrics.
	Metrics http.Handler
	// Applied is called with the result of each valid ticket. It is optional.
	Applied func(hysticket.Ticket, hysticket.Result, error)
}

// FailureKind classifies why a request had no result.
type FailureKind string

// The kinds of failures.
const (
	// FailureInvalid is for a request that can't succeed unless it is changed.
	FailureInvalid FailureKind = "invalid"
	// FailureUnauthorized is for a request without the operators' secret.
	FailureUnauthorized FailureKind = "unauthorized"
	// FailureUnavailable is for a request that the daemon could not handle.
	FailureUnavailable FailureKind = "unavailable"
)

// Failure is the response to a request that had no result. Its kind is encoded in
// the JSON field that otherwise holds a ticket's result, so that a failure can't be
// mistaken for an accepted ticket.
type Failure struct {
	Kind   FailureKind `json:"result"`
	Reason string      `json:"reason"`
}

// NewFailure returns the Failure for an HTTP status.
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

// TicketReply is the response to a ticket.
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

// Register adds the routes for operators to a server.
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
	header := c.Request.Header.Get("Authorization")
	if subtle.ConstantTimeCompare([]byte(header), []byte("Bearer "+o.Secret)) != 1 {
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
	// Applying a ticket is not canceled when the operator disconnects.
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
