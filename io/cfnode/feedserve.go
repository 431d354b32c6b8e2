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
	// A holder that can't renew, as the store is away, still is the holder, and says
	// that it knows nothing new: were it silent, all others would ask the store.
	holds := n.candidate.Held()
	if !holds && !call.Hub {
		return nil, cf.ErrNotLeader
	}
	groupSum := n.hear(call, holds)
	if holds {
		if hub, other := n.hubOf(call); other {
			holder, rev := n.candidate.holder()
			return feedAnswer{Holder: holder, Rev: rev, Hub: &hub}, nil
		}
	}
	taken, settled := n.usage.hear(call.Usage)
	if err := n.awaitNews(ctx, call); err != nil {
		return nil, err
	}
	if holds && !n.candidate.Held() {
		return nil, cf.ErrNotLeader
	}
	if !holds {
		settled = n.feed.usageSettled()
	}
	a := n.answerFeed(call)
	a.GroupSum, a.Wall, a.UsageTaken, a.UsageSettled = groupSum, n.timeOfDay(holds), taken, settled
	return a, nil
}

// awaitNews holds a call until there is something to tell, for a while.
func (n *Node) awaitNews(ctx context.Context, call feedCall) error {
	count, changed := n.site.TargetUpdates()
	wait := cfmember.PollWait.Duration()
	switch fresh, _ := n.word(cf.Uptime()); {
	case !fresh:
		wait = staleWait // nothing can be told yet
	case !n.guard.Synced():
		wait = uninformedWait
	case call.Origin != n.origin || call.News != count || call.Config.Rev < n.site.ConfigRecord().Rev:
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

// word says whether this instance may tell others how things stand, and as of how long
// ago.
func (n *Node) word(now cf.Millis) (fresh bool, age cf.Millis) {
	held := n.candidate.Held()
	switch fresh, behind := n.view(now); {
	case fresh && (!held || n.candidate.Valid()):
		return true, behind
	case held:
		return false, 0
	default:
		return n.feed.fresh(now), now - cf.Millis(n.feed.heard.Load())
	}
}

// answerFeed tells an instance what it does not know.
func (n *Node) answerFeed(call feedCall) feedAnswer {
	now := cf.Uptime()
	holder, rev := n.candidate.holder()
	a := feedAnswer{Holder: holder, Rev: rev, Origin: n.origin, Quarantine: n.guard.Table.Checksums(), Informed: n.guard.Synced()}
	a.Fresh, a.Age = n.word(now)
	if n.candidate.Held() {
		a.Unsure = !a.Fresh
	} else {
		a.HolderAge = now - cf.Millis(n.candidate.answered.Load())
		a.Unsure = !a.Fresh && cfmember.AnswerIsRecent(cf.Millis(n.feed.unsure.Load()), now)
	}
	a.Listing = !a.Fresh && n.listing(now)
	same := call.Origin == n.origin
	a.Members = n.members.Update(same, call.Members, call.MembersSum, n.self(), now)
	if !a.Fresh {
		return a
	}
	config, err := n.configNews(call.Config)
	if err != nil {
		n.log.Error("config_not_told", zap.Int64("held_revision", int64(call.Config.Rev)), cflog.Error(err))
		a.Fresh = false
		return a
	}
	a.Config = config
	if count, _ := n.site.TargetUpdates(); !same || call.News != count {
		news := n.newsFor(call, same)
		a.News = &news
	}
	return a
}

// configNews returns what an instance must hear of the configuration.
func (n *Node) configNews(held cfsite.ConfigState) (*cfsite.ConfigUpdate, error) {
	news, err := n.site.ConfigUpdate(held)
	if news == nil {
		return nil, err
	}
	part := "change"
	if news.Base == 0 {
		part = "whole"
	}
	n.feedMetrics.told.WithLabelValues(part).Add(float64(len(news.Data)))
	return news, nil
}

// newsFor returns what an instance must hear of the targets.
func (n *Node) newsFor(call feedCall, same bool) cfsite.TargetUpdate {
	if same {
		return n.site.TargetUpdateSince(call.News)
	}
	return n.site.FullTargetUpdate(call.Sum)
}

// hear takes an instance's report: as the coordinator, or as its hub. It returns the sum of
// its group as it is known now.
func (n *Node) hear(call feedCall, holds bool) (groupSum uint64) {
	now := cf.Uptime()
	call.Entry.Ready = call.Entry.Ready && !call.Leaving
	if !holds {
		n.members.RecordClient(call.Entry, now)
		return 0
	}
	if call.Wall > 0 {
		n.clockMu.Lock()
		n.clocks.Record(call.Entry.ID, call.Wall, now)
		n.clockMu.Unlock()
	}
	return n.members.RecordReport(call.Entry, call.Group, now)
}
