package cfnode

import (
	"context"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfmember"
	"currantford/core/cfsite"
	"currantford/io/cflog"
)

// serveFeed answers another instance's feed call.
func (n *Node) serveFeed(ctx context.Context, call feedCall) (any, error) {
	// A holder that cannot renew the lease, because the store is unavailable, remains the holder
	// and answers that it has no current view. If it did not answer, all other instances would
	// query the store.
	holds := n.candidate.Held()
	if !holds && !call.AllowHub {
		return nil, cf.ErrNotLeader
	}
	groupSum := n.recordReport(call, holds)
	if holds {
		if hub, assigned := n.assignedHub(call); assigned {
			holder, rev := n.candidate.holder()
			return feedAnswer{Holder: holder, Rev: rev, Hub: &hub}, nil
		}
	}
	taken, settled := n.usage.receive(call.Usage)
	if err := n.awaitUpdate(ctx, call); err != nil {
		return nil, err
	}
	if holds && !n.candidate.Held() {
		return nil, cf.ErrNotLeader
	}
	if !holds {
		settled = n.feed.usageSettled()
	}
	a := n.newFeedAnswer(call)
	a.GroupSum, a.WallTime, a.UsageTaken, a.UsageSettled = groupSum, n.timeOfDay(holds), taken, settled
	return a, nil
}

// awaitUpdate holds a call until there is an update for it, for a limited time.
func (n *Node) awaitUpdate(ctx context.Context, call feedCall) error {
	targetUpdates, changed := n.site.TargetUpdates()
	wait := cfmember.PollWait.Duration()
	switch fresh, _ := n.servedView(cf.Uptime()); {
	case !fresh:
		wait = stalePollWait // There is no current view to send yet.
	case !n.guard.Synced():
		wait = unsyncedPollWait
	case call.Origin != n.origin || call.TargetUpdates != targetUpdates || call.Config.Rev < n.site.ConfigRecord().Rev:
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return cf.ErrUnavailable
	}
	return nil
}

// servedView reports whether this instance may serve its view to other instances, and how old that
// view is.
func (n *Node) servedView(now cf.Millis) (fresh bool, age cf.Millis) {
	holds := n.candidate.Held()
	switch fresh, lag := n.ownView(now); {
	case fresh && (!holds || n.candidate.Valid()):
		return true, lag
	case holds:
		return false, 0
	default:
		return n.feed.current(now), now - cf.Millis(n.feed.asOf.Load())
	}
}

// newFeedAnswer returns the updates that the calling instance lacks.
func (n *Node) newFeedAnswer(call feedCall) feedAnswer {
	now := cf.Uptime()
	holder, rev := n.candidate.holder()
	a := feedAnswer{Holder: holder, Rev: rev, Origin: n.origin, Quarantine: n.guard.Table.Checksums(), Synced: n.guard.Synced()}
	a.Fresh, a.Age = n.servedView(now)
	if n.candidate.Held() {
		a.Uncertain = !a.Fresh
	} else {
		a.HolderAge = now - cf.Millis(n.candidate.holderAnsweredAt.Load())
		a.Uncertain = !a.Fresh && cfmember.AnswerIsRecent(cf.Millis(n.feed.uncertainAt.Load()), now)
	}
	a.Listing = !a.Fresh && n.isListing(now)
	sameOrigin := call.Origin == n.origin
	a.Members = n.members.Update(sameOrigin, call.MembersVersion, call.MembersSum, n.self(), now)
	if !a.Fresh {
		return a
	}
	config, err := n.configUpdate(call.Config)
	if err != nil {
		n.log.Error("config_not_told", zap.Int64("held_revision", int64(call.Config.Rev)), cflog.Error(err))
		a.Fresh = false
		return a
	}
	a.Config = config
	if count, _ := n.site.TargetUpdates(); !sameOrigin || call.TargetUpdates != count {
		update := n.targetUpdate(call, sameOrigin)
		a.Targets = &update
	}
	return a
}

// configUpdate returns the update that an instance with the known configuration lacks, or nil if
// that configuration is the newest.
func (n *Node) configUpdate(known cfsite.ConfigState) (*cfsite.ConfigUpdate, error) {
	update, err := n.site.ConfigUpdate(known)
	if update == nil {
		return nil, err
	}
	part := "change"
	if update.Base == 0 {
		part = "whole"
	}
	n.feedMetrics.configBytes.WithLabelValues(part).Add(float64(len(update.Data)))
	return update, nil
}

// targetUpdate returns what the calling instance lacks of the targets: the changes since the last
// answer that it received if that came from this process, and otherwise a full update.
func (n *Node) targetUpdate(call feedCall, sameOrigin bool) cfsite.TargetUpdate {
	if sameOrigin {
		return n.site.TargetUpdateSince(call.TargetUpdates)
	}
	return n.site.FullTargetUpdate(call.TargetsSum)
}

// recordReport records an instance's report, as the coordinator or as the instance's hub. It
// returns the checksum of the instance's group as known here.
func (n *Node) recordReport(call feedCall, holds bool) (groupSum uint64) {
	now := cf.Uptime()
	call.Entry.Ready = call.Entry.Ready && !call.Leaving
	if !holds {
		n.members.RecordClient(call.Entry, now)
		return 0
	}
	if call.WallTime > 0 {
		n.clockMu.Lock()
		n.clocks.Record(call.Entry.ID, call.WallTime, now)
		n.clockMu.Unlock()
	}
	return n.members.RecordReport(call.Entry, call.Group, now)
}
