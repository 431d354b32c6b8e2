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
	// callerDelay and targetDelay are the one-way network delays in ms.
	callerDelay, targetDelay = 6.0, 1.0
	slots, queueCapacity     = 6, 24
	// A lost target leaves the instance list after unlistedAfter, runs again after restartedAfter,
	// and is listed again listedAfter later, in ms.
	unlistedAfter, restartedAfter, listedAfter = 2000.0, 6000.0, 300.0
	// processingTime is the mean time that an instance needs per direction, in ms.
	processingTime = 2.0
)

type (
	event struct {
		at float64
		do func()
	}

	// phase is a time span with a request rate per second for each organisation.
	phase struct {
		until float64
		rate  func(org int) float64
	}

	// scenario is what is simulated.
	scenario struct {
		orgs, instances, targets int
		answerTime               float64   // mean, ms
		tailFraction, tailFactor float64   // a fraction of the answers takes tailFactor times as long
		deadline                 cf.Millis // how long callers wait
		phases                   []phase
		lostAt                   float64 // when target 0 is lost, zero for never
		hangs                    bool    // connections to the lost target hang instead of being refused
		noHeader                 bool
		disabled                 bool // no admission control
		seed                     uint64
		// usedInstances is the number of instances that callers use, zero for all.
		usedInstances int
		// priorities is the number of priorities among the organisations, zero for one.
		priorities int
		// sharedMachines makes targets 2.5 times as slow for 15% of the time, drawn anew every 600
		// ms.
		sharedMachines bool
	}

	// counts are the results of requests.
	counts struct {
		asked, inTime, late, failed int
		slowestRefusal              float64 // ms until the caller was refused
		answerTimes                 float64 // sum over the answers in time
	}

	target struct {
		busy     int
		slowdown float64 // factor on the service time
		queue    []func()
		down     bool
		onLoss   []func() // fails the requests that the target holds
	}

	instance struct {
		admission *cfadmission.Controller
		balancer  *cfbalance.Balancer
		retries   *cfbalance.RetryScheduler
	}

	simulation struct {
		scenario
		now       float64
		events    []event
		random    *rand.Rand
		servers   []*target
		listed    []cf.Target
		instances []*instance
		byOrg     []counts
		// byPhase is counted by the phase in which the caller first asked.
		byPhase []counts
	}

	// call is one attempt of a caller at an instance.
	call struct {
		r           *simulation
		entry       *instance
		org, phase  int
		firstAsked  float64 // when the caller first asked
		received    cf.Millis
		resubmitted bool
		attempts    *cfbalance.Attempts
		tried       map[cf.InstanceID]bool
		notRun      map[cf.InstanceID]bool // targets that did not run the request
		pending     int
		done        bool
		hedged      bool
	}
)

// schedule inserts an event. Events are sorted by time, the latest first.
func (r *simulation) schedule(ms float64, do func()) {
	i, _ := slices.BinarySearchFunc(r.events, ms, func(e event, at float64) int { return cmp.Compare(at, e.at) })
	r.events = slices.Insert(r.events, i, event{ms, do})
}

func (r *simulation) scheduleAfter(ms float64, do func()) { r.schedule(r.now+ms, do) }
func (r *simulation) clock() cf.Millis                    { return cf.Millis(r.now) + 100000 }

// simulate runs a scenario and counts its results by organisation and by phase.
func simulate(l scenario) *simulation {
	r := &simulation{scenario: l, random: rand.New(rand.NewPCG(l.seed, 9)), byOrg: make([]counts, l.orgs), byPhase: make([]counts, len(l.phases))}
	for i := range l.targets {
		r.servers = append(r.servers, &target{slowdown: 1})
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
					r.schedule(at, func() { r.arrive(org, n) })
				}
			}
		}
		begin = p.until
	}
	if l.lostAt > 0 {
		r.schedule(l.lostAt, r.loseTarget)
		r.schedule(l.lostAt+unlistedAfter, func() { r.listed = slices.Clone(r.listed[1:]) })
		r.schedule(l.lostAt+restartedAfter, func() { *r.servers[0] = target{slowdown: 1} })
		r.schedule(l.lostAt+restartedAfter+listedAfter, func() { r.listed = append([]cf.Target{{ID: "a", Service: "s", Slots: slots}}, r.listed...) })
	}
	if l.sharedMachines {
		r.schedule(0, r.redrawSlowdowns)
	}
	for len(r.events) > 0 {
		e := r.events[len(r.events)-1]
		r.events = r.events[:len(r.events)-1]
		r.now = e.at
		e.do()
	}
	return r
}

