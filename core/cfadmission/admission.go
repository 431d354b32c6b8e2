// Package cfadmission decides when a plain request may be sent to a target that other
// instances use too, how long it may wait for that, and which one goes first. It makes no
// calls and has no clock of its own.
//
// The load it answers: fifty instances before three targets of six slots and a queue of 24,
// and for some seconds ninety times the usual requests. The queues of the targets hold a
// request longer than callers want to wait for its answer, so that half of what is answered
// is late, and an instance that only counts what it has in flight can't hold back: its part
// of a target is a quarter of one request. Each instance therefore paces its sends by the
// queue that the targets show in their load header, divides its pace among organisations,
// and refuses at once what can't be in time.
//
// Nothing is limited until a target says that requests wait, or refuses one.
//
// Usage:
//
//	c := cfadmission.New()
//	t := c.Enter(ask, now)
//	v := c.Poll(t, now) // again at v.Until, while v.State is Wait
//	c.Sent(t, target, now) // or c.Leave(t)
//	c.Done(service, target, end, now)
package cfadmission

import (
	"math"
	"sync"

	cf "currantford"
)

type (
	// Request is a request that looks for a target.
	Request struct {
		Service cf.ServiceName
		Class   Class
		// Targets are the service's targets; the slice is not changed afterwards.
		// Tried are those that get the request no more.
		Targets []cf.Target
		Tried   map[cf.InstanceID]bool
		// Instances is how many share the targets.
		Instances int
		// Objective is the time in which an answer is worth most, Spent what the caller had
		// used of it before the request arrived here.
		Objective, Spent cf.Millis
		Arrived          cf.Millis
		// Deadline is the Uptime by which it must be answered.
		Deadline cf.Millis
		// Resubmitted: the caller was told to come back. Retry: a target has had the request already,
		// so that sending it, as a retry or a hedge, spends from the retry budget.
		Resubmitted, Retry bool
		// MayHaveRun: it may have run, so that it can't be refused any more.
		MayHaveRun bool
		// NoWait: it is refused where it would have to wait, as a hedge is.
		NoWait bool
	}

	// State is what a request is to do.
	State int

	// Decision is what was decided, and what decided it.
	Decision struct {
		State State
		// Until is when to ask again, for State Wait.
		Until  cf.Millis
		Reason Reason
		// Limited says that the limits act; Waiting is how many requests wait here.
		Limited bool
		Waiting int
		// SendPerS is what this instance sends to the service per second, DemandPerS what the
		// request's organisation asks for, and SharePerS what it is allowed of that, zero
		// while it may have all.
		SendPerS, DemandPerS, SharePerS float64
	}

	// Reason is why a request was refused.
	Reason string

	// Ticket is a request's place in the queue.
	Ticket struct {
		ask     Request
		service *service
		share   *share
		n       int64
		queued  bool
		evicted bool
		// held is the limit whose token the ticket has, until it is sent or leaves.
		held *limit
	}

	// Controller limits what an instance sends. It is safe for concurrent use.
	Controller struct {
		mu       sync.Mutex
		services map[cf.ServiceName]*service
		n        int64
	}

	service struct {
		limits map[cf.InstanceID]*limit
		times  times
		// quickest is the least time in ms in which a target should answer, by the last look.
		quickest float64
		// candidates are those of the last ask, ordered are their limits.
		candidates  []cf.Target
		ordered     []*limit
		lists       int // counts changes of the candidates
		instances   int
		objective   cf.Millis
		objectiveAt cf.Millis // as of when
		shares      *shares
		queue       []*Ticket
		budget      budget
		// until is the latest end of a target's limit, heldBackAt when a request was last kept back.
		until, heldBackAt cf.Millis
	}
)

// States of a request.
const (
	Send State = iota
	Wait
	Refuse
)

