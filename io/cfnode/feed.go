package cfnode

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/core/cfquarantine"
	"currantford/core/cfsite"
	"currantford/core/cfusage"
	"currantford/io/cflog"
	"currantford/io/cfwatch"
)

const (
	opFeed     = "feed"
	opResults  = "results"
	opItem     = "item"
	opPrepare  = "prepare"
	opAccepted = "accepted"
	opChanged  = "changed"
	opStore    = "store"
	opTexts    = "texts"
	opMirror   = "mirror"
	opOffered  = "offered"
	opAlive    = "alive"

	// outageAskInterval is the minimum time between two questions to other instances whether the
	// store is unavailable to them too.
	outageAskInterval cf.Millis = 300
	// stalePollWait is how long the coordinator holds a feed call while it has no current view
	// itself.
	stalePollWait = 300 * time.Millisecond
	// unsyncedPollWait is the same while it does not know the held requests itself; instances that
	// start at the same time wait for them.
	unsyncedPollWait = 50 * time.Millisecond
	// feedRetryDelay is the delay after a failed call.
	feedRetryDelay = 150 * time.Millisecond
)

type (
	// feedCall reports an instance's state and asks for the updates that it lacks.
	feedCall struct {
		Entry   cfmember.Entry `cbor:"entry"`
		Leaving bool           `cbor:"leaving,omitempty"`
		// AllowHub permits an instance that is not the coordinator to answer. AvoidedHubs lists the
		// hubs that did not answer.
		AllowHub    bool         `cbor:"hub,omitempty"`
		AvoidedHubs []cf.EntryID `cbor:"without,omitempty"`
		// Origin, TargetUpdates and MembersVersion repeat the values of the last answer. TargetsSum
		// is the checksum of the caller's view of the targets, MembersSum that of its roster.
		Origin         uint64             `cbor:"origin"`
		TargetUpdates  int64              `cbor:"news"`
		TargetsSum     uint64             `cbor:"sum"`
		MembersVersion int64              `cbor:"members"`
		MembersSum     uint64             `cbor:"members_sum"`
		Config         cfsite.ConfigState `cbor:"config"`
		// Term is the coordinator's term as the caller knows it.
		Term cf.Revision `cbor:"term"`
		// Group lists the instances that poll this one.
		Group *cfmember.Group `cbor:"group,omitempty"`
		// WallTime is the instance's wall clock, Usage its request counts.
		WallTime cf.Millis            `cbor:"wall,omitempty"`
		Usage    *cfusage.MeterReport `cbor:"usage,omitempty"`
	}

	// feedAnswer brings an instance up to the view of the coordinator or of a hub. It omits what
	// the instance has already.
	feedAnswer struct {
		Holder cflease.Holder `cbor:"holder"`
		Rev    cf.Revision    `cbor:"rev"`
		// Hub is the hub to poll instead; the answer then contains no updates.
		Hub *cfmember.Entry `cbor:"hub,omitempty"`
		// Fresh reports that this is the current state as of Age ago. Uncertain reports that the
		// coordinator answers but has no current view; it last answered HolderAge ago.
		Fresh     bool      `cbor:"fresh"`
		Age       cf.Millis `cbor:"age,omitempty"`
		Uncertain bool      `cbor:"unsure,omitempty"`
		HolderAge cf.Millis `cbor:"holder_age,omitempty"`
		// Listing reports that the called instance, or the one that it polls, is still listing the
		// objects in the store and has no current view until then.
		Listing bool `cbor:"listing,omitempty"`
		// Origin identifies the process to which the counts in Targets and Members belong.
		Origin  uint64                 `cbor:"origin"`
		Config  *cfsite.ConfigUpdate   `cbor:"config,omitempty"`
		Targets *cfsite.TargetUpdate   `cbor:"news,omitempty"`
		Members *cfmember.RosterUpdate `cbor:"members,omitempty"`
		// GroupSum is the checksum of the caller's group as known to the called instance.
		GroupSum uint64 `cbor:"group_sum,omitempty"`
		// Quarantine holds the checksums of what the called instance knows of requests that crash
		// targets. Synced reports that it knows all held requests.
		Quarantine cfquarantine.Checksums `cbor:"quarantine"`
		Synced     bool                   `cbor:"informed,omitempty"`
		// WallTime is the median of the wall clocks of all instances. UsageTaken reports that the
		// counts were accepted; UsageSettled is the last window whose counts are no longer needed.
		WallTime     cf.Millis      `cbor:"wall,omitempty"`
		UsageTaken   bool           `cbor:"usage_taken,omitempty"`
		UsageSettled cf.UsageWindow `cbor:"usage_settled,omitempty"`
	}

	// feed is the state that an instance has received from the coordinator or its hub.
	feed struct {
		asOf atomic.Int64 // uptime as of which the last fresh answer holds
		// uncertainAt is when a holder last answered that it has no current view. outageConfirmedAt
		// is when another instance last answered that the store does not answer it, outageDeniedAt
		// when another instance last answered that it has a current view, and outageAskedAt when
		// one was last asked. listingAt is when the last answer reported that objects in the store
		// are being listed.
		uncertainAt, outageConfirmedAt, outageDeniedAt, outageAskedAt, listingAt atomic.Int64
		// unresponsiveAddr is the address at which the last feed call had no answer.
		unresponsiveAddr atomic.Pointer[string]
		upstream         *cfmember.Upstream
		mu               sync.Mutex
		// origin, targetUpdates and membersVersion identify the updates that the instance has.
		origin         uint64
		targetUpdates  int64
		membersVersion int64
		// groupSum is the checksum of this instance's group as known to the coordinator.
		groupSum uint64
		// settledWindow is the last usage window whose counts are no longer needed; it is passed on
		// to the instances that poll this one.
		settledWindow cf.UsageWindow
	}
)