func (r *simulation) redrawSlowdowns() {
	for _, s := range r.servers {
		if s.slowdown = 1; r.random.Float64() < 0.15 {
			s.slowdown = 2.5
		}
	}
	if r.now < r.phases[len(r.phases)-1].until {
		r.scheduleAfter(600, r.redrawSlowdowns)
	}
}

func (r *simulation) loseTarget() {
	s := r.servers[0]
	s.down = true
	if !r.hangs {
		for _, end := range s.onLoss {
			r.scheduleAfter(targetDelay, end)
		}
	}
	s.onLoss, s.queue = nil, nil
}

func (r *simulation) arrive(org, phase int) {
	r.byOrg[org].asked++
	r.byPhase[phase].asked++
	r.call(org, phase, r.now, false)
}

// call sends a caller's request to a random instance.
func (r *simulation) call(org, phase int, first float64, again bool) {
	n := r.scenario.instances
	if r.usedInstances > 0 {
		n = r.usedInstances
	}
	// The callers of one failure domain, with a third of the instances, are twice as many.
	at := r.random.IntN(n + n/3)
	in := r.instances[at%n]
	r.scheduleAfter(callerDelay, func() {
		left := r.deadline - cf.Millis(r.now-callerDelay-first)
		route := cfsite.Route{Kind: cfsite.KindIdempotent, MaxAttempts: 3, SLO: objective}
		c := &call{r: r, entry: in, org: org, phase: phase, firstAsked: first, resubmitted: again, received: r.clock(),
			attempts: cfbalance.NewAttempts(route, r.clock()+left), tried: map[cf.InstanceID]bool{}, notRun: map[cf.InstanceID]bool{}}
		c.findTarget(false)
	})
}

func (c *call) count(f func(*counts)) {
	f(&c.r.byOrg[c.org])
	f(&c.r.byPhase[c.phase])
}

// findTarget seeks a target in the same way as io/cfingress.
func (c *call) findTarget(hedge bool) {
	r, now := c.r, c.r.clock()
	if c.done || !c.attempts.MaySend(now) {
		c.finish()
		return
	}
	if r.disabled {
		c.send(nil)
		return
	}
	must := c.attempts.MayHaveRun()
	if must && !hedge {
		cfadmission.ReopenTargets(r.listed, c.tried, c.notRun)
	}
	if hedge && !c.entry.admission.MayHedge("s", now) || !hedge && len(c.tried) > 0 && !c.entry.admission.MayRetry("s", must, now) {
		c.finish()
		return
	}
	t := c.entry.admission.Enter(cfadmission.Request{
		Service: "s", Class: cfadmission.Class{Organisation: cf.Organisation(rune('A' + c.org)), Priority: c.org % max(r.priorities, 1)}, Targets: r.listed, Tried: c.tried,
		Instances: len(r.instances), Objective: objective, Spent: r.deadline - (c.attempts.Remaining(now) + now - c.received), Arrived: c.received,
		Deadline: now + c.attempts.Remaining(now), Resubmitted: c.resubmitted, Retry: len(c.tried) > 0, MayHaveRun: must, NoWait: hedge,
	}, now)
	c.poll(t, hedge)
}

func (c *call) poll(t *cfadmission.Ticket, hedge bool) {
	r, now := c.r, c.r.clock()
	v := c.entry.admission.Poll(t, now)
	switch {
	case v.State == cfadmission.Send:
		c.send(t)
	case v.State == cfadmission.Wait && !hedge:
		r.scheduleAfter(max(float64(v.Until-now), 0.5), func() { c.poll(t, hedge) })
	default:
		c.entry.admission.Cancel(t)
		c.finish()
	}
}

