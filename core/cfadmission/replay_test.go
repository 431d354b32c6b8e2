package cfadmission_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	cf "currantford"
	"currantford/core/cfadmission"
	"currantford/core/cfbalance"
	"currantford/core/cfsite"
)

const (
	objective cf.Millis = 150
	// callerWay and targetWay are one way each, in ms.
	callerWay, targetWay = 6.0, 1.0
	slots, room          = 6, 24
	// unlisted is how long after its loss a target leaves the instance list, back when it is
	// there again, and listed how long after that it is in the list.
	unlisted, back, listed = 2000.0, 6000.0, 300.0
	// processing is an instance's own time for each way, in the mean.
	processing = 2.0
)

type (
	event struct {
		at float64
		do func()
	}

	// phase is a span in which organisations send at a rate per second.
	phase struct {
		until float64
		rate  func(org int) float64
	}

	// load is what is replayed.
	load struct {
		orgs, instances, targets int
		work                     float64   // mean time of an answer, ms
		tailPart, tailTimes      float64   // a part of the answers takes so many times as long
		deadline                 cf.Millis // what callers wait
		phases                   []phase
		lostAt                   float64 // when target 0 is lost, zero for never
		silent                   bool    // its connections hang instead of being refused
		noHeader                 bool
		off                      bool // decision switched off
		seed                     uint64
		// near is how many of the instances the callers use, zero for all.
		near int
		// ranks is how many priorities the organisations are spread over, zero for one.
		ranks int
		// shared machines are 2.5 times as slow for 15% of the time, redrawn each 600 ms.
		shared bool
	}

	// tally is what came of requests, by when the caller first asked.
	tally struct {
		asked, inTime, late, failed int
		slowest                     float64 // refusal, ms
		took                        float64 // of those in time, sum
	}

	target struct {
		busy  int
		slow  float64 // times the usual work
		queue []func()
		dead  bool
		lost  []func() // ends of the requests that it holds
	}

	instance struct {
		admission *cfadmission.Controller
		balancer  *cfbalance.Balancer
		returns   *cfbalance.RetryScheduler
	}

	replay struct {
		load
		now       float64
		events    []event
		random    *rand.Rand
		servers   []*target
		listed    []cf.Target
		instances []*instance
		byOrg     []tally
		// byPhase is tallied by the phase of the first ask.
		byPhase []tally
	}

	// call is one attempt of a caller at an instance.
	call struct {
		r          *replay
		in         *instance
		org, phase int
		first      float64 // when the caller first asked
		received   cf.Millis
		again      bool
		attempts   *cfbalance.Attempts
		tried      map[cf.InstanceID]bool
		full       map[cf.InstanceID]bool // did not run it
		pending    int
		over       bool
		hedged     bool
	}
)

// at puts an event in its place of the queue, which is sorted by time, the latest first.
func (r *replay) at(ms float64, do func()) {
	i, _ := slices.BinarySearchFunc(r.events, ms, func(e event, at float64) int { return cmp.Compare(at, e.at) })
	r.events = slices.Insert(r.events, i, event{ms, do})
}

func (r *replay) after(ms float64, do func()) { r.at(r.now+ms, do) }
func (r *replay) clock() cf.Millis            { return cf.Millis(r.now) + 100000 }

// play replays a load and returns its tallies by organisation and by phase.
func play(l load) *replay {
	r := &replay{load: l, random: rand.New(rand.NewPCG(l.seed, 9)), byOrg: make([]tally, l.orgs), byPhase: make([]tally, len(l.phases))}
	for i := range l.targets {
		r.servers = append(r.servers, &target{slow: 1})
		r.listed = append(r.listed, cf.Target{ID: cf.InstanceID(rune('a' + i)), Service: "s", Slots: slots})
	}
	for range l.instances {
		r.instances = append(r.instances, &instance{cfadmission.New(), cfbalance.New(), cfbalance.NewRetryScheduler()})
	}
	begin := 0.0
	for n, p := range l.phases {
		for org := range l.orgs {
			if rate := p.rate(org); rate > 0 {
				for at := begin; ; {
					if at += r.random.ExpFloat64() * 1000 / rate; at >= p.until {
						break
					}
					r.at(at, func() { r.ask(org, n) })
				}
			}
		}
		begin = p.until
	}
	if l.lostAt > 0 {
		r.at(l.lostAt, r.lose)
		r.at(l.lostAt+unlisted, func() { r.listed = slices.Clone(r.listed[1:]) })
		r.at(l.lostAt+back, func() { *r.servers[0] = target{slow: 1} })
		r.at(l.lostAt+back+listed, func() { r.listed = append([]cf.Target{{ID: "a", Service: "s", Slots: slots}}, r.listed...) })
	}
	if l.shared {
		r.at(0, r.redraw)
	}
	for len(r.events) > 0 {
		e := r.events[len(r.events)-1]
		r.events = r.events[:len(r.events)-1]
		r.now = e.at
		e.do()
	}
	return r
}

