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
)

const (
	reportInterval = 500 * time.Millisecond
	// storeLostAfter is how long the store may fail before it counts as lost.
	storeLostAfter = 5 * time.Second
	// maxMemberLines bounds the lines about members of one round; more changes
	// are told in one line.
	maxMemberLines = 20
)

// reporter sets the gauges and logs the changes of state. It is used by one
// goroutine.
type reporter struct {
	daemon    *Daemon
	callers   *hyshttp.Server
	operators *hyshttp.Server

	storeLost bool
	digest    hysticket.Digest
	members   map[hysmember.InstanceID]string
}

func newReporter(d *Daemon, callers, operators *hyshttp.Server) *reporter {
	return &reporter{daemon: d, callers: callers, operators: operators, members: make(map[hysmember.InstanceID]string)}
}

// run reports until the context ends.
func (r *reporter) run(ctx context.Context) {
	every(ctx, reportInterval, func(context.Context) {
		r.reportStore()
		r.reportConfiguration()
		r.reportMembers()
		r.setGauges()
	})
}

func (r *reporter) reportStore() {
	age := r.daemon.storeAge()
	lost := age > storeLostAfter
	if lost == r.storeLost {
		return
	}
	r.storeLost = lost
	if lost {
		r.daemon.log.Warn("store lost", "reason", "no read has succeeded", "age-ms", age.Milliseconds())
		return
	}
	r.daemon.log.Info("store regained")
}

func (r *reporter) reportConfiguration() {
	state := r.daemon.keeper.State()
	if state.Digest() == r.digest || state.HighestNumber() == 0 {
		return
	}
	r.digest = state.Digest()
	r.daemon.log.Info("configuration changed", "newest-ticket", state.HighestNumber(), "digest", r.digest)
}

// memberFault returns why a listed instance gets no work, or "".
func (r *reporter) memberFault(i hysmember.Instance) string {
	switch {
	case i.Leaving:
		return "marked as leaving in the instance list"
	case !r.daemon.usable(i.ID):
		return "leaving or silent"
	default:
		return ""
	}
}

// memberChange is one member that was found or lost.
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

// memberChanges compares the members with those of the last round. A member
// that was never usable is not lost.
func (r *reporter) memberChanges() []memberChange {
	var changes []memberChange
	listed := make(map[hysmember.InstanceID]bool)
	for _, i := range r.daemon.view.List().Instances {
		listed[i.ID] = true
		fault := r.memberFault(i)
		before, known := r.members[i.ID]
		if (!known && fault != "") || (known && (before == "") == (fault == "")) {
			continue
		}
		r.members[i.ID] = fault
		changes = append(changes, memberChange{instance: i.ID, found: fault == "", reason: fault})
	}
	for id, fault := range r.members {
		if listed[id] {
			continue
		}
		delete(r.members, id)
		if fault == "" {
			changes = append(changes, memberChange{instance: id, reason: "not in the instance list"})
		}
	}
	return changes
}

func (r *reporter) setGauges() {
	d := r.daemon
	state := d.keeper.State()
	d.metrics.Set(hysmetrics.Gauges{
		Ready: d.takesRequests(), Leaving: d.leaving.Load(), StoreAge: d.storeAge(),
		NewestTicket: uint64(state.HighestNumber()), RunningRequests: d.entry.Running(),
		MembersListed: len(d.view.List().Instances), MembersUsable: len(d.view.Usable()),
		Quarantined: d.quarantined(),
	})
	for _, s := range state.Services() {
		load := d.dispatcher.Load(s.Name)
		d.metrics.SetService(s.Name, hysmetrics.ServiceGauges{
			Waiting: load.Waiting, Running: load.Running, Slots: load.Slots, RetryBudget: load.BudgetRemaining,
		})
	}
	d.metrics.SetConnections(hysmetrics.PortCaller, r.callers.Connections())
	d.metrics.SetConnections(hysmetrics.PortOperator, r.operators.Connections())
}

// quarantined returns how many requests are known as quarantined.
func (d *Daemon) quarantined() int {
	count := 0
	for _, r := range d.registry.Records() {
		if r.State() == hysquarantine.StateQuarantined {
			count++
		}
	}
	return count
}

// storeAge returns the time since a read of the store has succeeded.
func (d *Daemon) storeAge() time.Duration {
	return time.Since(time.Unix(0, d.storeRead.Load()))
}

// claim counts the claims that the entry makes.
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

// applied counts and logs a ticket that this daemon was asked to apply.
func (d *Daemon) applied(t hysticket.Ticket, result hysticket.Result, err error) {
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
