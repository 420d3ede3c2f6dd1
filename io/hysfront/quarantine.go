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

// Bounds of the crash evidence that is written to the store.
const (
	evidenceQueueLength = 64
	// maxOwnEvidence bounds the records that are kept to be written again.
	maxOwnEvidence = 64
	// evidenceWriteInterval is the minimum time between two writes.
	evidenceWriteInterval = 200 * time.Millisecond
	// evidenceLease is how long a record stays in the store. The daemons keep it
	// longer.
	evidenceLease = 10 * time.Minute
)

// quarantineKey returns the key under which a request is quarantined, the same at
// all services: a query that crashes searchers does so at every shard.
func quarantineKey(f hysquery.Fingerprint) hysquarantine.Key {
	return hysquarantine.Key{Fingerprint: f}
}

// quarantined reports whether a request is refused because it crashes searchers,
// and until when.
func (f *Front) quarantined(fingerprint hysquery.Fingerprint) (time.Time, bool) {
	return f.suspects.RefusedUntil(quarantineKey(fingerprint))
}

// recordResult records for the quarantine whether a send was answered or lost.
func (f *Front) recordResult(s hysmember.Searcher, sub hysdispatch.SubRequest, r hysdispatch.Result) {
	key := quarantineKey(sub.Fingerprint)
	switch r.Fault {
	case hysdispatch.FaultNone, hysdispatch.FaultFailed:
		if cleared, ok := f.suspects.RecordAnswer(key); ok {
			f.log.Info("request cleared of crash suspicion", "id", sub.RequestID, "fingerprint", sub.Fingerprint, "searcher", s.ID)
			f.queueEvidence(cleared)
		}
	case hysdispatch.FaultLost, hysdispatch.FaultSilent:
		f.suspects.RecordLoss(key, s.ID, strconv.FormatInt(f.directory.StartTime(s.ID), 10))
	}
}

// crashConfirmTime is the time after a refused connection within which this daemon finds
// out whether it reaches any searcher.
const crashConfirmTime = 400 * time.Millisecond

// searcherRefused attributes the crash of a searcher that has refused a connection,
// unless it turns out that no searcher of its service is in reach: then this daemon may
// be cut off, and the searcher is well.
func (f *Front) searcherRefused(s hysmember.Searcher) {
	time.AfterFunc(crashConfirmTime, func() {
		if !f.reach.Lost(s.Service) {
			f.attributeCrash(s.ID)
		}
	})
}

// attributeCrash attributes the crash of a searcher to the requests that were lost
// there.
func (f *Front) attributeCrash(id hysmember.SearcherID) {
	for _, r := range f.suspects.RecordCrash(id) {
		_, refused := f.suspects.RefusedUntil(r.Key)
		f.log.Warn("request suspected of a crash", "fingerprint", r.Fingerprint, "searcher", id,
			"crashes", len(r.CountedCrashes()), "refused", refused)
		f.queueEvidence(r)
	}
}

// queueEvidence queues a record to be written for the other daemons. If the queue
// is full it skips the record: the other daemons learn of the request from crashes
// of their own.
func (f *Front) queueEvidence(r hysquarantine.Record) {
	f.markSuspectsChanged()
	f.keepEvidence(r, time.Now())
	f.enqueueEvidence(r)
}

func (f *Front) enqueueEvidence(r hysquarantine.Record) {
	select {
	case f.evidenceQueue <- r:
	default:
		f.log.Warn("crash evidence skipped", "fingerprint", r.Fingerprint)
	}
}

// markSuspectsChanged marks that there are new records for the daemons that follow
// this one.
func (f *Front) markSuspectsChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspectsChanged = f.directory.BumpVersion()
}

// applyEvidence applies crash evidence from the store.
func (f *Front) applyEvidence(e CrashEvidence) {
	for _, err := range e.DecodeErrors {
		f.log.Warn("crash evidence not read", "error", err)
	}
	f.mergeSuspects(e.Records)
}

// mergeSuspects merges the records of other daemons.
func (f *Front) mergeSuspects(records hysquarantine.Records) {
	if len(records) == 0 || !f.suspects.Merge(records) {
		return
	}
	f.markSuspectsChanged()
	for _, r := range records {
		_, refused := f.suspects.RefusedUntil(r.Key)
		f.log.Info("crash evidence received", "fingerprint", r.Fingerprint, "crashes", len(r.CountedCrashes()), "refused", refused)
	}
}

// writeEvidence writes the queued records to the store until the context ends.
func (f *Front) writeEvidence(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.evidenceQueue:
			if err := f.source.WriteCrashEvidence(ctx, f.settings.Instance, r, evidenceLease); err != nil {
				f.log.Warn("crash evidence not written", "fingerprint", r.Fingerprint, "error", err)
			}
			sleep(ctx, evidenceWriteInterval)
		}
	}
}

// keepEvidence keeps a record that this daemon writes to the store, and drops those
// that have expired.
func (f *Front) keepEvidence(r hysquarantine.Record, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, known := range f.ownEvidence {
		if known.Expires.Before(now) {
			delete(f.ownEvidence, key)
		}
	}
	if _, ok := f.ownEvidence[r.Key]; ok || len(f.ownEvidence) < maxOwnEvidence {
		f.ownEvidence[r.Key] = r
	}
}

// rewriteEvidence queues the records of this daemon to be written again.
func (f *Front) rewriteEvidence(now time.Time) {
	f.mu.Lock()
	var records hysquarantine.Records
	for _, r := range f.ownEvidence {
		if r.Expires.After(now) {
			records = append(records, r)
		}
	}
	f.mu.Unlock()
	for _, r := range records {
		f.enqueueEvidence(r)
	}
	if len(records) > 0 {
		f.log.Info("crash evidence to be written again", "count", len(records))
	}
}