// usageSettled returns the last usage window whose counts are no longer needed.
func (f *feed) usageSettled() cf.UsageWindow {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settledWindow
}

// current reports whether the view from the coordinator is current.
func (f *feed) current(now cf.Millis) bool { return cfmember.IsCurrent(cf.Millis(f.asOf.Load()), now) }

// ownView reports whether this instance's own watches are current, and by how much the answer that
// would show the next configuration is late.
func (n *Node) ownView(now cf.Millis) (current bool, lag cf.Millis) {
	w := n.watchers.Load()
	if w == nil {
		return false, 0
	}
	current = w.config.Age(now) < cfwatch.MaxViewAge && w.targets.Current(now, cfwatch.MaxViewAge, cfwatch.MaxRelistAge)
	return current, w.config.Lag(now)
}

// isListing reports whether this instance, or the one that it polls, is listing the objects in the
// store and has no current view until then.
func (n *Node) isListing(now cf.Millis) bool {
	if w := n.watchers.Load(); w != nil {
		config, configFailed := w.config.InitialList()
		targets, targetsFailed := w.targets.InitialList()
		if (config || targets) && !configFailed && !targetsFailed {
			return true
		}
	}
	return cfmember.AnswerIsRecent(cf.Millis(n.feed.listingAt.Load()), now)
}

// ownViewCurrent reports whether this instance's own watches are current.
func (n *Node) ownViewCurrent(now cf.Millis) bool {
	fresh, _ := n.ownView(now)
	return fresh
}

// status returns what decides whether this instance watches the store itself: what it has received
// from the coordinator, the lease and its place among the hubs.
func (n *Node) status(now cf.Millis) cfmember.WatchState {
	f, self := &n.feed, n.self()
	holder, _ := n.candidate.holder()
	unread, seenAt := n.candidate.firstRead()
	return cfmember.WatchState{
		StartedAt: n.startedAt, LeaseSeenAt: seenAt, UpdatedAt: cf.Millis(f.asOf.Load()), UncertainAt: cf.Millis(f.uncertainAt.Load()), OutageConfirmedAt: cf.Millis(f.outageConfirmedAt.Load()), OutageDeniedAt: cf.Millis(f.outageDeniedAt.Load()), ListingAt: cf.Millis(f.listingAt.Load()),
		HolderNamed: holder.Entry != "", LeaseUnread: unread, HubsExist: len(n.members.Hubs(self, now)) > 0, BehindHub: f.upstream.UsesHub(), FallbackWatcher: n.members.IsFallbackWatcher(self),
	}
}

// watchDelay returns how long after its last current update this instance leaves the store to the
// coordinator and the fallback watchers.
func (n *Node) watchDelay(now cf.Millis) cf.Millis { return n.status(now).WatchDelay(now) }