// Reasons of a refusal.
const (
	// NoCapacity: it can't be sent early enough to be in time.
	NoCapacity Reason = "the service is full"
	// OverShare is the same for an organisation over its share.
	OverShare Reason = "the service is full, and the organisation over its share"
	// TooLate: its objective has passed already, and there is no room to spare.
	TooLate Reason = "the service is full, and an answer would be late"
	// QueueFull: too many requests wait.
	QueueFull Reason = "the service and the queue before it are full"
	// TargetsRefused: each target has refused it.
	TargetsRefused Reason = "no target has room"
	// NoRetryBudget: a target did not run it, and it may not be sent to another.
	NoRetryBudget Reason = "the service is full, and the retry budget spent"
)

const (
	// networkTime is what an answer needs beside the target's time, there and back.
	networkTime cf.Millis = 15
	// refusalPart is the part of the objective within which a caller hears of a refusal,
	// less refusalTime, which a target's refusal after a wait takes.
	refusalPart           = 4
	refusalTime cf.Millis = 9
	// maxQueued bounds the queue. At a refusal within 37 ms it is only reached from some
	// two thousand requests per second on.
	maxQueued = 64
	// mostWait bounds an estimate of a wait that is never reached, in ms.
	mostWait = 1e6
	// minPoll spaces the looks of a waiting request.
	minPoll cf.Millis = 2
	// mustPoll spaces the looks of one that can't be refused, and waits for a target that
	// is less full.
	mustPoll cf.Millis = 10
	// heldBackSpan is how long a request that was kept back shows that this instance has
	// more to send than it may.
	heldBackSpan cf.Millis = 500
	// lateSpan is for how many objectives nothing that could be in time may have been kept
	// back here, and lateLevel what more than usual must be left over, before a request is
	// sent that will be late: in a flood of twice what there is, an instance keeps back a
	// dozen a second.
	lateSpan  = 2
	lateLevel = 0.9
	// idleSpan is how long a target's load report of a free slot counts for those.
	idleSpan cf.Millis = 50
	// rankLevel is by how much the level of each further priority is higher, mostNeed bounds it.
	rankLevel, mostNeed = 1.2, 1.9
	// againLevel lets callers that have come back go a little before new ones.
	againLevel = 0.25
	// unheardLevel is the unused rate at a target that has not said how full it is.
	unheardLevel = -0.25
	// nearLevel is how much less unused rate a target may have than the one with most, to
	// be chosen for its other merits.
	nearLevel = 1.0
	// objectiveSpan is how long the shortest objective of a service's requests counts.
	objectiveSpan cf.Millis = 5000
	// forgetTarget drops a target that is not listed any more.
	forgetTarget cf.Millis = 60000
)

// need is the level of a target's bucket from which on requests of a tier are sent. Organisations
// under their share may borrow from the others' next sends: at a few sends a second for all, one
// that waits for its turn behind a large organisation's burst is not in time any more.
var need = [...]float64{underShare: -3, withinShare: 0, overShare: 1, noShare: 1.6}

// New returns a controller that knows nothing.
func New() *Controller { return &Controller{services: map[cf.ServiceName]*service{}} }

func (c *Controller) of(name cf.ServiceName) *service {
	s := c.services[name]
	if s == nil {
		s = &service{limits: map[cf.InstanceID]*limit{}, shares: newShares(), instances: 1, budget: budget{left: mostBudget}}
		c.services[name] = s
	}
	return s
}

func (s *service) limit(id cf.InstanceID, slots int) *limit {
	l := s.limits[id]
	if l == nil {
		l = &limit{id: id, slots: max(slots, 1), shareFactor: 1, slow: 1, times: &s.times}
		s.limits[id] = l
	}
	return l
}

