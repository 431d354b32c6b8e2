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

	// outageAsk spaces the questions to others whether the store is away for them too.
	outageAsk cf.Millis = 300
	// staleWait is how long the coordinator holds a call while it has no current
	// view itself.
	staleWait = 300 * time.Millisecond
	// uninformedWait is the same while it does not know itself what is held: those that
	// start beside it wait for that.
	uninformedWait = 50 * time.Millisecond
	// feedRetry is the pause after a failed call.
	feedRetry = 150 * time.Millisecond
)

type (
	// feedCall reports an instance and asks for what it does not know.
	feedCall struct {
		Entry   cfmember.Entry `cbor:"entry"`
		Leaving bool           `cbor:"leaving,omitempty"`
		// Hub says that the instance which is asked need not be the coordinator, Without
		// which hubs did not answer.
		Hub     bool         `cbor:"hub,omitempty"`
		Without []cf.EntryID `cbor:"without,omitempty"`
		// Origin, News and Members are those of the last answer; Sum is that
		// of the view of targets, MembersSum that of the roster.
		Origin     uint64             `cbor:"origin"`
		News       int64              `cbor:"news"`
		Sum        uint64             `cbor:"sum"`
		Members    int64              `cbor:"members"`
		MembersSum uint64             `cbor:"members_sum"`
		Config     cfsite.ConfigState `cbor:"config"`
		// Term is that of the coordinator as the caller knows it.
		Term cf.Revision `cbor:"term"`
		// Group are the instances that ask this one.
		Group *cfmember.Group `cbor:"group,omitempty"`
		// Wall is the instance's time of day, Usage what it has counted.
		Wall  cf.Millis            `cbor:"wall,omitempty"`
		Usage *cfusage.MeterReport `cbor:"usage,omitempty"`
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
		Unsure    bool      `cbor:"unsure,omitempty"`
		HolderAge cf.Millis `cbor:"holder_age,omitempty"`
		// Listing says that the store's lists are being read here, or by whom this instance
		// asks, and that there is no current view until then.
		Listing bool `cbor:"listing,omitempty"`
		// Origin identifies whose counts News and Members have.
		Origin  uint64                 `cbor:"origin"`
		Config  *cfsite.ConfigUpdate   `cbor:"config,omitempty"`
		News    *cfsite.TargetUpdate   `cbor:"news,omitempty"`
		Members *cfmember.RosterUpdate `cbor:"members,omitempty"`
		// GroupSum is that of the caller's group as it is known here.
		GroupSum uint64 `cbor:"group_sum,omitempty"`
		// Quarantine identifies what is known here of requests that crash targets, where
		// Informed says that this is all.
		Quarantine cfquarantine.Checksums `cbor:"quarantine"`
		Informed   bool                   `cbor:"informed,omitempty"`
		// Wall is the time of day by the clocks of all instances. UsageTaken says that
		// the counts were taken, UsageSettled up to which window nobody needs them.
		Wall         cf.Millis      `cbor:"wall,omitempty"`
		UsageTaken   bool           `cbor:"usage_taken,omitempty"`
		UsageSettled cf.UsageWindow `cbor:"usage_settled,omitempty"`
	}

	// feed is what an instance has from the coordinator or its hub.
	feed struct {
		heard atomic.Int64 // Uptime as of which the last fresh answer is
		// unsure is that of the last answer of a holder that knew nothing new, away
		// that of the last of another instance that asks the store in vain, denied of one
		// that has current word; askedAt is when one was asked last. listing is that of the
		// last answer that the store's lists are being read.
		unsure, away, denied, askedAt, listing atomic.Int64
		// silent is the address at which the last call for news had no answer.
		silent   atomic.Pointer[string]
		upstream *cfmember.Upstream
		mu       sync.Mutex
		// origin, news and membersAt say what the instance has.
		origin    uint64
		news      int64
		membersAt int64
		// groupSum is that of the own group as the coordinator knows it.
		groupSum uint64
		// settled is the last window of use that nobody needs, as told to those that ask
		// this instance.
		settled cf.UsageWindow
	}
)

// usageSettled returns the last window of use that nobody needs.
func (f *feed) usageSettled() cf.UsageWindow {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settled
}

// fresh says whether the view from the coordinator is current.
func (f *feed) fresh(now cf.Millis) bool { return cfmember.IsCurrent(cf.Millis(f.heard.Load()), now) }

// view says whether this instance's own watches are current, and by how much the answer is
// late that would show the next configuration.
func (n *Node) view(now cf.Millis) (fresh bool, behind cf.Millis) {
	w := n.watching.Load()
	if w == nil {
		return false, 0
	}
	fresh = w.config.Age(now) < cfwatch.MaxViewAge && w.targets.Current(now, cfwatch.MaxViewAge, cfwatch.MaxRelistAge)
	return fresh, w.config.Lag(now)
}