// watchDue reports whether this instance must watch the store itself.
func (n *Node) watchDue(now cf.Millis) bool { return n.coord.Load() != nil || n.status(now).IsDue(now) }

// isFallbackWatcher reports whether this instance watches the store as soon as the coordinator has
// no current view.
func (n *Node) isFallbackWatcher() bool { return n.members.IsFallbackWatcher(n.self()) }

// runFeed polls the coordinator or a hub for updates until ctx ends.
func (n *Node) runFeed(ctx context.Context) {
	connected := ""
	for ctx.Err() == nil {
		holder, _ := n.candidate.holder()
		if holder.Entry == "" || holder.Entry == n.settings.Entry {
			connected = ""
			cf.Sleep(ctx, feedRetryDelay)
			continue
		}
		if hub, ok := n.hubToPoll(holder); ok {
			switch err := n.pollOnce(ctx, hub.PeerAddr, true); {
			case err == nil || ctx.Err() != nil:
			case errors.Is(err, errHubStale):
				n.bypassHub(ctx, holder, hub)
			default:
				n.log.Info("hub_lost", zap.String("entry", string(hub.ID)), cflog.Error(err))
				n.feed.upstream.AvoidHub(hub.ID, cf.Uptime())
			}
			continue
		}
		err := n.pollOnce(ctx, holder.Addr, false)
		switch {
		case err == nil && connected != holder.Addr:
			n.log.Info("coordinator_found", zap.String("entry", string(holder.Entry)), zap.Int64("term", int64(holder.Term)))
			connected = holder.Addr
		case err != nil:
			switch {
			case errors.Is(err, cf.ErrNoProcess):
				n.candidate.recordHolderExit(holder)
			case errors.Is(err, cf.ErrNotLeader):
				n.candidate.recordDenial()
				// The called instance may know its successor; otherwise the store shows it.
				if _, err := n.askHolder(ctx, holder.Addr); err != nil {
					n.log.Info("holder_not_asked", zap.String("entry", string(holder.Entry)), cflog.Error(err))
				}
			}
			if connected != "" && ctx.Err() == nil {
				n.log.Warn("coordinator_lost", zap.String("entry", string(holder.Entry)), cflog.Error(err))
			}
			connected = ""
			n.chooseHub(holder)
			cf.Sleep(ctx, feedRetryDelay)
		}
	}
}

func (n *Node) pollOnce(ctx context.Context, addr string, fromHub bool) error {
	ctx, cancel := context.WithTimeout(ctx, (cfmember.PollWait + cfmember.PollGrace).Duration())
	defer cancel()
	askedAt := cf.Uptime()
	call := n.newFeedCall(fromHub, askedAt)
	var a feedAnswer
	err := n.peers.Call(ctx, addr, opFeed, call, &a)
	answeredAt := cf.Uptime()
	n.feedMetrics.countCall(a, err, ctx.Err() != nil)
	if err != nil && !errors.Is(err, cf.ErrNotLeader) {
		n.feed.unresponsiveAddr.Store(&addr)
		return err
	}
	n.feed.unresponsiveAddr.Store(nil)
	if err != nil {
		return err
	}
	if a.Hub != nil {
		n.candidate.recordAnswer()
		n.candidate.observe(a.Rev, a.Holder)
		n.feed.uncertainAt.Store(int64(cf.Uptime()))
		n.feed.upstream.AssignHub(*a.Hub, cf.Uptime())
		return nil
	}
	n.usage.applyAnswer(a, call)
	// The instance begins to forward with its first configuration, and must know the held requests
	// by then.
	if a.Synced && a.Fresh && !n.guard.Synced() {
		n.quarantine.syncFromPeer(addr, a.Quarantine)
	}
	if err := n.applyFeed(a, askedAt, answeredAt); err != nil {
		n.log.Error("change_not_taken", zap.String("kind", "config"), cflog.Error(err))
		return err
	}
	if a.Synced {
		n.quarantine.compare(addr, a.Quarantine)
	}
	if fromHub {
		n.usage.sendPending()
		if !a.Fresh && !a.Uncertain && cf.Uptime()-cf.Millis(n.feed.asOf.Load()) > cfmember.HubStaleTimeout {
			return errHubStale
		}
	}
	return nil
}

