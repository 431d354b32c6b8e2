// Package cfreward decides when the reward calls of finished texts are sent, to which target, and
// what follows a failed one. It makes no calls and has no clock of its own.
//
// It is designed for this load: the texts of a step finish in bursts, so that two hundred calls of
// 200 ms each are due within a second. They go to a service whose targets have six slots, reject
// what does not fit, and at the same time answer callers' lookups of 25 ms. Each target therefore
// gets as many reward calls as it has shown to accept, and its last slots stay free. The other
// calls wait in the planner, where no attempt is spent on a rejection. The calls that complete a
// group are sent first. If a target loses or delays an answer, the call waits for a multiple of the
// usual response time, and is then also sent to a second target.
//
// Usage:
//
//	p := cfreward.New(cfreward.DefaultLimits)
//	p.Add(batch, item, now)
//	for _, a := range p.Schedule(env, now) { ... verdict := p.Done(a, outcome, load, now) }
package cfreward

import (
	"cmp"
	"slices"

	cf "currantford"
	"currantford/core/cfbalance"
	"currantford/core/cfbatch"
)

type (
	// Limits limit what the planner starts.
	Limits struct {
		// CallerShare is the fraction of a target's slots that reward calls leave free for callers'
		// requests: a caller waits for each of its requests, but for a reward only as part of a
		// whole step.
		CallerShare float64
		// HedgeFactor is the multiple of the usual response time after which a call is also sent to
		// a second target, and MinHedgeDelay is the shortest such time.
		HedgeFactor   float64
		MinHedgeDelay cf.Millis
		// DisableHedging sends no call to a second target while the first may still answer.
		DisableHedging bool
		// InitialBackoff is the pause of a target after it rejected a call, and of a call after it
		// received no answer. Each further rejection or missing answer in a row doubles it, up to
		// MaxBackoff.
		InitialBackoff cf.Millis
		MaxBackoff     cf.Millis
		// MaxErrors is the number of failures in a row after which a target is considered faulty. A
		// single failure may be caused by its request.
		MaxErrors int
	}

	// Route says where a reward call may currently be sent.
	Route struct {
		Service     cf.ServiceName
		Targets     []cf.Target
		MaxAttempts int
	}

	// Environment provides the planner with the state of its surroundings.
	Environment interface {
		// Route returns the route for the call's host and path, and false if there is none.
		Route(call *cf.RewardCall) (Route, bool)
		// Missing returns the number of items of a group that have no result, neither listed nor
		// pending.
		Missing(b *cfbatch.Batch, g cf.GroupID) int
		// Admit reports whether a call may be sent to a target now.
		Admit(call *cf.RewardCall, target cf.Target) bool
	}

	// Call is the reward call for one text.
	Call struct {
		Batch       *cfbatch.Batch
		Item        cf.Item
		Failures    int // answers that count as failed attempts
		Sends       int
		addedAt     cf.Millis
		retryAt     cf.Millis
		unanswered  int // attempts in a row without an answer
		maxFailures int // number of failed attempts that the route allows
		inFlight    []*Attempt
		failedAt    map[cf.InstanceID]bool
		finished    bool
	}

	// Attempt is one sending of a call to a target.
	Attempt struct {
		Call      *Call
		Target    cf.Target
		StartedAt cf.Millis
		Hedge     bool // sent while an earlier attempt is still in flight
	}

	// Outcome is the result of an attempt.
	Outcome int

	// Verdict says what follows for a call.
	Verdict int

	// Planner schedules reward calls. It is not safe for concurrent use.
	Planner struct {
		limits   Limits
		balancer *cfbalance.Balancer
		calls    map[cf.ItemID]*Call
		targets  map[cf.InstanceID]*targetState
		draws    uint32
	}

	// targetState is what is known of one target.
	targetState struct {
		inFlight int
		limit    float64 // number of concurrent calls that the target has shown to accept
		retryAt  cf.Millis
		misses   int // rejections and unanswered attempts in a row
		errors   int // failures in a row
		// unresponsive says that an answer is overdue, so the target may be down.
		unresponsive bool
		lastSeen     cf.Millis
	}
)