// take notes the targets and the objective of an ask.
func (s *service) take(a Request, now cf.Millis) {
	if s.objective == 0 || a.Objective < s.objective || now-s.objectiveAt > objectiveSpan {
		s.objective = a.Objective
	}
	if s.times.answers == 0 {
		s.times.work = float64(a.Objective) / unknownWork
		s.times.spread = s.times.work / 2
	}
	if a.Objective == s.objective {
		s.objectiveAt = now
	}
	s.instances = max(a.Instances, 1)
	if len(a.Targets) == len(s.candidates) && (len(a.Targets) == 0 || &a.Targets[0] == &s.candidates[0]) {
		return
	}
	s.candidates, s.ordered = a.Targets, make([]*limit, len(a.Targets))
	s.lists++
	for i, t := range a.Targets {
		l := s.limit(t.ID, t.Slots)
		if t.Slots > 0 {
			l.slots = t.Slots // a send to a target that is not listed creates its limit without them
		}
		if l.list != s.lists-1 || l.born != t.Born {
			l.begin(t.Born)
		}
		l.list = s.lists
		s.ordered[i] = l
	}
	for id, l := range s.limits {
		if l.list != s.lists && l.sent <= 0 && now-l.ownAt > forgetTarget {
			delete(s.limits, id)
		}
	}
}

// Enter takes a request that looks for a target. Leave or Sent ends its ticket.
func (c *Controller) Enter(a Request, now cf.Millis) *Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(a.Service)
	s.take(a, now)
	c.n++
	x := s.shares.of(a.Class, now)
	if !a.Resubmitted && !a.Retry {
		x.ask(now)
	}
	return &Ticket{ask: a, service: s, share: x, n: c.n}
}

// Poll decides what a ticket's request is to do now.
func (c *Controller) Poll(t *Ticket, now cf.Millis) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := t.service
	if t.held != nil {
		return Decision{State: Send, Limited: true}
	}
	if now >= s.until {
		s.drop(t)
		return Decision{State: Send}
	}
	v := s.poll(t, now)
	v.Limited, v.Waiting, v.DemandPerS = true, len(s.queue), t.share.asked*1000
	if s.shares.contended && t.share.even {
		v.SharePerS = t.share.level * 1000
	}
	if v.State != Wait {
		s.drop(t)
	}
	if v.State != Send && !t.late(now) && !t.ask.NoWait {
		s.heldBackAt = now
	}
	return v
}

// look is what one pass over a service's targets shows.
type look struct {
	// best is the target with most unused rate that may get the request, nil for none; open
	// says that one is not limited.
	best *limit
	open bool
	// candidates counts those that the request has not been to; total is the rate of all
	// that are there.
	candidates int
	total      float64
}

// look passes over the targets, and notes the least time in which one should answer.
func (s *service) look(t *Ticket, now cf.Millis) look {
	var k look
	var late *limit // the same where an answer would be late
	quickest, left := math.Inf(1), t.left(now)
	for i, l := range s.ordered {
		tried := len(t.ask.Tried) > 0 && t.ask.Tried[s.candidates[i].ID]
		if !tried {
			k.candidates++
		}
		if l.unavailable(now) {
			continue
		}
		if !l.limited(now) {
			if now-l.reportedAt <= reportFresh {
				k.open = k.open || !tried
				continue
			}
			l.activate(s.objective, s.instances, now)
			l.until = min(l.until, s.until) // only a sign of fullness prolongs the limits
			l.pace(s.objective, s.instances)
			l.tokens = min(l.tokens, unheardLevel) // as all instances find it at once
		}
		l.fill(now)
		k.total += l.rate
		answer := l.answerTime(now)
		quickest = min(quickest, answer)
		if tried || now < l.held || l.sent >= l.bound || t.ask.MayHaveRun && l.nearFull(s.objective, now) {
			continue
		}
		if answer > left {
			late = higher(late, l)
			continue
		}
		k.best = higher(k.best, l)
	}
	if s.quickest = 0; k.total > 0 {
		s.quickest = quickest
	}
	if t.ask.MayHaveRun || t.late(now) {
		k.best = higher(late, k.best)
	}
	return k
}

// higher returns which of two limits has more unused rate; either may be nil.
func higher(a, b *limit) *limit {
	if a == nil || b != nil && b.tokens > a.tokens {
		return b
	}
	return a
}