// newFeedCall returns a call that reports this instance's state and asks for updates.
func (n *Node) newFeedCall(toHub bool, now cf.Millis) feedCall {
	call := feedCall{Entry: n.self(), Leaving: n.leaving.Load(), AllowHub: toHub, TargetsSum: n.site.Checksum(), Config: n.site.ConfigState()}
	n.feed.mu.Lock()
	call.Origin, call.TargetUpdates, call.MembersVersion = n.feed.origin, n.feed.targetUpdates, n.feed.membersVersion
	known := n.feed.groupSum
	n.feed.mu.Unlock()
	call.AvoidedHubs, call.MembersSum = n.feed.upstream.AvoidedHubs(now), n.members.Sum()
	if !toHub {
		call.Group = n.members.Group(known, now)
	}
	holder, _ := n.candidate.holder()
	call.Term = holder.Term
	if !toHub {
		call.Usage = n.usage.report(call.Term)
	}
	if n.usage != nil {
		call.WallTime = cf.Now()
	}
	return call
}

// applyFeed applies an answer, given the times of the call and of the answer.
func (n *Node) applyFeed(a feedAnswer, askedAt, answeredAt cf.Millis) error {
	n.candidate.recordAnswerAt(answeredAt - a.HolderAge)
	n.candidate.observe(a.Rev, a.Holder)
	n.feed.mu.Lock()
	n.feed.groupSum, n.feed.settledWindow = a.GroupSum, a.UsageSettled
	if n.feed.origin != a.Origin {
		n.feed.origin, n.feed.targetUpdates, n.feed.membersVersion = a.Origin, -1, -1
	}
	n.feed.mu.Unlock()
	n.applyMembers(a.Members)
	if !a.Fresh {
		if a.Listing {
			n.feed.listingAt.Store(int64(cf.Uptime()))
		}
		if a.Uncertain {
			n.feed.uncertainAt.Store(int64(cf.Uptime()))
			if !n.isFallbackWatcher() {
				n.confirmOutage()
			}
		}
		return nil
	}
	newest, err := n.applyConfig(a.Config)
	n.applyTargets(a.Targets)
	if err != nil || !newest {
		return err // The next call brings the rest.
	}
	// The answer shows the view at the time it was sent. One that took longer than a call may take
	// was delayed on the way, or this machine was suspended.
	if answeredAt-askedAt > cfmember.PollWait+cfmember.PollGrace {
		answeredAt = askedAt
	}
	n.feed.asOf.Store(int64(answeredAt - a.Age))
	// A follower makes few calls of its own. A failed one is no outage while the coordinator's are
	// answered.
	cfwatch.ReportAnswer(n.site, 0, answeredAt-a.Age, n.log)
	return nil
}

// applyConfig applies an update of the configuration. It returns false if further updates are to
// follow.
func (n *Node) applyConfig(update *cfsite.ConfigUpdate) (newest bool, err error) {
	if update == nil {
		return true, nil
	}
	age := n.configStatus().Age
	changed, err := n.site.ApplyConfigUpdate(*update)
	if changed {
		cfwatch.LogConfigApplied(n.log, n.site, "coordinator", age)
	}
	return update.Latest && n.site.ConfigRecord().Rev >= update.Rev, err
}

// applyMembers applies an update of the roster. If the checksums differ afterwards, the next call
// asks for the whole roster.
func (n *Node) applyMembers(update *cfmember.RosterUpdate) {
	if update == nil {
		return
	}
	same := n.members.Apply(*update)
	n.feed.mu.Lock()
	defer n.feed.mu.Unlock()
	n.feed.membersVersion = update.Version
	if !same {
		n.feed.origin = 0
	}
}

// applyTargets applies an update of the targets. If the checksums differ afterwards, the next call
// asks for all targets.
func (n *Node) applyTargets(update *cfsite.TargetUpdate) {
	if update == nil {
		return
	}
	same := n.site.ApplyTargetUpdate(*update)
	n.log.Info("targets_relayed", zap.Int("targets", len(update.Targets)), zap.Int("gone", len(update.Removed)), zap.Bool("whole", update.Full),
		zap.Bool("same", same), zap.Int64("revision", int64(update.Rev)))
	n.feed.mu.Lock()
	defer n.feed.mu.Unlock()
	n.feed.targetUpdates = update.Count
	if !same {
		n.feed.origin = 0
	}
}