// Outcomes of an attempt.
const (
	// Scored means that the answer is the reward.
	Scored Outcome = iota
	// Failed means that the target ran the call and reported a failure.
	Failed
	// Rejected means that the target did not run the call.
	Rejected
	// NoAnswer means that there was no answer, or none that is valid.
	NoAnswer
	// Cancelled means that the attempt was cancelled on this side.
	Cancelled
)

// Verdicts on a call.
const (
	// Continue means that the call goes on, or is already finished.
	Continue Verdict = iota
	// Accept means that the answer scores the text.
	Accept
	// GiveUp means that as many attempts have failed as the route allows.
	GiveUp
)

// DefaultLimits are suitable for services that answer within a few hundred milliseconds. One
// response in fifty takes three times the mean or longer, so few calls are sent twice.
var DefaultLimits = Limits{
	CallerShare: 1.0 / 3, HedgeFactor: 3, MinHedgeDelay: 400, InitialBackoff: 50, MaxBackoff: 1600, MaxErrors: 3,
}

// maxInFlight is the number of targets that may work on one call at once.
const maxInFlight = 2

// forgetAfter is how long the state of a target is kept after it was last used or offered.
const forgetAfter cf.Millis = 60000

// New returns a planner without calls.
func New(limits Limits) *Planner {
	return &Planner{
		limits: limits, balancer: cfbalance.New(), calls: map[cf.ItemID]*Call{}, targets: map[cf.InstanceID]*targetState{},
	}
}

// Add adds the reward call of an item whose text is complete.
func (p *Planner) Add(b *cfbatch.Batch, item cf.Item, now cf.Millis) {
	if old := p.calls[item.ID]; old != nil {
		old.finished = true // its batch was ended, and another batch contains the same item
	}
	p.calls[item.ID] = &Call{Batch: b, Item: item, addedAt: now, failedAt: map[cf.InstanceID]bool{}}
}

// Len returns the number of unfinished calls.
func (p *Planner) Len() int { return len(p.calls) }

// DropBatch drops the calls of a batch and returns them.
func (p *Planner) DropBatch(id cf.BatchID) []*Call {
	return p.drop(func(c *Call) bool { return c.Batch.Sub.ID == id })
}

// DropListed drops the calls whose items were listed in the meantime by another coordinator, and
// returns them.
func (p *Planner) DropListed() []*Call {
	return p.drop(func(c *Call) bool { return c.Batch.Listed(c.Item.ID) })
}

// Expire drops the calls of batches that were accepted longer ago than maxWait allows, by the wall
// clock, and returns them. If maxWait returns zero, the batch has no limit.
func (p *Planner) Expire(maxWait func(*cfbatch.Batch) cf.Millis, wall cf.Millis) []*Call {
	return p.drop(func(c *Call) bool {
		limit := maxWait(c.Batch)
		return limit > 0 && wall-c.Batch.Sub.Accepted >= limit
	})
}

func (p *Planner) drop(match func(*Call) bool) []*Call {
	var out []*Call
	for id, c := range p.calls {
		if match(c) {
			c.finished = true
			delete(p.calls, id)
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *Call) int { return cmp.Compare(a.Item.ID, b.Item.ID) })
	return out
}

// Attempts returns the attempts of a call that are in flight.
func (c *Call) Attempts() []*Attempt { return c.inFlight }

