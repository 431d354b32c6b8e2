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

	// feedWait is how long the coordinator holds a feed call without news;
	// each call is also the caller's report that it is alive.
	feedWait cf.Millis = 400
	// feedGrace is what an answer may take beyond that.
	feedGrace cf.Millis = 350
	// feedSilence is how long an instance relies on the last answer before
	// it watches the store itself.
	feedSilence cf.Millis = 900
	// hubSilence is the same for a hub: to list what thousands of targets are is left to a
	// new coordinator for a moment.
	hubSilence cf.Millis = 1500
	// outageTold is how long an instance believes that the store is away for others
	// too: the coordinator by its own word, and one more that is asked each outageAsk.
	outageTold cf.Millis = 1000
	outageAsk  cf.Millis = 500
	// startGrace is how long a starting instance waits for a coordinator's word before
	// it asks the store itself: it reads the lease and calls, within some 30 ms.
	startGrace cf.Millis = 300
	// startUnsure is the same while the coordinator answers that it has no current view
	// yet, or that a hub is to be asked: where all start at once it lists the targets
	// for all.
	startUnsure cf.Millis = 3000
	// staleWait is how long the coordinator holds a call while it has no current
	// view itself.
	staleWait = 300 * time.Millisecond
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
		// of the view of targets, MembersSum that of the roster, Config the revision
		// of the configuration in force.
		Origin     uint64      `cbor:"origin"`
		News       int64       `cbor:"news"`
		Sum        uint64      `cbor:"sum"`
		Members    int64       `cbor:"members"`
		MembersSum uint64      `cbor:"members_sum"`
		Config     cf.Revision `cbor:"config"`
		// Term is that of the coordinator as the caller knows it.
		Term cf.Revision `cbor:"term"`
		// Group are the instances that ask this one.
		Group *cfmember.Group `cbor:"group,omitempty"`
		// Wall is the instance's time of day, Usage what it has counted.
		Wall  cf.Millis       `cbor:"wall,omitempty"`
		Usage *cfusage.Report `cbor:"usage,omitempty"`
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
		// Origin identifies whose counts News and Members have.
		Origin  uint64               `cbor:"origin"`
		Config  *cf.Record           `cbor:"config,omitempty"`
		News    *cfsite.News         `cbor:"news,omitempty"`
		Members *cfmember.RosterNews `cbor:"members,omitempty"`
		// GroupSum is that of the caller's group as it is known here.
		GroupSum uint64 `cbor:"group_sum,omitempty"`
		// Quarantine identifies what is known here of requests that crash targets, where
		// Informed says that this is all.
		Quarantine cfquarantine.Sums `cbor:"quarantine"`
		Informed   bool              `cbor:"informed,omitempty"`
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
		// that of the last of another instance, askedAt when one was asked last.
		unsure, away, askedAt atomic.Int64
		mu                    sync.Mutex
		// origin, news and membersAt say what the instance has.
		origin    uint64
		news      int64
		membersAt int64
		// groupSum is that of the own group as the coordinator knows it.
		groupSum uint64
		// hub is asked for news, the coordinator if there is none; until hubUntil, as of
		// when another may be the one to ask. hubSilent are hubs that did not answer,
		// with until when they are avoided.
		hub      *cfmember.Entry
		hubUntil cf.Millis
		// follow is until when that hub is asked in any case.
		follow cf.Millis
		// pastAt is when the coordinator was asked last though there is a hub.
		pastAt    cf.Millis
		hubSilent map[cf.EntryID]cf.Millis
		// settled is the last window of use that nobody needs, as told to those that ask
		// this instance.
		settled cf.UsageWindow
	}
)

// behind says whether a hub is asked for news.
func (f *feed) behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hub != nil
}

// usageSettled returns the last window of use that nobody needs.
func (f *feed) usageSettled() cf.UsageWindow {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settled
}

// fresh says whether the view from the coordinator is current.
func (f *feed) fresh(now cf.Millis) bool { return now-cf.Millis(f.heard.Load()) < feedSilence }

// viewFresh says whether this instance's own watches are current.
func (n *Node) viewFresh(now cf.Millis) bool {
	w := n.watching.Load()
	return w != nil && w.config.Age(now) < cfwatch.SiteFresh && w.targets.Current(now, cfwatch.SiteFresh, cfwatch.SiteListed)
}

// current says whether this instance may tell others how things stand, as the
// coordinator.
func (n *Node) current(now cf.Millis) bool { return n.candidate.Valid() && n.viewFresh(now) }

// left is how long this instance leaves the store to the coordinator and the scouts after
// the last current word; zero for a scout.
func (n *Node) left(now cf.Millis) cf.Millis {
	if n.starting(now) {
		return now + 1 // as long as it starts
	}
	behind := n.feed.behind()
	// One that has just started doesn't know yet who else looks after the store.
	if !behind && n.scout() && now-n.started >= startUnsure {
		return 0
	}
	away := now-cf.Millis(n.feed.unsure.Load()) < outageTold && now-cf.Millis(n.feed.away.Load()) < outageTold
	return cfmember.LeaveStore(behind || len(n.members.Hubs(n.self(), now)) > 0, away)
}

// starting says whether this instance has just started, and waits for the word of the
// coordinator that the lease names.
//
// The load it answers: a deployment that starts at once on machines that are busy, where
// each instance would list all targets because its first call has not got through yet.
func (n *Node) starting(now cf.Millis) bool {
	if n.feed.heard.Load() > 0 {
		return false
	}
	since := now - n.started
	if holder, _ := n.candidate.holder(); holder.Entry != "" && since < startGrace+feedWait+feedGrace {
		return true
	}
	return since < startUnsure && (n.feed.behind() || now-cf.Millis(n.feed.unsure.Load()) < outageTold)
}

