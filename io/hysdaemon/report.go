package hysdaemon

import (
	"context"
	"fmt"
	"time"

	"hyssopshore/core/hysclaim"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysticket"
	"hyssopshore/io/hyshttp"
	"hyssopshore/io/hysmetrics"
	"hyssopshore/io/hyspermit"
)

const (
	reportInterval = 500 * time.Millisecond
	// storeUnavailableAfter is how long all reads of the store may fail before
	// it is reported as unavailable.
	storeUnavailableAfter = 5 * time.Second
	// maxMemberLines bounds the log lines about members in one round. More
	// changes are counted in a single line.
	maxMemberLines = 20
)

// reporter sets the gauges and logs changes of state. It must be used by one
// goroutine only.
type reporter struct {
	daemon    *Daemon
	callers   *hyshttp.Server
	operators *hyshttp.Server

	storeUnavailable bool
	digest           hysticket.Digest
	unusableReasons  map[hysmember.InstanceID]string
}

func newReporter(d *Daemon, callers, operators *hyshttp.Server) *reporter {
	return &reporter{daemon: d, callers: callers, operators: operators, unusableReasons: make(map[hysmember.InstanceID]string)}
}

// run reports periodically until the context ends.
func (r *reporter) run(ctx context.Context) {
	runEvery(ctx, reportInterval, func(context.Context) {
		r.reportStore()
		r.reportConfiguration()
		r.reportMembers()
		r.setGauges()
	})
}

func (r *reporter) reportStore() {
	age := r.daemon.storeAge()
	unavailable := age > storeUnavailableAfter
	if unavailable == r.storeUnavailable {
		return
	}
	r.storeUnavailable = unavailable
	if unavailable {
		r.daemon.log.Warn("store unavailable", "reason", "no read has succeeded", "age-ms", age.Milliseconds())
		return
	}
	r.daemon.log.Info("store available again")
}

func (r *reporter) reportConfiguration() {
	state := r.daemon.keeper.State()
	if state.Digest() == r.digest || state.HighestNumber() == 0 {
		return
	}
	r.digest = state.Digest()
	r.daemon.log.Info("configuration changed", "newest-ticket", state.HighestNumber(), "digest", r.digest)
}

// unusableReason returns why a listed instance gets no work, or "".
func (r *reporter) unusableReason(i hysmember.Instance) string {
	switch {
	case i.Leaving:
		return "marked as leaving in the instance list"
	case !r.daemon.usable(i.ID):
		return "leaving or unresponsive"
	default:
		return ""
	}
}

// memberChange describes a member that became usable (found) or unusable.
type memberChange struct {
	instance hysmember.InstanceID
	found    bool
	reason   string
}

func (r *reporter) reportMembers() {
	changes := r.memberChanges()
	if len(changes) > maxMemberLines {
		found := 0
		for _, c := range changes {
			if c.found {
				found++
			}
		}
		r.daemon.log.Warn("many members changed", "found", found, "lost", len(changes)-found)
		return
	}
	for _, c := range changes {
		if c.found {
			r.daemon.log.Info("member found", "member", c.instance)
			continue
		}
		r.daemon.log.Warn("member lost", "member", c.instance, "reason", c.reason)
	}
}

// memberChanges compares the members with those of the last round. A member that
// has never been usable is not reported as lost.
func (r *reporter) memberChanges() []memberChange {
	var changes []memberChange
	listed := make(map[hysmember.InstanceID]bool)
	for _, i := range r.daemon.view.List().Instances {
		listed[i.ID] = true
		cause := r.unusableReason(i)
		lastReason, known := r.unusableReasons[i.ID]
		if (!known && cause != "") || (known && (lastReason == "") == (cause == "")) {
			continue
		}
		r.unusableReasons[i.ID] = cause
		changes = append(changes, memberChange{instance: i.ID, found: cause == "", reason: cause})
	}
	for id, cause := range r.unusableReasons {
		if listed[id] {
			continue
		}
		delete(r.unusableReasons, id)
		if cause == "" {
			changes = append(changes, memberChange{instance: id, reason: "not in the instance list"})
		}
	}
	return changes
}

func (r *reporter) setGauges() {
	d := r.daemon
	state := d.keeper.State()
	d.metrics.SetReach(d.prober.Tracker.Status())
	d.metrics.Set(hysmetrics.Gauges{
		Ready: d.acceptsRequests(), Leaving: d.leaving.Load(), StoreAge: d.storeAge(),
		NewestTicket: uint64(state.HighestNumber()), RunningRequests: d.entry.Running(),
		MembersListed: len(d.view.List().Instances), MembersUsable: len(d.view.Usable()),
		Quarantined: d.quarantinedCount(),
	})
	d.metrics.SetLimits(hyspermit.Metrics(d.dispatcher.LimitedSearchers()))
	for _, s := range state.Services() {
		load := d.dispatcher.Load(s.Name)
		d.metrics.SetService(s.Name, hysmetrics.ServiceGauges{
			Waiting: load.Waiting, Running: load.Running, Slots: load.Slots, RetryBudget: load.BudgetRemaining,
		})
	}
	d.metrics.SetConnections(hysmetrics.PortCaller, r.callers.Connections())
	d.metrics.SetConnections(hysmetrics.PortOperator, r.operators.Connections())
}

// quarantinedCount returns the number of quarantined requests.
func (d *Daemon) quarantinedCount() int {
	count := 0
	for _, r := range d.registry.Records() {
		if r.State() == hysquarantine.StateQuarantined {
			count++
		}
	}
	return count
}

// storeAge returns the time since the last successful read of the store.
func (d *Daemon) storeAge() time.Duration {
	return time.Since(time.Unix(0, d.storeRead.Load()))
}

// claim claims a request id for the entry, and counts the result.
func (d *Daemon) claim(ctx context.Context, id hysquery.RequestID) (hysclaim.Claim, bool, error) {
	claim, won, err := d.claims.Claim(ctx, id)
	switch {
	case err != nil:
		d.metrics.ObserveClaim(hysmetrics.ClaimFailed)
	case won:
		d.metrics.ObserveClaim(hysmetrics.ClaimWon)
	default:
		d.metrics.ObserveClaim(hysmetrics.ClaimLost)
	}
	if err != nil {
		return claim, won, fmt.Errorf("Daemon.claim: %w", err)
	}
	return claim, won, nil
}

// reportTicket counts and logs the result of a ticket that an operator sent to
// this daemon.
func (d *Daemon) reportTicket(t hysticket.Ticket, result hysticket.Result, err error) {
	d.metrics.ObserveTicket(result.String())
	attributes := []any{"number", t.Number, "author", t.Author, "result", result.String()}
	if err != nil {
		attributes = append(attributes, "reason", err.Error())
	}
	if result == hysticket.ResultAccepted {
		d.log.Info("ticket applied", attributes...)
		return
	}
	d.log.Info("ticket not applied", attributes...)
}