// Schedule returns the attempts to start now.
func (p *Planner) Schedule(env Environment, now cf.Millis) []*Attempt {
	if len(p.calls) == 0 {
		return nil
	}
	p.markUnresponsive(now)
	var out []*Attempt
	full := map[cf.ServiceName]bool{}
	for _, c := range p.prioritized(env) {
		hedge := len(c.inFlight) > 0
		if hedge && !p.needsHedge(c, now) || now < c.retryAt {
			continue
		}
		route, ok := env.Route(c.Item.Reward)
		if !ok || full[route.Service] {
			continue
		}
		c.maxFailures = route.MaxAttempts
		t, ok := p.choose(c, route, now)
		if !ok {
			// Calls that were sent before may not go to every target. If a call without such
			// restrictions finds no target, no other call of the service finds one either.
			full[route.Service] = len(c.failedAt) == 0 && !hedge
			continue
		}
		if !env.Admit(c.Item.Reward, t) {
			continue
		}
		out = append(out, p.start(c, t, hedge, now))
	}
	p.prune(now)
	return out
}

// prioritized returns the calls in the order in which to send them: calls that are not in flight
// before second attempts, then calls of the batch that was accepted first, then those of the group
// that lacks the fewest items.
func (p *Planner) prioritized(env Environment) []*Call {
	type ranked struct {
		call    *Call
		missing int
	}
	calls := make([]ranked, 0, len(p.calls))
	for _, c := range p.calls {
		calls = append(calls, ranked{c, env.Missing(c.Batch, c.Item.Group)})
	}
	slices.SortFunc(calls, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(len(a.call.inFlight), len(b.call.inFlight)),
			cmp.Compare(a.call.Batch.Sub.Accepted, b.call.Batch.Sub.Accepted),
			cmp.Compare(a.missing, b.missing),
			cmp.Compare(a.call.addedAt, b.call.addedAt),
			cmp.Compare(a.call.Item.ID, b.call.Item.ID),
		)
	})
	out := make([]*Call, 0, len(calls))
	for _, r := range calls {
		out = append(out, r.call)
	}
	return out
}

// needsHedge reports whether a call in flight should also be sent to a second target.
func (p *Planner) needsHedge(c *Call, now cf.Millis) bool {
	return !p.limits.DisableHedging && len(c.inFlight) < maxInFlight && p.late(c.inFlight[0], now)
}

// late reports whether an attempt has taken much longer than usual.
func (p *Planner) late(a *Attempt, now cf.Millis) bool {
	usual := p.balancer.Throughput([]cf.Target{a.Target}, now).ServiceTime
	return now-a.StartedAt >= max(cf.Millis(usual*p.limits.HedgeFactor), p.limits.MinHedgeDelay)
}

// markUnresponsive marks the targets from which an answer is overdue. They get no more calls until
// the answer arrives or the attempt ends. Otherwise a target that accepts calls and does not answer
// would take as many calls as it has slots.
func (p *Planner) markUnresponsive(now cf.Millis) {
	for _, s := range p.targets {
		s.unresponsive = false
	}
	for _, c := range p.calls {
		for _, a := range c.inFlight {
			if p.late(a, now) {
				p.state(a.Target).unresponsive = true
			}
		}
	}
}

// choose returns the target that should answer a call soonest, among those with a free slot for it.
func (p *Planner) choose(c *Call, route Route, now cf.Millis) (cf.Target, bool) {
	candidates := make([]cf.Target, 0, len(route.Targets))
	for _, t := range route.Targets {
		if p.hasRoom(t, now) && !c.sentTo(t.ID) {
			candidates = append(candidates, t)
		}
	}
	p.draws++
	if t, ok := p.balancer.Choose(candidates, c.failedAt, goldenRatioFraction(p.draws), now); ok || len(c.failedAt) < len(route.Targets) {
		return t, ok
	}
	return p.balancer.Choose(candidates, nil, goldenRatioFraction(p.draws), now) // the call has failed at every target
}

// goldenRatioFraction maps successive numbers to values that are evenly spread over [0, 1), using
// the golden ratio.
func goldenRatioFraction(n uint32) float64 { return float64(n*2654435769) / (1 << 32) }

// sentTo reports whether an attempt of the call is in flight to a target.
func (c *Call) sentTo(id cf.InstanceID) bool {
	return slices.ContainsFunc(c.inFlight, func(a *Attempt) bool { return a.Target.ID == id })
}

