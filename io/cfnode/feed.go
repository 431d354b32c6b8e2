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

	// outageAskInterval spaces the questions to others whether the store is away for them too.
	outageAskInterval cf.Millis = 300
	// stalePollWait is how long the coordinator holds a call while it has no current
	// view itself.
	stalePollWait = 300 * time.Millisecond
	// unsyncedPollWait is the same while it does not know itself what is held: those that
	// start beside it wait for that.
	unsyncedPollWait = 50 * time.Millisecond
	// feedRetryDelay is the pause after a failed call.
	feedRetryDelay = 150 * time.Millisecond
)

type (
	// feedCall reports an instance and asks for what it does not know.
	feedCall struct {
		Entry   cfmember.Entry `cbor:"entry"`
		Leaving bool           `cbor:"leaving,omitempty"`
		// AllowHub says that the instance which is asked need not be the coordinator, Without
		// which hubs did not answer.
		AllowHub    bool         `cbor:"hub,omitempty"`
		AvoidedHubs []cf.EntryID `cbor:"without,omitempty"`
		// Origin, News and Members are those of the last answer; Sum is that
		// of the view of targets, MembersSum that of the roster.
		Origin         uint64             `cbor:"origin"`
		TargetUpdates  int64              `cbor:"news"`
		TargetsSum     uint64             `cbor:"sum"`
		MembersVersion int64              `cbor:"members"`
		MembersSum     uint64             `cbor:"members_sum"`
		Config         cfsite.ConfigState `cbor:"config"`
		// Term is that of the coordinator as the caller knows it.
		Term cf.Revision `cbor:"term"`
		// Group are the instances that ask this one.
		Group *cfmember.Group `cbor:"group,omitempty"`
		// WallTime is the instance's time of day, Usage what it has counted.
		WallTime cf.Millis            `cbor:"wall,omitempty"`
		Usage    *cfusage.MeterReport `cbor:"usage,omitempty"`
	}

	// feedAnswer brings an instance up to the view of the coordinator, or of a hub. What
	// the instance has already is left out.
	feedAnswer struct {
		Holder cflease.Holder `cbor:"holder"`
		Rev    cf.Revision    `cbor:"rev"`
		// Hub is who is to be asked instead; nothing else is told then.
		Hub *cfmember.Entry `cbor:"hub,omitempty"`
		// Fresh says that this is how things stand, as of Age ago; Unsure that the
		// coordinator answers and has no current view, which it last did HolderAge ago.
		Fresh     bool      `cbor:"fresh"`
		Age       cf.Millis `cbor:"age,omitempty"`
		Uncertain bool      `cbor:"unsure,omitempty"`
		HolderAge cf.Millis `cbor:"holder_age,omitempty"`
		// Listing says that the store's lists are being read here, or by whom this instance
		// asks, and that there is no current view until then.
		Listing bool `cbor:"listing,omitempty"`
		// Origin identifies whose counts News and Members have.
		Origin  uint64                 `cbor:"origin"`
		Config  *cfsite.ConfigUpdate   `cbor:"config,omitempty"`
		Targets *cfsite.TargetUpdate   `cbor:"news,omitempty"`
		Members *cfmember.RosterUpdate `cbor:"members,omitempty"`
		// GroupSum is that of the caller's group as it is known here.
		GroupSum uint64 `cbor:"group_sum,omitempty"`
		// Quarantine identifies what is known here of requests that crash targets, where
		// Informed says that this is all.
		Quarantine cfquarantine.Checksums `cbor:"quarantine"`
		Synced     bool                   `cbor:"informed,omitempty"`
		// WallTime is the time of day by the clocks of all instances. UsageTaken says that
		// the counts were taken, UsageSettled up to which window nobody needs them.
		WallTime     cf.Millis      `cbor:"wall,omitempty"`
		UsageTaken   bool           `cbor:"usage_taken,omitempty"`
		UsageSettled cf.UsageWindow `cbor:"usage_settled,omitempty"`
	}

	// feed is what an instance has from the coordinator or its hub.
	feed struct {
		asOf atomic.Int64 // Uptime as of which the last fresh answer is
		// uncertainAt is that of the last answer of a holder that knew nothing new, away
		// that of the last of another instance that asks the store in vain, denied of one
		// that has current word; askedAt is when one was asked last. listing is that of the
		// last answer that the store's lists are being read.
		uncertainAt, outageConfirmedAt, outageDeniedAt, outageAskedAt, listingAt atomic.Int64
		// unresponsiveAddr is the address at which the last call for news had no answer.
		unresponsiveAddr atomic.Pointer[string]
		upstream         *cfmember.Upstream
		mu               sync.Mutex
		// origin, news and membersAt say what the instance has.
		origin         uint64
		targetUpdates  int64
		membersVersion int64
		// groupSum is that of the own group as the coordinator knows it.
		groupSum uint64
		// settledWindow is the last window of use that nobody needs, as told to those that ask
		// this instance.
		settledWindow cf.UsageWindow
	}
)