func (r *replay) redraw() {
	for _, s := range r.servers {
		if s.slow = 1; r.random.Float64() < 0.15 {
			s.slow = 2.5
		}
	}
	if r.now < r.phases[len(r.phases)-1].until {
		r.after(600, r.redraw)
	}
}

func (r *replay) lose() {
	s := r.servers[0]
	s.dead = true
	if !r.silent {
		for _, end := range s.lost {
			r.after(targetWay, end)
		}
	}
	s.lost, s.queue = nil, nil
}

func (r *replay) ask(org, phase int) {
	r.byOrg[org].asked++
	r.byPhase[phase].asked++
	r.call(org, phase, r.now, false)
}

// call is a caller's attempt at an instance of its choice.
func (r *replay) call(org, phase int, first float64, again bool) {
	n := r.load.instances
	if r.near > 0 {
		n = r.near
	}
	// Callers of one failure domain, a third of the instances, are twice as many.
	at := r.random.IntN(n + n/3)
	in := r.instances[at%n]
	r.after(callerWay, func() {
		left := r.deadline - cf.Millis(r.now-callerWay-first)
		route := cfsite.Route{Kind: cfsite.KindIdempotent, MaxAttempts: 3, SLO: objective}
		c := &call{r: r, in: in, org: org, phase: phase, first: first, again: again, received: r.clock(),
			attempts: cfbalance.NewAttempts(route, r.clock()+left), tried: map[cf.InstanceID]bool{}, full: map[cf.InstanceID]bool{}}
		c.look(false)
	})
}

func (c *call) tally(f func(*tally)) {
	f(&c.r.byOrg[c.org])
	f(&c.r.byPhase[c.phase])
}

// look seeks a target, as io/cfingress does.
func (c *call) look(hedge bool) {
	r, now := c.r, c.r.clock()
	if c.over || !c.attempts.MaySend(now) {
		c.end()
		return
	}
	if r.off {
		c.choose(nil)
		return
	}
	must := c.attempts.MayHaveRun()
	if must && !hedge {
		cfadmission.ReopenTargets(r.listed, c.tried, c.full)
	}
	if hedge && !c.in.admission.MayHedge("s", now) || !hedge && len(c.tried) > 0 && !c.in.admission.MayRetry("s", must, now) {
		c.end()
		return
	}
	t := c.in.admission.Enter(cfadmission.Request{
		Service: "s", Class: cfadmission.Class{Organisation: cf.Organisation(rune('A' + c.org)), Priority: c.org % max(r.ranks, 1)}, Targets: r.listed, Tried: c.tried,
		Instances: len(r.instances), Objective: objective, Spent: r.deadline - (c.attempts.Remaining(now) + now - c.received), Arrived: c.received,
		Deadline: now + c.attempts.Remaining(now), Resubmitted: c.again, Retry: len(c.tried) > 0, MayHaveRun: must, NoWait: hedge,
	}, now)
	c.poll(t, hedge)
}

func (c *call) poll(t *cfadmission.Ticket, hedge bool) {
	r, now := c.r, c.r.clock()
	v := c.in.admission.Poll(t, now)
	switch {
	case v.State == cfadmission.Send:
		c.choose(t)
	case v.State == cfadmission.Wait && !hedge:
		r.after(max(float64(v.Until-now), 0.5), func() { c.poll(t, hedge) })
	default:
		c.in.admission.Cancel(t)
		c.end()
	}
}

