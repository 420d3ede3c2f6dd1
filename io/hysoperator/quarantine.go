package hysoperator

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"hyssopshore/core/hysquarantine"
	"hyssopshore/io/hyshttp"
)

// Quarantine gives operators access to the requests that crash searchers.
type Quarantine struct {
	Records func() hysquarantine.Records
	// Lift discounts the given crashes of a request and reports whether there
	// were any that counted.
	Lift func(hysquarantine.Key, ...hysquarantine.Crash) bool
}

// QuarantineEntry describes a request that crashed searchers.
type QuarantineEntry struct {
	hysquarantine.Key
	State   hysquarantine.State   `json:"state"`
	Crashes []hysquarantine.Crash `json:"crashes"`
	Expires time.Time             `json:"expires"`
}

// LiftRequest asks to lift a quarantine as it was listed.
type LiftRequest struct {
	hysquarantine.Key
	// Crashes are the crashes that were listed. A crash that became known later
	// still counts against the request.
	Crashes []hysquarantine.Crash `json:"crashes"`
}

// LiftReply reports whether a quarantine was lifted.
type LiftReply struct {
	Lifted bool `json:"lifted"`
}

func (q *Quarantine) list(_ context.Context, c *app.RequestContext) {
	entries := []QuarantineEntry{}
	for _, r := range q.Records() {
		if r.State() != hysquarantine.StateClear {
			entries = append(entries, QuarantineEntry{Key: r.Key, State: r.State(), Crashes: r.CountedCrashes(), Expires: r.Expires})
		}
	}
	hyshttp.Write(c, http.StatusOK, entries)
}

func (q *Quarantine) lift(_ context.Context, c *app.RequestContext) {
	var request LiftRequest
	if err := hyshttp.Read(c, &request); err != nil {
		hyshttp.Write(c, http.StatusBadRequest, NewFailure(http.StatusBadRequest, err.Error()))
		return
	}
	hyshttp.Write(c, http.StatusOK, LiftReply{Lifted: q.Lift(request.Key, request.Crashes...)})
}
