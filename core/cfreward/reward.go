// Package cfreward decides when the reward calls of finished texts go out, to
// which target, and what a failed one allows. It makes no calls and has no clock
// of its own.
//
// The load it answers: a step's texts end in bursts, so that two hundred calls
// of 200 ms each are due within a second at a service whose targets have six
// slots, turn away what does not fit, and answer callers' lookups of 25 ms at
// the same time. Each target therefore gets as many reward calls as it has shown
// to take, and never its last slots; what does not fit waits here, where it costs
// nobody a refused try. The calls that make a group whole go first. A target that
// loses or holds an answer up costs a call the usual time of an answer, after
// which a second target is asked.
//
// Usage:
//
//	p := cfreward.New(cfreward.DefaultLimits)
//	p.Add(batch, item, now)
//	for _, a := range p.Place(site, now) { ... verdict := p.Done(a, outcome, load, now) }
package cfreward

import (
	"cmp"
	"slices"

	cf "currantford"
	"currantford/core/cfbalance"
	"currantford/core/cfbatch"
)

type (
	// Limits bound what the planner starts.
	Limits struct {
		// CallerShare is the part of a target's slots that reward calls leave
		// free: someone waits for each caller's request, and for a reward
		// only with its whole step.
		CallerShare float64
		// HedgeFactor is how many times the usual time of an answer a call
		// waits before a second target is asked, MinHedgeDelay the least of it.
		HedgeFactor   float64
		MinHedgeDelay cf.Millis
		// DisableHedging asks no second target.
		DisableHedging bool
		// InitialBackoff is the pause of a target that turned a call away, and of
		// a call that was lost; it doubles with each in a row up to MaxBackoff.
		InitialBackoff cf.Millis
		MaxBackoff     cf.Millis
		// MaxErrors is how many failures in a row make a target suspect. A
		// single one is its request's own.
		MaxErrors int
	}

	// Route is where a reward call goes now.
	Route struct {
		Service     cf.ServiceName
		Targets     []cf.Target
		MaxAttempts int
	}

	// Environment is what the planner must see of the site.
	Environment interface {
		// Route returns false when no route leads to host and path.
		Route(call *cf.RewardCall) (Route, bool)
		// Missing counts the items of a group that have no result yet, listed
		// or about to be.
		Missing(b *cfbatch.Batch, g cf.GroupID) int
		// Admit says whether a call may be sent to a target now.
		Admit(call *cf.RewardCall, target cf.Target) bool
	}

	// Call is the reward call of one text.
	Call struct {
		Batch       *cfbatch.Batch
		Item        cf.Item
		Failures    int // answers that count as failed attempts
		Sends       int
		addedAt     cf.Millis
		retryAt     cf.Millis
		unanswered  int // attempts in a row that came to nothing
		maxFailures int // failed attempts that its route allows
		inFlight    []*Attempt
		failedAt    map[cf.InstanceID]bool
		finished    bool
	}

	// Attempt is a call as it is sent to one target.
	Attempt struct {
		Call      *Call
		Target    cf.Target
		StartedAt cf.Millis
		Hedge     bool // beside an attempt that takes long
	}

	// Outcome is what an attempt came to.
	Outcome int

	// Verdict is what is to be done with a call.
	Verdict int

	// Planner holds the state. It is not safe for concurrent use.
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
		limit    float64 // calls that it has shown to take at once
		retryAt  cf.Millis
		misses   int // refusals and losses in a row
		errors   int // failures in a row
		// unresponsive: an answer of it is overdue, so it may be gone.
		unresponsive bool
		lastSeen     cf.Millis
	}
)

// Outcomes of an attempt.
const (
	// Scored: the answer is the reward.
	Scored Outcome = iota
	// Failed: the target ran the call and says that it failed.
	Failed
	// Rejected: the target did not run the call.
	Rejected
	// NoAnswer: no answer, or none that counts.
	NoAnswer
	// Cancelled: the attempt was given up here.
	Cancelled
)

// Verdicts on a call.
const (
	// Continue: the call goes on, or is over already.
	Continue Verdict = iota
	// Accept: this answer scores the text.
	Accept
	// StopWaiting: the attempts that its route allows have failed.
	GiveUp
)

// DefaultLimits suit services whose answers take some hundred milliseconds. An
// answer of three times the mean is one in fifty, so few are asked for twice.
var DefaultLimits = Limits{
	CallerShare: 1.0 / 3, HedgeFactor: 3, MinHedgeDelay: 400, InitialBackoff: 50, MaxBackoff: 1600, MaxErrors: 3,
}