// listing says whether this instance, or whom it asks, is reading the store's lists and has no
// current view until then.
func (n *Node) listing(now cf.Millis) bool {
	if w := n.watching.Load(); w != nil {
		config, configVain := w.config.InitialList()
		targets, targetsVain := w.targets.InitialList()
		if (config || targets) && !configVain && !targetsVain {
			return true
		}
	}
	return cfmember.AnswerIsRecent(cf.Millis(n.feed.listing.Load()), now)
}

// viewFresh says whether this instance's own watches are current.
func (n *Node) viewFresh(now cf.Millis) bool {
	fresh, _ := n.view(now)
	return fresh
}

// lastWord returns what this instance has heard from the coordinator.
func (n *Node) lastWord(now cf.Millis) cfmember.WatchState {
	f, self := &n.feed, n.self()
	holder, _ := n.candidate.holder()
	unread, seen := n.candidate.awaits()
	return cfmember.WatchState{
		StartedAt: n.started, LeaseSeenAt: seen, UpdatedAt: cf.Millis(f.heard.Load()), UncertainAt: cf.Millis(f.unsure.Load()), OutageConfirmedAt: cf.Millis(f.away.Load()), OutageDeniedAt: cf.Millis(f.denied.Load()), ListingAt: cf.Millis(f.listing.Load()),
		HolderNamed: holder.Entry != "", LeaseUnread: unread, HubsExist: len(n.members.Hubs(self, now)) > 0, BehindHub: f.upstream.UsesHub(), FallbackWatcher: n.members.IsFallbackWatcher(self),
	}
}

// leaves is how long this instance leaves the store to the coordinator and the scouts after
// the last current word.
func (n *Node) leaves(now cf.Millis) cf.Millis { return n.lastWord(now).WatchDelay(now) }

// alone says whether this instance must watch the store itself.
func (n *Node) alone(now cf.Millis) bool { return n.coord.Load() != nil || n.lastWord(now).IsDue(now) }

// scout says whether this instance looks after the store as soon as the coordinator can't
// tell how things stand.
func (n *Node) scout() bool { return n.members.IsFallbackWatcher(n.self()) }

// runFeed asks the coordinator, or a hub, for news until ctx ends.
func (n *Node) runFeed(ctx context.Context) {
	connected := ""
	for ctx.Err() == nil {
		holder, _ := n.candidate.holder()
		if holder.Entry == "" || holder.Entry == n.settings.Entry {
			connected = ""
			cf.Sleep(ctx, feedRetry)
			continue
		}
		if hub, ok := n.hubToAsk(holder); ok {
			switch err := n.feedOnce(ctx, hub.PeerAddr, true); {
			case err == nil || ctx.Err() != nil:
			case errors.Is(err, errNoWord):
				n.askPast(ctx, holder, hub)
			default:
				n.log.Info("hub_lost", zap.String("entry", string(hub.ID)), cflog.Error(err))
				n.feed.upstream.AvoidHub(hub.ID, cf.Uptime())
			}
			continue
		}
		err := n.feedOnce(ctx, holder.Addr, false)
		switch {
		case err == nil && connected != holder.Addr:
			n.log.Info("coordinator_found", zap.String("entry", string(holder.Entry)), zap.Int64("term", int64(holder.Term)))
			connected = holder.Addr
		case err != nil:
			switch {
			case errors.Is(err, cf.ErrNoProcess):
				n.candidate.holderDead(holder)
			case errors.Is(err, cf.ErrNotLeader):
				n.candidate.doubt()
				// It may know its successor; if not, the store shows it.
				if _, err := n.askHolder(ctx, holder.Addr); err != nil {
					n.log.Info("holder_not_asked", zap.String("entry", string(holder.Entry)), cflog.Error(err))
				}
			}
			if connected != "" && ctx.Err() == nil {
				n.log.Warn("coordinator_lost", zap.String("entry", string(holder.Entry)), cflog.Error(err))
			}
			connected = ""
			n.findHub(holder)
			cf.Sleep(ctx, feedRetry)
		}
	}
}