func (c *call) choose(t *cfadmission.Ticket) {
	r, now := c.r, c.r.clock()
	avoid := map[cf.InstanceID]bool{}
	for _, x := range r.listed {
		if c.tried[x.ID] || t != nil && c.in.admission.Excluded(t, x.ID, now) {
			avoid[x.ID] = true
		}
	}
	to, ok := c.in.balancer.Choose(r.listed, avoid, r.random.Float64(), now)
	if !ok {
		if t != nil {
			c.in.admission.Cancel(t)
		}
		c.end()
		return
	}
	c.tried[to.ID] = true
	c.attempts.Sent()
	c.in.balancer.Sent(to.ID)
	if t != nil {
		c.in.admission.Sent(t, to.ID, now)
	}
	c.pending++
	sent := now
	r.after(targetWay+processing*r.random.ExpFloat64(), func() {
		r.serve(r.servers[to.ID[0]-'a'], func(a cf.TargetAnswer, err error) {
			r.after(targetWay+processing*r.random.ExpFloat64(), func() { c.take(to.ID, a, err, r.clock()-sent) })
		})
	})
	if after, ok := c.attempts.HedgeAfter(); ok && !c.hedged && c.pending == 1 {
		r.after(float64(after), func() {
			if !c.over && c.pending == 1 && !c.hedged && c.attempts.MaySend(r.clock()) {
				c.hedged = true
				c.look(true)
			}
		})
	}
}

// serve runs a request at a target.
func (r *replay) serve(s *target, end func(cf.TargetAnswer, error)) {
	answer := func(status int) cf.TargetAnswer {
		a := cf.TargetAnswer{Status: status, NotRun: status == 503}
		if !r.noHeader {
			a.Load = &cf.TargetLoad{Running: s.busy, Waiting: len(s.queue), Slots: slots}
		}
		return a
	}
	switch {
	case s.dead && r.silent:
		return
	case s.dead:
		end(cf.TargetAnswer{}, cf.ErrNotRun)
		return
	case s.busy >= slots && len(s.queue) >= room:
		end(answer(503), nil)
		return
	}
	s.lost = append(s.lost, func() { end(cf.TargetAnswer{}, cf.ErrMaybeRan) })
	at := len(s.lost) - 1
	run := func() {
		s.busy++
		const sigma = 0.5 // of the logarithm of work
		took := s.slow * r.work / (1 + (r.tailTimes-1)*r.tailPart) * math.Exp(sigma*r.random.NormFloat64()-sigma*sigma/2)
		if r.random.Float64() < r.tailPart {
			took *= r.tailTimes
		}
		r.after(took, func() {
			if s.dead {
				return
			}
			s.busy--
			s.lost[at] = func() {}
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			end(answer(200), nil)
		})
	}
	if s.busy < slots {
		run()
	} else {
		s.queue = append(s.queue, run)
	}
}

// take is the end of a send at the instance.
func (c *call) take(id cf.InstanceID, a cf.TargetAnswer, err error, took cf.Millis) {
	now := c.r.clock()
	c.pending--
	outcome, good := c.attempts.Classify(a, err)
	if c.over {
		outcome = cfbalance.Abandoned
	}
	c.in.balancer.Done(id, outcome, a.Load, took, now)
	if !c.r.off {
		c.in.admission.Done("s", id, cfadmission.Result{Outcome: cfadmission.OutcomeOf(outcome, a.Status, err), Load: a.Load, Took: took, Status: a.Status}, now)
	}
	if outcome == cfbalance.NotRun || outcome == cfbalance.Unreached {
		c.full[id] = true
	}
	switch {
	case c.over:
	case good:
		c.over = true
		spent := c.r.now + callerWay - c.first
		c.tally(func(t *tally) {
			switch {
			case spent <= float64(objective):
				t.inTime++
				t.took += spent
			case spent <= float64(c.r.deadline):
				t.late++
			default:
				t.failed++
			}
		})
	case c.pending == 0:
		c.look(false)
	}
}

// end is a call for which nothing is under way or left.
func (c *call) end() {
	if c.over || c.pending > 0 {
		return
	}
	c.over = true
	r, now := c.r, c.r.clock()
	if c.attempts.MayHaveRun() {
		c.tally(func(t *tally) { t.failed++ })
		return
	}
	c.tally(func(t *tally) { t.slowest = max(t.slowest, float64(now-c.received)) })
	if c.again {
		return
	}
	tp := c.in.balancer.Throughput(r.listed, now)
	if perMs, w := c.in.admission.Throughput("s", now); perMs > 0 {
		tp = cfbalance.Throughput{PerMs: perMs, ServiceTime: w}
	}
	after := float64(c.in.returns.RetryAfter("s", tp, len(r.instances), c.attempts.Remaining(now), now))
	r.after(callerWay+min(after, float64(c.attempts.Remaining(now))/3), func() { r.call(c.org, c.phase, c.first, true) })
}