// alone says whether this instance must watch the store itself.
func (n *Node) alone(now cf.Millis) bool {
	if n.coord.Load() != nil {
		return true
	}
	silence := feedSilence
	if len(n.members.Hubs(n.self(), now)) > 0 {
		silence = hubSilence
	}
	return now-n.started >= startGrace && now-cf.Millis(n.feed.heard.Load()) >= max(n.left(now), silence)
}

// scout says whether this instance looks after the store as soon as the coordinator can't
// tell how things stand.
func (n *Node) scout() bool { return n.members.Scout(n.self()) }

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
			switch err := n.feedOnce(ctx, hub.Peers, true); {
			case err == nil || ctx.Err() != nil:
			case errors.Is(err, errNoWord):
				n.askPast(ctx, holder, hub)
			default:
				n.log.Info("hub_lost", zap.String("entry", string(hub.ID)), cflog.Error(err))
				n.hubLost(hub.ID)
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
	ctx, cancel := context.WithTimeout(ctx, (feedWait + feedGrace).Duration())
	defer cancel()
	asked := cf.Uptime()
	call := n.feedCall(hub, asked)
	var a feedAnswer
	if err := n.peers.Call(ctx, addr, opFeed, call, &a); err != nil {
		return err
	}
	if a.Hub != nil {
		n.candidate.heard()
		n.candidate.observe(a.Rev, a.Holder)
		n.feed.unsure.Store(int64(cf.Uptime()))
		n.setHub(*a.Hub)
		n.feed.mu.Lock()
		n.feed.follow = cf.Uptime() + hubFollow
		n.feed.mu.Unlock()
		return nil
	}
	n.usage.heard(a, call)
	n.takeFeed(a, asked)
	if a.Informed {
		n.quarantine.compare(addr, a.Quarantine)
	}
	if hub {
		n.usage.tellCounted()
		if !a.Fresh && !a.Unsure && cf.Uptime()-cf.Millis(n.feed.heard.Load()) > hubDoubt {
			return errNoWord
		}
	}
	return nil
}

// feedCall returns the call that tells and asks how things stand.
func (n *Node) feedCall(hub bool, now cf.Millis) feedCall {
	call := feedCall{Entry: n.self(), Leaving: n.leaving.Load(), Hub: hub, Sum: n.site.Sum(), Config: n.site.ConfigRecord().Rev}
	n.feed.mu.Lock()
	call.Origin, call.News, call.Members, call.Without = n.feed.origin, n.feed.news, n.feed.membersAt, n.feed.silentHubs(now)
	known := n.feed.groupSum
	n.feed.mu.Unlock()
	call.MembersSum = n.members.Sum()
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

func (n *Node) takeFeed(a feedAnswer, asked cf.Millis) {
	n.candidate.heardAt(cf.Uptime() - a.HolderAge)
	n.candidate.observe(a.Rev, a.Holder)
	n.feed.mu.Lock()
	n.feed.groupSum, n.feed.settled = a.GroupSum, a.UsageSettled
	if n.feed.origin != a.Origin {
		n.feed.origin, n.feed.news, n.feed.membersAt = a.Origin, -1, -1
	}
	n.feed.mu.Unlock()
	n.takeMembers(a.Members)
	if !a.Fresh {
		if a.Unsure {
			n.feed.unsure.Store(int64(cf.Uptime()))
			if !n.scout() {
				n.confirmOutage()
			}
		}
		return
	}
	if a.Config != nil {
		changed, err := n.site.ApplyConfig(*a.Config)
		if err != nil {
			n.log.Error("change_not_taken", zap.String("kind", "config"), cflog.Error(err))
		}
		if changed {
			n.log.Info("config_in_force", zap.Int64("config_version", int64(n.site.Config().Version)),
				zap.Int64("revision", int64(a.Config.Rev)), zap.String("source", "coordinator"))
		}
	}
	n.takeNews(a.News)
	// The answer shows the view as of its sending. One that took longer than
	// a call may was held up on the way, or this machine was suspended.
	heard := cf.Uptime()
	if heard-asked > feedWait+feedGrace {
		heard = asked
	}
	n.feed.heard.Store(int64(heard - a.Age))
}

// takeMembers takes what is told of the instances. A roster that differs afterwards is
// asked for as a whole.
func (n *Node) takeMembers(news *cfmember.RosterNews) {
	if news == nil {
		return
	}
	same := n.members.Take(*news)
	n.feed.mu.Lock()
	defer n.feed.mu.Unlock()
	n.feed.membersAt = news.Count
	if !same {
		n.feed.origin = 0
	}
}

// takeNews takes what is told of the targets. A view that differs afterwards is asked for
// as a whole.
func (n *Node) takeNews(news *cfsite.News) {
	if news == nil {
		return
	}
	same := n.site.TakeNews(*news, cf.Uptime())
	n.log.Info("targets_relayed", zap.Int("targets", len(news.Targets)), zap.Int("gone", len(news.Gone)), zap.Bool("whole", news.Whole),
		zap.Bool("same", same), zap.Int64("revision", int64(news.At)))
	n.feed.mu.Lock()
	defer n.feed.mu.Unlock()
	n.feed.news = news.Count
	if !same {
		n.feed.origin = 0
	}
}