func (n *Node) feedOnce(ctx context.Context, addr string, hub bool) error {
	ctx, cancel := context.WithTimeout(ctx, (cfmember.PollWait + cfmember.PollGrace).Duration())
	defer cancel()
	asked := cf.Uptime()
	call := n.feedCall(hub, asked)
	var a feedAnswer
	err := n.peers.Call(ctx, addr, opFeed, call, &a)
	answered := cf.Uptime()
	n.feedMetrics.called(a, err, ctx.Err() != nil)
	if err != nil && !errors.Is(err, cf.ErrNotLeader) {
		n.feed.silent.Store(&addr)
		return err
	}
	n.feed.silent.Store(nil)
	if err != nil {
		return err
	}
	if a.Hub != nil {
		n.candidate.heard()
		n.candidate.observe(a.Rev, a.Holder)
		n.feed.unsure.Store(int64(cf.Uptime()))
		n.feed.upstream.AssignHub(*a.Hub, cf.Uptime())
		return nil
	}
	n.usage.heard(a, call)
	// With the configuration this instance begins to forward.
	if a.Informed && a.Fresh && !n.guard.Synced() {
		n.quarantine.informBy(addr, a.Quarantine)
	}
	if err := n.takeFeed(a, asked, answered); err != nil {
		n.log.Error("change_not_taken", zap.String("kind", "config"), cflog.Error(err))
		return err
	}
	if a.Informed {
		n.quarantine.compare(addr, a.Quarantine)
	}
	if hub {
		n.usage.tellCounted()
		if !a.Fresh && !a.Unsure && cf.Uptime()-cf.Millis(n.feed.heard.Load()) > cfmember.HubStaleTimeout {
			return errNoWord
		}
	}
	return nil
}

// feedCall returns the call that tells and asks how things stand.
func (n *Node) feedCall(hub bool, now cf.Millis) feedCall {
	call := feedCall{Entry: n.self(), Leaving: n.leaving.Load(), Hub: hub, Sum: n.site.Checksum(), Config: n.site.ConfigState()}
	n.feed.mu.Lock()
	call.Origin, call.News, call.Members = n.feed.origin, n.feed.news, n.feed.membersAt
	known := n.feed.groupSum
	n.feed.mu.Unlock()
	call.Without, call.MembersSum = n.feed.upstream.AvoidedHubs(now), n.members.Sum()
	if !hub {
		call.Group = n.members.Group(known, now)
	}
	holder, _ := n.candidate.holder()
	call.Term = holder.Term
	if !hub {
		call.Usage = n.usage.report(call.Term)
	}
	if n.usage != nil {
		call.Wall = cf.Now()
	}
	return call
}

// takeFeed takes an answer that was asked for, and came, at these times.
func (n *Node) takeFeed(a feedAnswer, asked, heard cf.Millis) error {
	n.candidate.heardAt(heard - a.HolderAge)
	n.candidate.observe(a.Rev, a.Holder)
	n.feed.mu.Lock()
	n.feed.groupSum, n.feed.settled = a.GroupSum, a.UsageSettled
	if n.feed.origin != a.Origin {
		n.feed.origin, n.feed.news, n.feed.membersAt = a.Origin, -1, -1
	}
	n.feed.mu.Unlock()
	n.takeMembers(a.Members)
	if !a.Fresh {
		if a.Listing {
			n.feed.listing.Store(int64(cf.Uptime()))
		}
		if a.Unsure {
			n.feed.unsure.Store(int64(cf.Uptime()))
			if !n.scout() {
				n.confirmOutage()
			}
		}
		return nil
	}
	newest, err := n.takeConfig(a.Config)
	n.takeNews(a.News)
	if err != nil || !newest {
		return err // the next call brings the rest
	}
	// The answer shows the view as of its sending. One that took longer than
	// a call may was held up on the way, or this machine was suspended.
	if heard-asked > cfmember.PollWait+cfmember.PollGrace {
		heard = asked
	}
	n.feed.heard.Store(int64(heard - a.Age))
	return nil
}

// takeConfig takes what is told of the configuration; false if there is more to come.
func (n *Node) takeConfig(news *cfsite.ConfigUpdate) (newest bool, err error) {
	if news == nil {
		return true, nil
	}
	age := n.belief().Age
	changed, err := n.site.ApplyConfigUpdate(*news)
	if changed {
		cfwatch.LogConfigApplied(n.log, n.site, "coordinator", age)
	}
	return news.Latest && n.site.ConfigRecord().Rev >= news.Rev, err
}

// takeMembers takes what is told of the instances. A roster that differs afterwards is
// asked for as a whole.
func (n *Node) takeMembers(news *cfmember.RosterUpdate) {
	if news == nil {
		return
	}
	same := n.members.Apply(*news)
	n.feed.mu.Lock()
	defer n.feed.mu.Unlock()
	n.feed.membersAt = news.Version
	if !same {
		n.feed.origin = 0
	}
}

// takeNews takes what is told of the targets. A view that differs afterwards is asked for
// as a whole.
func (n *Node) takeNews(news *cfsite.TargetUpdate) {
	if news == nil {
		return
	}
	same := n.site.ApplyTargetUpdate(*news, cf.Uptime())
	n.log.Info("targets_relayed", zap.Int("targets", len(news.Targets)), zap.Int("gone", len(news.Removed)), zap.Bool("whole", news.Full),
		zap.Bool("same", same), zap.Int64("revision", int64(news.Rev)))
	n.feed.mu.Lock()
	defer n.feed.mu.Unlock()
	n.feed.news = news.Count
	if !same {
		n.feed.origin = 0
	}
}
