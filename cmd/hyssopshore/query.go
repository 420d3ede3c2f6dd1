package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
)

const usageQuery = `Send one request as a caller, and print its answer.

The answer states its outcome (complete, partial, not-run, unknown), the
snapshot of the index that it reflects, and each shard that did not answer.
With several --address options the next daemon is tried if one does not reply.
A non-idempotent request carries the same request id to each, so that it runs
at most once; if its outcome is unknown, send it again with the id printed.

Examples:
  hyssopshore query --group accra-ringers --service captains-desk --body '{"find":"treble"}'
  hyssopshore query --group accra-ringers --service captains-desk --class bulk --body-file query.json --json
  echo '{}' | hyssopshore query --group accra-ringers --service captains-desk --body-file -
  hyssopshore query --group accra-ringers --service band-roll --non-idempotent --key treble --body '{"book":"Sunday"}'`

type queryCommand struct {
	Addresses     []string      `arg:"--address,separate" placeholder:"IP:PORT" help:"caller address of a daemon; given several times, each is tried in turn [default: 127.0.0.1:7101]"`
	Group         string        `arg:"--group,required" help:"group that asks"`
	Service       string        `arg:"--service,required" help:"service to search"`
	Class         string        `arg:"--class" default:"urgent" help:"urgent or bulk"`
	DeadlineMS    int64         `arg:"--deadline-ms" help:"deadline in milliseconds [default: the service's longest]"`
	NonIdempotent bool          `arg:"--non-idempotent" help:"run at most once, on the shard of --key"`
	Key           string        `arg:"--key" help:"key of a non-idempotent request"`
	RequestID     string        `arg:"--request-id" help:"request id; a resend carries the same [default: a new UUID of version 7]"`
	Body          string        `arg:"--body" placeholder:"JSON" help:"body for the searchers"`
	BodyFile      string        `arg:"--body-file" placeholder:"FILE" help:"file with the body; - for standard input"`
	Timeout       time.Duration `arg:"--timeout" default:"70s" help:"time for the whole command"`
	JSON          bool          `arg:"--json" help:"print the whole answer as JSON"`
}

func (c *queryCommand) run(ctx context.Context, p *program) error {
	q, err := c.query(p)
	if err != nil {
		return usageError("query: %w", err)
	}
	var answer hysquery.Answer
	_, err = callAny(ctx, c.Timeout, withDefault(c.Addresses, defaultCallerAddress), func(ctx context.Context, address string) (int, error) {
		status, err := call(ctx, http.MethodPost, "http://"+address+"/v1/query", "", q, &answer)
		if err == nil && answer.RequestID != q.RequestID && answer.Outcome != hysquery.OutcomeNotRun {
			return status, &noReplyError{maybeSent: true, err: errMalformedReply}
		}
		return status, err
	})
	if err != nil {
		return noReplyToQuery(q, err)
	}
	if c.JSON {
		p.printJSON(answer)
	} else {
		p.printAnswer(answer)
	}
	return answerExit(answer)
}

// noReplyToQuery returns the error for a query whose call failed. A non-idempotent
// query that may have reached a daemon has an unknown outcome.
func noReplyToQuery(q hysquery.Query, err error) error {
	var noReply *noReplyError
	if !errors.As(err, &noReply) {
		return fmt.Errorf("query: %w", err)
	}
	if !noReply.maybeSent {
		return fmt.Errorf("query: not sent: %w", err)
	}
	if !q.NonIdempotent {
		return fmt.Errorf("query: no answer: %w", err)
	}
	return &exitError{code: exitUnknown, err: fmt.Errorf(
		"query: unknown: send the same request again with --request-id %s: %w", q.RequestID, err)}
}

func (c *queryCommand) query(p *program) (hysquery.Query, error) {
	class, err := hysquery.ParseClass(c.Class)
	if err != nil {
		return hysquery.Query{}, fmt.Errorf("--class must be urgent or bulk, not %q", c.Class)
	}
	body, err := c.body(p)
	if err != nil {
		return hysquery.Query{}, err
	}
	if c.RequestID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return hysquery.Query{}, fmt.Errorf("make request id: %w", err)
		}
		c.RequestID = id.String()
	}
	return hysquery.Query{
		RequestID: hysquery.RequestID(c.RequestID), Group: hysgroup.Name(c.Group),
		Service: hysservice.Name(c.Service), Class: class,
		Deadline:      hysservice.Milliseconds(c.DeadlineMS),
		NonIdempotent: c.NonIdempotent, Key: c.Key, Body: body,
	}, nil
}

func (c *queryCommand) body(p *program) (json.RawMessage, error) {
	if (c.Body == "") == (c.BodyFile == "") {
		return nil, fmt.Errorf("either --body or --body-file must be given")
	}
	body := []byte(c.Body)
	if c.BodyFile != "" {
		data, err := p.readFile(c.BodyFile)
		if err != nil {
			return nil, fmt.Errorf("--body-file: %w", err)
		}
		body = data
	}
	if !json.Valid(body) {
		return nil, fmt.Errorf("the body is not JSON")
	}
	return body, nil
}

func (p *program) printAnswer(a hysquery.Answer) {
	p.printf("%s: snapshot %d, %d of %d shards, %d hits\n", a.Outcome, a.Version, a.Coverage.Answered(), len(a.Coverage), len(a.Hits))
	p.printf("request id: %s\n", a.RequestID)
	if a.Reason != "" {
		p.printf("reason: %s\n", a.Reason)
	}
	if a.RetryAfter > 0 {
		p.printf("retry after: %d ms\n", a.RetryAfter)
	}
	for _, c := range a.Coverage {
		if c.Status != hysquery.ShardAnswered {
			p.printf("shard %s: %s\n", c, c.Reason)
		}
	}
	for _, h := range a.Hits {
		p.printf("%s\n", h)
	}
}

// answerExit returns an error with the exit code for the outcome of an answer, nil
// for a complete answer.
func answerExit(a hysquery.Answer) error {
	codes := map[hysquery.Outcome]int{
		hysquery.OutcomePartial: exitPartial,
		hysquery.OutcomeNotRun:  exitNotRun,
		hysquery.OutcomeUnknown: exitUnknown,
	}
	if code, ok := codes[a.Outcome]; ok {
		return &exitError{code: code, err: fmt.Errorf("query: %s: %s", a.Outcome, a.Reason)}
	}
	return nil
}