func (c *call) send(t *cfadmission.Ticket) {
	r, now := c.r, c.r.clock()
	avoid := map[cf.InstanceID]bool{}
	for _, x := range r.listed {
		if c.tried[x.ID] || t != nil && c.entry.admission.Excluded(t, x.ID, now) {
			avoid[x.ID] = true
		}
	}
	to, ok := c.entry.balancer.Choose(r.listed, avoid, r.random.Float64(), now)
	if !ok {
		if t != nil {
			c.entry.admission.Cancel(t)
		}
		c.finish()
		return
	}
	c.tried[to.ID] = true
	c.attempts.Sent()
	c.entry.balancer.Sent(to.ID)
	if t != nil {
		c.entry.admission.Sent(t, to.ID, now)
	}
	c.pending++
	sent := now
	r.scheduleAfter(targetDelay+processingTime*r.random.ExpFloat64(), func() {
		r.serve(r.servers[to.ID[0]-'a'], func(a cf.TargetAnswer, err error) {
			r.scheduleAfter(targetDelay+processingTime*r.random.ExpFloat64(), func() { c.receive(to.ID, a, err, r.clock()-sent) })
		})
	})
	if after, ok := c.attempts.HedgeAfter(); ok && !c.hedged && c.pending == 1 {
		r.scheduleAfter(float64(after), func() {
			if !c.done && c.pending == 1 && !c.hedged && c.attempts.MaySend(r.clock()) {
				c.hedged = true
				c.findTarget(true)
			}
		})
	}
}

// serve runs a request at a target.
func (r *simulation) serve(s *target, end func(cf.TargetAnswer, error)) {
	answer := func(status int) cf.TargetAnswer {
		a := cf.TargetAnswer{Status: status, NotRun: status == 503}
		if !r.noHeader {
			a.Load = &cf.TargetLoad{Running: s.busy, Waiting: len(s.queue), Slots: slots}
		}
		return a
	}
	switch {
	case s.down && r.hangs:
		return
	case s.down:
		end(cf.TargetAnswer{}, cf.ErrNotRun)
		return
	case s.busy >= slots && len(s.queue) >= queueCapacity:
		end(answer(503), nil)
		return
	}
	s.onLoss = append(s.onLoss, func() { end(cf.TargetAnswer{}, cf.ErrMaybeRan) })
	at := len(s.onLoss) - 1
	run := func() {
		s.busy++
		const sigma = 0.5 // standard deviation of the logarithm of the service time
		took := s.slowdown * r.answerTime / (1 + (r.tailFactor-1)*r.tailFraction) * math.Exp(sigma*r.random.NormFloat64()-sigma*sigma/2)
		if r.random.Float64() < r.tailFraction {
			took *= r.tailFactor
		}
		r.scheduleAfter(took, func() {
			if s.down {
				return
			}
			s.busy--
			s.onLoss[at] = func() {}
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

// receive processes the result of a send at the instance.
func (c *call) receive(id cf.InstanceID, a cf.TargetAnswer, err error, took cf.Millis) {
	now := c.r.clock()
	c.pending--
	outcome, good := c.attempts.Classify(a, err)
	if c.done {
		outcome = cfbalance.Abandoned
	}
	c.entry.balancer.Done(id, outcome, a.Load, took, now)
	if !c.r.disabled {
		c.entry.admission.Done("s", id, cfadmission.Result{Outcome: cfadmission.OutcomeOf(outcome, a.Status, err), Load: a.Load, Took: took, Status: a.Status}, now)
	}
	if outcome == cfbalance.NotRun || outcome == cfbalance.Unreached {
		c.notRun[id] = true
	}
	switch {
	case c.done:
	case good:
		c.done = true
		spent := c.r.now + callerDelay - c.firstAsked
		c.count(func(t *counts) {
			switch {
			case spent <= float64(objective):
				t.inTime++
				t.answerTimes += spent
			case spent <= float64(c.r.deadline):
				t.late++
			default:
				t.failed++
			}
		})
	case c.pending == 0:
		c.findTarget(false)
	}
}

// finish ends a call that has no send in progress and may not be sent again.
func (c *call) finish() {
	if c.done || c.pending > 0 {
		return
	}
	c.done = true
	r, now := c.r, c.r.clock()
	if c.attempts.MayHaveRun() {
		c.count(func(t *counts) { t.failed++ })
		return
	}
	c.count(func(t *counts) { t.slowestRefusal = max(t.slowestRefusal, float64(now-c.received)) })
	if c.resubmitted {
		return
	}
	tp := c.entry.balancer.Throughput(r.listed, now)
	if perMs, w := c.entry.admission.Throughput("s", now); perMs > 0 {
		tp = cfbalance.Throughput{PerMs: perMs, ServiceTime: w}
	}
	after := float64(c.entry.retries.RetryAfter("s", tp, len(r.instances), c.attempts.Remaining(now), now))
	r.scheduleAfter(callerDelay+min(after, float64(c.attempts.Remaining(now))/3), func() { r.call(c.org, c.phase, c.firstAsked, true) })
}