// usageSettled returns the last window of use that nobody needs.
func (f *feed) usageSettled() cf.UsageWindow {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settledWindow
}

// current says whether the view from the coordinator is current.
func (f *feed) current(now cf.Millis) bool { return cfmember.IsCurrent(cf.Millis(f.asOf.Load()), now) }

// ownView says whether this instance's own watches are current, and by how much the answer is
// late that would show the next configuration.
func (n *Node) ownView(now cf.Millis) (current bool, lag cf.Millis) {
	w := n.watchers.Load()
	if w == nil {
		return false, 0
	}
	current = w.config.Age(now) < cfwatch.MaxViewAge && w.targets.Current(now, cfwatch.MaxViewAge, cfwatch.MaxRelistAge)
	return current, w.config.Lag(now)
}

// listing says whether this instance, or whom it asks, is reading the store's lists and has no
// current view until then.
func (n *Node) listing(now cf.Millis) bool {
	if w := n.watchers.Load(); w != nil {
		config, configFailed := w.config.InitialList()
		targets, targetsFailed := w.targets.InitialList()
		if (config || targets) && !configFailed && !targetsFailed {
			return true
		}
	}
	return cfmember.AnswerIsRecent(cf.Millis(n.feed.listingAt.Load()), now)
}

// ownViewCurrent says whether this instance's own watches are current.
func (n *Node) ownViewCurrent(now cf.Millis) bool {
	fresh, _ := n.ownView(now)
	return fresh
}

// status returns what this instance has heard from the coordinator.
func (n *Node) status(now cf.Millis) cfmember.WatchState {
	f, self := &n.feed, n.self()
	holder, _ := n.candidate.holder()
	unread, seenAt := n.candidate.firstRead()
	return cfmember.WatchState{
		StartedAt: n.startedAt, LeaseSeenAt: seenAt, UpdatedAt: cf.Millis(f.asOf.Load()), UncertainAt: cf.Millis(f.uncertainAt.Load()), OutageConfirmedAt: cf.Millis(f.outageConfirmedAt.Load()), OutageDeniedAt: cf.Millis(f.outageDeniedAt.Load()), ListingAt: cf.Millis(f.listingAt.Load()),
		HolderNamed: holder.Entry != "", LeaseUnread: unread, HubsExist: len(n.members.Hubs(self, now)) > 0, BehindHub: f.upstream.UsesHub(), FallbackWatcher: n.members.IsFallbackWatcher(self),
	}
}

// watchDelay is how long this instance leaves the store to the coordinator and the scouts after
// the last current word.
func (n *Node) watchDelay(now cf.Millis) cf.Millis { return n.status(now).WatchDelay(now) }

// watchDue says whether this instance must watch the store itself.
func (n *Node) watchDue(now cf.Millis) bool { return n.coord.Load() != nil || n.status(now).IsDue(now) }

// isFallbackWatcher says whether this instance looks after the store as soon as the coordinator can't
// tell how things stand.
func (n *Node) isFallbackWatcher() bool { return n.members.IsFallbackWatcher(n.self()) }

// runFeed asks the coordinator, or a hub, for news until ctx ends.
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
				// It may know its successor; if not, the store shows it.
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
	// With the configuration this instance begins to forward.
	if a.Synced && a.Fresh && !n.guard.Informed() {
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

// newFeedCall returns the call that tells and asks how things stand.
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

// applyFeed takes an answer that was asked for, and came, at these times.
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
		return err // the next call brings the rest
	}
	// The answer shows the view as of its sending. One that took longer than
	// a call may was held up on the way, or this machine was suspended.
	if answeredAt-askedAt > cfmember.PollWait+cfmember.PollGrace {
		answeredAt = askedAt
	}
	n.feed.asOf.Store(int64(answeredAt - a.Age))
	return nil
}

// applyConfig takes what is told of the configuration; false if there is more to come.
func (n *Node) applyConfig(update *cfsite.ConfigUpdate) (newest bool, err error) {
	if update == nil {
		return true, nil
	}
	age := n.configBelief().Age
	changed, err := n.site.ApplyConfigUpdate(*update)
	if changed {
		cfwatch.LogConfigApplied(n.log, n.site, "coordinator", age)
	}
	return update.Latest && n.site.ConfigRecord().Rev >= update.Rev, err
}

// applyMembers takes what is told of the instances. A roster that differs afterwards is
// asked for as a whole.
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

// applyTargets takes what is told of the targets. A view that differs afterwards is asked for
// as a whole.
func (n *Node) applyTargets(update *cfsite.TargetUpdate) {
	if update == nil {
		return
	}
	same := n.site.ApplyTargetUpdate(*update, cf.Uptime())
	n.log.Info("targets_relayed", zap.Int("targets", len(update.Targets)), zap.Int("gone", len(update.Removed)), zap.Bool("whole", update.Full),
		zap.Bool("same", same), zap.Int64("revision", int64(update.Rev)))
	n.feed.mu.Lock()
	defer n.feed.mu.Unlock()
	n.feed.targetUpdates = update.Count
	if !same {
		n.feed.origin = 0
	}
}