// soonest returns in how many ms a target's unused rate comes to a level.
func (s *service) soonest(t *Ticket, level float64, now cf.Millis) float64 {
	soonest := math.Inf(1)
	for i, l := range s.ordered {
		if len(t.ask.Tried) > 0 && t.ask.Tried[s.candidates[i].ID] || l.unavailable(now) || l.sent >= l.bound || l.rate <= 0 {
			continue
		}
		soonest = min(soonest, max((level-l.tokens)/l.rate, float64(l.held-now), 0))
	}
	return soonest
}

// poll decides while the service is limited.
func (s *service) poll(t *Ticket, now cf.Millis) Decision {
	k := s.look(t, now)
	perS := k.total * 1000
	switch {
	case k.open:
		return Decision{State: Send}
	case k.candidates == 0:
		return Decision{State: Refuse, Reason: TargetsRefused, SendPerS: perS}
	case k.total == 0:
		return Decision{State: Send} // all are lost: a try is better than a refusal
	}
	s.shares.divide(k.total, now)
	wanted := t.need(now)
	ahead, blocked := s.ahead(t, k.best, now)
	if k.best != nil && k.best.tokens >= wanted && !blocked && !t.evicted {
		k.best.tokens--
		t.held = k.best
		return Decision{State: Send, SendPerS: perS}
	}
	at := now + max(cf.Millis(min(s.soonest(t, wanted, now)+float64(ahead)/k.total, mostWait)), minPoll)
	last := t.last(now)
	if t.ask.MayHaveRun {
		if now >= last {
			return Decision{State: Send} // a try is better than a failure
		}
		at = min(at, now+mustPoll, last)
	}
	if t.evicted || at > last {
		return Decision{State: Refuse, Reason: t.reason(now), SendPerS: perS}
	}
	if t.ask.NoWait {
		return Decision{State: Refuse, Reason: NoCapacity, SendPerS: perS}
	}
	if !t.queued {
		s.push(t, now)
	}
	return Decision{State: Wait, Until: min(at, last), SendPerS: perS}
}

// Excluded says whether a request that may be sent can't go to a target now.
func (c *Controller) Excluded(t *Ticket, id cf.InstanceID, now cf.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := t.service.limits[id]
	switch {
	case t.held == nil || l == nil || l == t.held:
		return false
	case l.unavailable(now) || now < l.held || l.sent >= l.bound && l.limited(now):
		return true
	case !t.ask.MayHaveRun && !t.late(now) && l.answerTime(now) > t.left(now):
		return true
	}
	return l.limited(now) && l.tokens < t.held.tokens+1-nearLevel
}

// Sent ends a ticket: its request goes to a target.
func (c *Controller) Sent(t *Ticket, id cf.InstanceID, now cf.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := t.service
	l := s.limit(id, 1)
	if t.held != nil && t.held != l {
		t.held.tokens++
	}
	if t.held != l && l.limited(now) {
		l.fill(now)
		l.tokens--
	}
	t.held = nil
	s.drop(t)
	l.started(now)
	t.share.serve(now)
	if t.ask.Retry {
		s.budget.spend(t.ask.MayHaveRun || now < s.until)
	} else {
		s.budget.earn(now < s.until)
	}
}

// Cancel ends a ticket whose request is not sent.
func (c *Controller) Cancel(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.held != nil {
		t.held.tokens++
		t.held = nil
	}
	t.service.drop(t)
}

// Done takes the end of a send; acts says that the service's limits begin to act with it.
func (c *Controller) Done(name cf.ServiceName, id cf.InstanceID, e Result, now cf.Millis) (acts bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(name)
	l := s.limit(id, 1)
	l.ended(e, s.objective, s.instances, now-s.heldBackAt <= heldBackSpan, now)
	acts = now >= s.until && now < l.until
	s.until = max(s.until, l.until)
	return acts
}

// Throughput returns what all instances together may send to a service per ms, and the mean
// time of an answer; zero while nothing is limited.
func (c *Controller) Throughput(name cf.ServiceName, now cf.Millis) (perMs, work float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(name)
	if now >= s.until {
		return 0, 0
	}
	for _, l := range s.ordered {
		if l.failures == 0 {
			perMs += l.rate * float64(s.instances)
		}
	}
	return perMs, s.times.work
}
