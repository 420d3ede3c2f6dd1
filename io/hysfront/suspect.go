package hysfront

import (
	"context"
	"strconv"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysquery"
)

// Limits of the evidence against requests that is written to the store.
const (
	accuseQueue = 64
	// accuseInterval is the least time between two writes.
	accuseInterval = 200 * time.Millisecond
	// evidenceLease is how long it lies there. The daemons keep it longer.
	evidenceLease = 10 * time.Minute
)

// suspectKey is that of a request at all services: a query that crashes
// searchers does so at every shard.
func suspectKey(f hysquery.Fingerprint) hysquarantine.Key {
	return hysquarantine.Key{Fingerprint: f}
}

// suspect reports whether a request is refused since it crashes searchers.
func (f *Front) suspect(fingerprint hysquery.Fingerprint) (time.Time, bool) {
	return f.suspects.RefusedUntil(suspectKey(fingerprint))
}

// judge notes what a send tells of its request.
func (f *Front) judge(s hysmember.Searcher, sub hysdispatch.SubRequest, r hysdispatch.Result) {
	key := suspectKey(sub.Fingerprint)
	switch r.Fault {
	case hysdispatch.FaultNone, hysdispatch.FaultFailed:
		if cleared, ok := f.suspects.RecordAnswer(key); ok {
			f.log.Info("request cleared", "id", sub.RequestID, "fingerprint", sub.Fingerprint, "searcher", s.ID)
			f.accuse(cleared)
		}
	case hysdispatch.FaultLost, hysdispatch.FaultSilent:
		f.suspects.RecordLoss(key, s.ID, strconv.FormatInt(f.directory.StartTime(s.ID), 10))
	}
}

// searcherDown blames the requests that were lost at a searcher.
func (f *Front) searcherDown(id hysmember.SearcherID) {
	for _, r := range f.suspects.RecordCrash(id) {
		_, refused := f.suspects.RefusedUntil(r.Key)
		f.log.Warn("request blamed for a crash", "fingerprint", r.Fingerprint, "searcher", id,
			"crashes", len(r.CountedCrashes()), "refused", refused)
		f.accuse(r)
	}
}

// accuse queues a record for the other daemons. If too many wait it is left out:
// they learn of the request by crashes of their own.
func (f *Front) accuse(r hysquarantine.Record) {
	f.noteSuspects()
	select {
	case f.accusations <- r:
	default:
		f.log.Warn("evidence left out", "fingerprint", r.Fingerprint)
	}
}

// noteSuspects marks that there are new records for those who follow this one.
func (f *Front) noteSuspects() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspectsChanged = f.directory.BumpVersion()
}

// takeEvidence takes over what the store tells of requests.
func (f *Front) takeEvidence(e CrashEvidence) {
	for _, err := range e.DecodeErrors {
		f.log.Warn("evidence not read", "error", err)
	}
	f.mergeSuspects(e.Records)
}

// mergeSuspects takes the records of other daemons over.
func (f *Front) mergeSuspects(records hysquarantine.Records) {
	if len(records) == 0 || !f.suspects.Merge(records) {
		return
	}
	f.noteSuspects()
	for _, r := range records {
		_, refused := f.suspects.RefusedUntil(r.Key)
		f.log.Info("evidence learned", "fingerprint", r.Fingerprint, "crashes", len(r.CountedCrashes()), "refused", refused)
	}
}

// shareEvidence writes the queued records to the store.
func (f *Front) shareEvidence(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.accusations:
			if err := f.source.WriteCrashEvidence(ctx, f.settings.Instance, r, evidenceLease); err != nil {
				f.log.Warn("evidence not written", "fingerprint", r.Fingerprint, "error", err)
			}
			sleep(ctx, accuseInterval)
		}
	}
}