// maxInFlight is how many targets work on one call at once.
const maxInFlight = 2

// forgetAfter drops what is known of targets that are not heard of any more.
const forgetAfter cf.Millis = 60000

// New returns a planner without calls.
func New(limits Limits) *Planner {
	return &Planner{
		limits: limits, balancer: cfbalance.New(), calls: map[cf.ItemID]*Call{}, targets: map[cf.InstanceID]*targetState{},
	}
}

// Add takes the reward call of an item whose text is complete.
func (p *Planner) Add(b *cfbatch.Batch, item cf.Item, now cf.Millis) {
	if old := p.calls[item.ID]; old != nil {
		old.finished = true // its batch was ended, and another asks for the item
	}
	p.calls[item.ID] = &Call{Batch: b, Item: item, addedAt: now, failedAt: map[cf.InstanceID]bool{}}
}

// Len counts the calls that are not over.
func (p *Planner) Len() int { return len(p.calls) }

// DropBatch ends the calls of a batch and returns them.
func (p *Planner) DropBatch(id cf.BatchID) []*Call {
	return p.drop(func(c *Call) bool { return c.Batch.Sub.ID == id })
}

// DropListed ends the calls whose items are listed by now, by another
// coordinator, and returns them.
func (p *Planner) DropListed() []*Call {
	return p.drop(func(c *Call) bool { return c.Batch.Listed(c.Item.ID) })
}

// Expire ends the calls of batches that have waited for longer than their route
// allows, as of the wall clock, and returns them.
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

// Attempts returns the attempts of a call that are under way.
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
			// Calls that were sent before may not go everywhere; of the
			// others, if one finds no target, none does.
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

// prioritized returns the calls in the order in which they are sent: those that wait
// before second attempts, the batches accepted first before others, the groups
// that lack least before others.
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

// needsHedge says whether a call that is under way should be asked for elsewhere.
func (p *Planner) needsHedge(c *Call, now cf.Millis) bool {
	return !p.limits.DisableHedging && len(c.inFlight) < maxInFlight && p.late(c.inFlight[0], now)
}

// late says whether an attempt has taken much longer than usual.
func (p *Planner) late(a *Attempt, now cf.Millis) bool {
	usual := p.balancer.Throughput([]cf.Target{a.Target}, now).ServiceTime
	return now-a.StartedAt >= max(cf.Millis(usual*p.limits.HedgeFactor), p.limits.MinHedgeDelay)
}

// markUnresponsive notes the targets that owe an answer: until it comes, or is given
// up, they get nothing more. A target that takes calls and says nothing would
// otherwise take all of its slots' worth of them.
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

// choose returns the target that should answer a call soonest, of those that
// have room for it.
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
	return p.balancer.Choose(candidates, nil, goldenRatioFraction(p.draws), now) // it failed everywhere
}

// goldenRatioFraction spreads successive numbers evenly over [0, 1), by the golden ratio.
func goldenRatioFraction(n uint32) float64 { return float64(n*2654435769) / (1 << 32) }

// sentTo says whether a target works on the call.
func (c *Call) sentTo(id cf.InstanceID) bool {
	return slices.ContainsFunc(c.inFlight, func(a *Attempt) bool { return a.Target.ID == id })
}

func (p *Planner) hasRoom(t cf.Target, now cf.Millis) bool {
	s := p.state(t)
	s.lastSeen = now
	return !s.unresponsive && now >= s.retryAt && s.inFlight < min(int(s.limit), p.maxCalls(t))
}

// maxCalls is how many calls a target gets at once, at least one.
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

// Done takes the end of an attempt.
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
		c.retryAt = now + p.limits.InitialBackoff.Doubled(c.unanswered, p.limits.MaxBackoff)
		c.unanswered++
	}
	return Continue
}

func (p *Planner) finish(c *Call) {
	c.finished = true
	delete(p.calls, c.Item.ID)
}

// updateTarget learns from the end of an attempt what its target takes: a call more at
// a time for each round of answers, half as many after a refusal, and one to
// try with after a loss.
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
	s.retryAt = now + p.limits.InitialBackoff.Doubled(s.misses, p.limits.MaxBackoff)
	s.misses++
}

func (p *Planner) prune(now cf.Millis) {
	for id, s := range p.targets {
		if s.inFlight <= 0 && now-s.lastSeen > forgetAfter {
			delete(p.targets, id)
		}
	}
}
