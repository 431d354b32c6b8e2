package cfcoord

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfaccess"
	"currantford/core/cfbatch"
	"currantford/core/cfquarantine"
	"currantford/core/cfreward"
	"currantford/core/cfrollout"
	"currantford/core/cfsite"
	"currantford/io/cflog"
)

// rewardTimeout is the deadline of one attempt at a reward call, at this instance and at the
// target. The longest answers take 1.5 s; long before the deadline a late call is repeated at
// another target. Without a deadline, a target that accepts a call and never answers would block
// the call forever.
const rewardTimeout cf.Millis = 3000

// rewards holds the reward calls of complete texts and their attempts in progress.
type rewards struct {
	planner *cfreward.Planner
	works   map[cf.ItemID]*cfrollout.Work
	cancels map[*cfreward.Attempt]context.CancelFunc
}

func newRewards(policy Policy) rewards {
	limits := cfreward.DefaultLimits
	limits.DisableHedging = policy.NoRewardHedges
	if policy.AllRewardSlots {
		limits.CallerShare = 0
	}
	return rewards{
		planner: cfreward.New(limits), works: map[cf.ItemID]*cfrollout.Work{},
		cancels: map[*cfreward.Attempt]context.CancelFunc{},
	}
}

// add adds the reward call of a complete text.
func (r *rewards) add(w *cfrollout.Work, now cf.Millis) {
	r.works[w.Item.ID] = w
	r.planner.Add(w.Batch, w.Item, now)
}

// end removes a finished call, cancels its attempts in progress, and returns its text.
func (r *rewards) end(call *cfreward.Call) *cfrollout.Work {
	for _, a := range call.Attempts() {
		r.cancels[a]()
	}
	w := r.works[call.Item.ID]
	delete(r.works, call.Item.ID)
	return w
}

// rewardSite implements cfreward.Site on the coordinator's state. c.mu is held.
type rewardSite struct {
	c       *Coordinator
	config  *cfsite.Config
	missing map[cf.BatchID]map[cf.GroupID]int
}

// Route implements cfreward.Site. Reward calls may be repeated whatever the kind of the route.
func (s *rewardSite) Route(call *cf.RewardCall) (cfreward.Route, bool) {
	route, ok := s.config.Match(call.Host, call.Path)
	if !ok {
		return cfreward.Route{}, false
	}
	service := route.PickService(hashFraction(string(call.ID)))
	return cfreward.Route{Service: service, Targets: s.c.Site.Usable(service), MaxAttempts: route.MaxAttempts}, true
}

// Admit implements cfreward.Site.
func (s *rewardSite) Admit(call *cf.RewardCall, target cf.Target) bool {
	return s.c.admitDeferred(call.ID, cfquarantine.KeyOfReward(call), target, cfquarantine.DeferredWork{Isolated: true, WaitingSince: cf.Uptime()}).Pass
}

// Missing implements cfreward.Site.
func (s *rewardSite) Missing(b *cfbatch.Batch, g cf.GroupID) int {
	missing, known := s.missing[b.Sub.ID]
	if st := s.c.batches[b.Sub.ID]; !known && st != nil {
		missing = st.pending.Missing(b)
		s.missing[b.Sub.ID] = missing
	}
	if n, some := missing[g]; some {
		return n
	}
	return b.GroupRemaining(g)
}

// hashFraction maps an ID to a number in [0, 1). It is a pure function of the ID, so that a
// successor makes the same choices.
func hashFraction(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash's Write never fails
	return float64(h.Sum32()) / (1 << 32)
}

// scheduleRewards sends the reward calls that are due. c.mu is held.
func (c *Coordinator) scheduleRewards(config *cfsite.Config, now cf.Millis) {
	for _, call := range c.rewards.planner.DropListed() {
		c.rewards.end(call)
	}
	site := &rewardSite{c: c, config: config, missing: map[cf.BatchID]map[cf.GroupID]int{}}
	for _, a := range c.rewards.planner.Schedule(site, now) {
		c.startReward(a, config.Version)
	}
}