func (p *Planner) hasRoom(t cf.Target, now cf.Millis) bool {
	s := p.state(t)
	s.lastSeen = now
	return !s.unresponsive && now >= s.retryAt && s.inFlight < min(int(s.limit), p.maxCalls(t))
}

// maxCalls returns how many calls a target gets at once, at least one.
func (p *Planner) maxCalls(t cf.Target) int {
	if p.limits.CallerShare == 0 {
		return max(t.Slots, 1)
	}
	return max(t.Slots-max(int(float64(t.Slots)*p.limits.CallerShare+0.5), 1), 1)
}

func (p *Planner) state(t cf.Target) *targetState {
	s := p.targets[t.ID]
	if s == nil {
		s = &targetState{limit: float64(p.maxCalls(t))}
		p.targets[t.ID] = s
	}
	return s
}

func (p *Planner) start(c *Call, t cf.Target, hedge bool, now cf.Millis) *Attempt {
	a := &Attempt{Call: c, Target: t, StartedAt: now, Hedge: hedge}
	c.inFlight = append(c.inFlight, a)
	c.Sends++
	p.state(t).inFlight++
	p.balancer.Sent(t.ID)
	return a
}

// Done records the end of an attempt and returns what follows for its call.
func (p *Planner) Done(a *Attempt, o Outcome, load *cf.TargetLoad, now cf.Millis) Verdict {
	p.updateTarget(a, o, load, now)
	c := a.Call
	c.inFlight = slices.DeleteFunc(c.inFlight, func(x *Attempt) bool { return x == a })
	if c.finished {
		return Continue
	}
	switch o {
	case Scored:
		p.finish(c)
		return Accept
	case Failed:
		c.Failures++
		c.failedAt[a.Target.ID] = true
		if c.Failures >= max(c.maxFailures, 1) {
			p.finish(c)
			return GiveUp
		}
	case NoAnswer:
		c.retryAt = now + p.limits.InitialBackoff.Backoff(c.unanswered, p.limits.MaxBackoff)
		c.unanswered++
	}
	return Continue
}

func (p *Planner) finish(c *Call) {
	c.finished = true
	delete(p.calls, c.Item.ID)
}

// updateTarget adapts the number of calls that a target gets at once to the outcome of an attempt:
// one more after a full round of answers, half as many after a rejection, and a single one after an
// attempt without an answer or after repeated failures.
func (p *Planner) updateTarget(a *Attempt, o Outcome, load *cf.TargetLoad, now cf.Millis) {
	s := p.state(a.Target)
	s.inFlight--
	s.lastSeen = now
	outcome := cfbalance.Answered
	switch o {
	case Scored, Failed:
		s.limit = min(s.limit+1/max(s.limit, 1), float64(p.maxCalls(a.Target)))
		s.misses = 0
		s.errors++
		if o == Scored {
			s.errors = 0
		}
		if s.errors >= p.limits.MaxErrors {
			s.limit = 1
			p.backOff(s, now)
			outcome = cfbalance.Failed
		}
	case Rejected:
		s.limit = max(s.limit/2, 1)
		p.backOff(s, now)
		outcome = cfbalance.NotRun
	case NoAnswer:
		s.limit = 1
		p.backOff(s, now)
		outcome = cfbalance.Failed
	case Cancelled:
		outcome = cfbalance.Abandoned
	}
	p.balancer.Done(a.Target.ID, outcome, load, now-a.StartedAt, now)
}

func (p *Planner) backOff(s *targetState, now cf.Millis) {
	s.retryAt = now + p.limits.InitialBackoff.Backoff(s.misses, p.limits.MaxBackoff)
	s.misses++
}

func (p *Planner) prune(now cf.Millis) {
	for id, s := range p.targets {
		if s.inFlight <= 0 && now-s.lastSeen > forgetAfter {
			delete(p.targets, id)
		}
	}
}
