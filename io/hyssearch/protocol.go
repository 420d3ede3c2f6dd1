// Package hyssearch is the client for the native search protocol of searchers.
//
// Each connection carries one request at a time. A reply that does not match
// the request, its version, its epoch and its shard is discarded, and its
// connection is closed.
//
// # Usage
//
//	c := hyssearch.New(hyssearch.WithConnectionCap(8))
//	result := c.Send(ctx, searcher, sub)
//	info, err := c.Info(ctx, searcher)
package hyssearch

import (
	"encoding/json"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
)

// Paths of the search protocol.
const (
	PathSearch = "/search"
	PathInfo   = "/info"
	PathCancel = "/cancel"
)

// SearchRequest is the body of a search.
type SearchRequest struct {
	RequestID  string              `json:"request-id"`
	Attempt    uint64              `json:"attempt"`
	Service    hysservice.Name     `json:"service"`
	Shard      hysservice.ShardID  `json:"shard"`
	Epoch      hyssnapshot.Epoch   `json:"epoch"`
	Version    hyssnapshot.Version `json:"version"`
	DeadlineMS int64               `json:"deadline-ms"`
	Idempotent bool                `json:"idempotent"`
	Body       json.RawMessage     `json:"body"`
}

// SearchStatus is the outcome of a search at the searcher.
type SearchStatus string

// Statuses of a search.
const (
	StatusOK          SearchStatus = "ok"
	StatusShed        SearchStatus = "shed"
	StatusDraining    SearchStatus = "draining"
	StatusVersionGone SearchStatus = "version-gone"
	StatusEpochGone   SearchStatus = "epoch-gone"
	StatusRejected    SearchStatus = "rejected"
	StatusCancelled   SearchStatus = "cancelled"
)

// SearchReply is the body of a reply to a search.
type SearchReply struct {
	RequestID    string              `json:"request-id"`
	Attempt      uint64              `json:"attempt"`
	Shard        hysservice.ShardID  `json:"shard"`
	Epoch        hyssnapshot.Epoch   `json:"epoch"`
	Version      hyssnapshot.Version `json:"version"`
	Status       SearchStatus        `json:"status"`
	Reason       string              `json:"reason,omitempty"`
	RetryAfterMS int64               `json:"retry-after-ms,omitempty"`
	Draining     bool                `json:"draining,omitempty"`
	// RateLimit is how many requests a second the searcher takes from all instances,
	// a number. It is decoded separately, so that a value out of range does not make
	// the reply invalid.
	RateLimit json.RawMessage   `json:"rate-limit,omitempty"`
	Hits      []json.RawMessage `json:"hits,omitempty"`
}

// CancelRequest is the body of a cancellation.
type CancelRequest struct {
	RequestID string             `json:"request-id"`
	Attempt   uint64             `json:"attempt"`
	Shard     hysservice.ShardID `json:"shard"`
}

// InfoReply is the body of a reply to an info request.
type InfoReply struct {
	Searcher    hysmember.SearcherID `json:"searcher"`
	Service     hysservice.Name      `json:"service"`
	Incarnation uint64               `json:"incarnation"`
	Draining    bool                 `json:"draining"`
	Holdings    []InfoHolding        `json:"holdings"`
}

// InfoHolding is a shard that the searcher holds in one epoch.
type InfoHolding struct {
	Epoch    hyssnapshot.Epoch     `json:"epoch"`
	Shard    hysservice.ShardID    `json:"shard"`
	From     uint64                `json:"from"`
	To       uint64                `json:"to"`
	Versions []hyssnapshot.Version `json:"versions"`
}

// Info converts the reply to a hysmember.Info.
func (r InfoReply) Info() hysmember.Info {
	info := hysmember.Info{
		Searcher: r.Searcher, Service: r.Service, Incarnation: r.Incarnation, Draining: r.Draining,
	}
	for _, h := range r.Holdings {
		info.Holdings = append(info.Holdings, hyssnapshot.Holding{
			Epoch: h.Epoch,
			Range: hyssnapshot.Range{Shard: h.Shard, From: h.From, To: h.To, Versions: h.Versions},
		})
	}
	return info
}