// startReward sends a reward call to the target that the planner chose.
func (c *Coordinator) startReward(a *cfreward.Attempt, version cfsite.ConfigVersion) {
	stopped, cancel := context.WithCancel(c.ctx)
	c.rewards.cancels[a] = cancel
	reward := a.Call.Item.Reward
	c.Log.Info("reward_sent", zap.String("request_id", string(reward.ID)), zap.String("item_id", string(a.Call.Item.ID.RequestID())),
		cflog.Batch(a.Call.Batch.Sub.ID), zap.String("target", string(a.Target.ID)), zap.Int("sends", a.Call.Sends),
		zap.Int("failures", a.Call.Failures), zap.Bool("hedge", a.Hedge), zap.Int64("config_version", int64(version)))
	c.wg.Go(func() {
		defer cancel()
		ctx, expire := context.WithTimeout(stopped, rewardTimeout.Duration())
		defer expire()
		answer, err := c.Targets.Send(ctx, a.Target, cf.TargetCall{
			ID: reward.ID, Method: http.MethodPost, Host: reward.Host, Path: reward.Path, Header: http.Header{}, Body: reward.Body,
			Urgency: cfaccess.Urgency(cf.Access{}, cfaccess.LongItem), Ranked: true, Timeout: rewardTimeout,
		})
		c.rewardEnded(a, answer, err, stopped.Err() != nil)
	})
}

// reportReward tells the guard how an attempt at a reward call ended.
func (c *Coordinator) reportReward(a *cfreward.Attempt, outcome cfreward.Outcome, alive bool, err error) {
	reward := a.Call.Item.Reward
	key := cfquarantine.KeyOfReward(reward)
	switch {
	case outcome == cfreward.Scored || outcome == cfreward.Failed:
		c.Guard.Answered(key, a.Target, a.StartedAt)
	case outcome == cfreward.NoAnswer && err != nil && !errors.Is(err, cf.ErrNotRun):
		c.Guard.Lost(reward.ID, key, a.Target, alive)
	default:
		c.Guard.Dropped(key, a.Target)
	}
}

var rewardOutcomeNames = map[cfreward.Outcome]string{
	cfreward.Scored: "scored", cfreward.Failed: "failed", cfreward.Rejected: "not_run", cfreward.NoAnswer: "lost", cfreward.Cancelled: "stopped",
}

// rewardEnded processes the end of an attempt at a reward call.
func (c *Coordinator) rewardEnded(a *cfreward.Attempt, answer cf.TargetAnswer, err error, stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.rewards.cancels, a)
	if c.ctx.Err() != nil {
		c.reportReward(a, cfreward.Cancelled, false, nil)
		return // the term has ended; a successor sends the call again
	}
	now := cf.Uptime()
	outcome := classifyReward(answer, err, stopped)
	call := a.Call
	c.reportReward(a, outcome, answer.Alive, err)
	verdict := c.rewards.planner.Done(a, outcome, answer.Load, now)
	c.Metrics.RewardCalls.WithLabelValues(rewardOutcomeNames[outcome]).Inc()
	c.Metrics.RewardDuration.Observe(float64(now-a.StartedAt) / 1000)
	c.Log.Info("reward_ended", zap.String("request_id", string(call.Item.Reward.ID)), zap.String("item_id", string(call.Item.ID.RequestID())),
		cflog.Batch(call.Batch.Sub.ID), zap.String("target", string(a.Target.ID)),
		zap.String("outcome", rewardOutcomeNames[outcome]), zap.Int("status", answer.Status), zap.Int("failures", call.Failures),
		zap.Int64("took_ms", int64(now-a.StartedAt)), cflog.Error(err))
	switch verdict {
	case cfreward.Accept:
		c.list(c.rewards.end(call), answer.Signature, now)
	case cfreward.GiveUp:
		c.giveUp(c.rewards.end(call), "reward call failed", now)
	case cfreward.Continue:
	}
	c.Wake()
}

// classifyReward maps the result of an attempt at a reward call to the planner's outcome.
func classifyReward(answer cf.TargetAnswer, err error, stopped bool) cfreward.Outcome {
	switch {
	case err == nil && answer.Status/100 == 2 && answer.Signature != "":
		return cfreward.Scored
	case stopped:
		return cfreward.Cancelled
	case err == nil && answer.NotRun:
		return cfreward.Rejected
	case err == nil && answer.Status == http.StatusInternalServerError:
		return cfreward.Failed
	default:
		return cfreward.NoAnswer
	}
}

// dropRewards removes the reward calls of an ended batch. Their texts are kept, as a later batch
// may request the same items. c.mu is held.
func (c *Coordinator) dropRewards(id cf.BatchID) {
	for _, call := range c.rewards.planner.DropBatch(id) {
		w := c.rewards.end(call)
		delete(c.unlisted, w.Item.ID)
		c.planner.KeepText(w)
	}
}

// expireRewards gives up the items whose reward calls have waited too long.
func (c *Coordinator) expireRewards(now, wall cf.Millis) {
	late := c.rewards.planner.Expire(func(b *cfbatch.Batch) cf.Millis { return c.planner.GiveUpAfter(b.Sub.ID) }, wall)
	for _, call := range late {
		c.giveUp(c.rewards.end(call), "waited too long for its reward", now)
	}
}
