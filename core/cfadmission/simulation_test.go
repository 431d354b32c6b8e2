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
		requests, inTime, late, failed int
		slowestRefusal                 float64 // ms until the caller was refused
		answerTimes                    float64 // sum over the answers in time
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
		// byPhase holds the counts by the phase in which the caller first sent its request.
		byPhase []counts
	}

	// call is one attempt of a caller at an instance.
	call struct {
		sim         *simulation
		entry       *instance
		org, phase  int
		firstSentAt float64 // when the caller first sent the request
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
func (sim *simulation) schedule(ms float64, do func()) {
	i, _ := slices.BinarySearchFunc(sim.events, ms, func(e event, at float64) int { return cmp.Compare(at, e.at) })
	sim.events = slices.Insert(sim.events, i, event{ms, do})
}

func (sim *simulation) scheduleAfter(ms float64, do func()) { sim.schedule(sim.now+ms, do) }
func (sim *simulation) clock() cf.Millis                    { return cf.Millis(sim.now) + 100000 }

// simulate runs a scenario and counts its results by organisation and by phase.
func simulate(sc scenario) *simulation {
	sim := &simulation{scenario: sc, random: rand.New(rand.NewPCG(sc.seed, 9)), byOrg: make([]counts, sc.orgs), byPhase: make([]counts, len(sc.phases))}
	for i := range sc.targets {
		sim.servers = append(sim.servers, &target{slowdown: 1})
		sim.listed = append(sim.listed, cf.Target{ID: cf.InstanceID(rune('a' + i)), Service: "s", Slots: slots})
	}
	for range sc.instances {
		sim.instances = append(sim.instances, &instance{cfadmission.New(), cfbalance.New(), cfbalance.NewRetryScheduler()})
	}
	begin := 0.0
	for n, p := range sc.phases {
		for org := range sc.orgs {
			if rate := p.rate(org); rate > 0 {
				for at := begin; ; {
					if at += sim.random.ExpFloat64() * 1000 / rate; at >= p.until {
						break
					}
					sim.schedule(at, func() { sim.arrive(org, n) })
				}
			}
		}
		begin = p.until
	}
	if sc.lostAt > 0 {
		sim.schedule(sc.lostAt, sim.loseTarget)
		sim.schedule(sc.lostAt+unlistedAfter, func() { sim.listed = slices.Clone(sim.listed[1:]) })
		sim.schedule(sc.lostAt+restartedAfter, func() { *sim.servers[0] = target{slowdown: 1} })
		sim.schedule(sc.lostAt+restartedAfter+listedAfter, func() { sim.listed = append([]cf.Target{{ID: "a", Service: "s", Slots: slots}}, sim.listed...) })
	}
	if sc.sharedMachines {
		sim.schedule(0, sim.redrawSlowdowns)
	}
	for len(sim.events) > 0 {
		e := sim.events[len(sim.events)-1]
		sim.events = sim.events[:len(sim.events)-1]
		sim.now = e.at
		e.do()
	}
	return sim
}

func (sim *simulation) redrawSlowdowns() {
	for _, s := range sim.servers {
		if s.slowdown = 1; sim.random.Float64() < 0.15 {
			s.slowdown = 2.5
		}
	}
	if sim.now < sim.phases[len(sim.phases)-1].until {
		sim.scheduleAfter(600, sim.redrawSlowdowns)
	}
}

func (sim *simulation) loseTarget() {
	s := sim.servers[0]
	s.down = true
	if !sim.hangs {
		for _, end := range s.onLoss {
			sim.scheduleAfter(targetDelay, end)
		}
	}
	s.onLoss, s.queue = nil, nil
}

func (sim *simulation) arrive(org, phase int) {
	sim.byOrg[org].requests++
	sim.byPhase[phase].requests++
	sim.call(org, phase, sim.now, false)
}

// call sends a caller's request to a random instance.
func (sim *simulation) call(org, phase int, firstSentAt float64, resubmitted bool) {
	n := sim.scenario.instances
	if sim.usedInstances > 0 {
		n = sim.usedInstances
	}
	// The callers of one failure domain, with a third of the instances, are twice as many.
	at := sim.random.IntN(n + n/3)
	in := sim.instances[at%n]
	sim.scheduleAfter(callerDelay, func() {
		left := sim.deadline - cf.Millis(sim.now-callerDelay-firstSentAt)
		route := cfsite.Route{Kind: cfsite.KindIdempotent, MaxAttempts: 3, SLO: objective}
		c := &call{sim: sim, entry: in, org: org, phase: phase, firstSentAt: firstSentAt, resubmitted: resubmitted, received: sim.clock(),
			attempts: cfbalance.NewAttempts(route, sim.clock()+left), tried: map[cf.InstanceID]bool{}, notRun: map[cf.InstanceID]bool{}}
		c.findTarget(false)
	})
}

func (c *call) count(f func(*counts)) {
	f(&c.sim.byOrg[c.org])
	f(&c.sim.byPhase[c.phase])
}

// findTarget seeks a target in the same way as io/cfingress.
func (c *call) findTarget(hedge bool) {
	sim, now := c.sim, c.sim.clock()
	if c.done || !c.attempts.MaySend(now) {
		c.finish()
		return
	}
	if sim.disabled {
		c.send(nil)
		return
	}
	must := c.attempts.MayHaveRun()
	if must && !hedge {
		cfadmission.ReopenTargets(sim.listed, c.tried, c.notRun)
	}
	if hedge && !c.entry.admission.MayHedge("s", now) || !hedge && len(c.tried) > 0 && !c.entry.admission.MayRetry("s", must, now) {
		c.finish()
		return
	}
	t := c.entry.admission.Enter(cfadmission.Request{
		Service: "s", Class: cfadmission.Class{Organisation: cf.Organisation(rune('A' + c.org)), Priority: c.org % max(sim.priorities, 1)}, Targets: sim.listed, Tried: c.tried,
		Instances: len(sim.instances), Objective: objective, Spent: sim.deadline - (c.attempts.Remaining(now) + now - c.received), Arrived: c.received,
		Deadline: now + c.attempts.Remaining(now), Resubmitted: c.resubmitted, Retry: len(c.tried) > 0, MayHaveRun: must, NoWait: hedge,
	}, now)
	c.poll(t, hedge)
}

func (c *call) poll(t *cfadmission.Ticket, hedge bool) {
	sim, now := c.sim, c.sim.clock()
	v := c.entry.admission.Poll(t, now)
	switch {
	case v.State == cfadmission.Send:
		c.send(t)
	case v.State == cfadmission.Wait && !hedge:
		sim.scheduleAfter(max(float64(v.Until-now), 0.5), func() { c.poll(t, hedge) })
	default:
		c.entry.admission.Cancel(t)
		c.finish()
	}
}

func (c *call) send(t *cfadmission.Ticket) {
	sim, now := c.sim, c.sim.clock()
	avoid := map[cf.InstanceID]bool{}
	for _, x := range sim.listed {
		if c.tried[x.ID] || t != nil && c.entry.admission.Excluded(t, x.ID, now) {
			avoid[x.ID] = true
		}
	}
	to, ok := c.entry.balancer.Choose(sim.listed, avoid, sim.random.Float64(), now)
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
	sim.scheduleAfter(targetDelay+processingTime*sim.random.ExpFloat64(), func() {
		sim.serve(sim.servers[to.ID[0]-'a'], func(a cf.TargetAnswer, err error) {
			sim.scheduleAfter(targetDelay+processingTime*sim.random.ExpFloat64(), func() { c.receive(to.ID, a, err, sim.clock()-sent) })
		})
	})
	if after, ok := c.attempts.HedgeAfter(); ok && !c.hedged && c.pending == 1 {
		sim.scheduleAfter(float64(after), func() {
			if !c.done && c.pending == 1 && !c.hedged && c.attempts.MaySend(sim.clock()) {
				c.hedged = true
				c.findTarget(true)
			}
		})
	}
}

// serve runs a request at a target.
func (sim *simulation) serve(s *target, end func(cf.TargetAnswer, error)) {
	answer := func(status int) cf.TargetAnswer {
		a := cf.TargetAnswer{Status: status, NotRun: status == 503}
		if !sim.noHeader {
			a.Load = &cf.TargetLoad{Running: s.busy, Waiting: len(s.queue), Slots: slots}
		}
		return a
	}
	switch {
	case s.down && sim.hangs:
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
		took := s.slowdown * sim.answerTime / (1 + (sim.tailFactor-1)*sim.tailFraction) * math.Exp(sigma*sim.random.NormFloat64()-sigma*sigma/2)
		if sim.random.Float64() < sim.tailFraction {
			took *= sim.tailFactor
		}
		sim.scheduleAfter(took, func() {
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
	now := c.sim.clock()
	c.pending--
	outcome, good := c.attempts.Classify(a, err)
	if c.done {
		outcome = cfbalance.Abandoned
	}
	c.entry.balancer.Done(id, outcome, a.Load, took, now)
	if !c.sim.disabled {
		c.entry.admission.Done("s", id, cfadmission.Result{Outcome: cfadmission.OutcomeOf(outcome, a.Status, err), Load: a.Load, Took: took, Status: a.Status}, now)
	}
	if outcome == cfbalance.NotRun || outcome == cfbalance.Unreached {
		c.notRun[id] = true
	}
	switch {
	case c.done:
	case good:
		c.done = true
		spent := c.sim.now + callerDelay - c.firstSentAt
		c.count(func(t *counts) {
			switch {
			case spent <= float64(objective):
				t.inTime++
				t.answerTimes += spent
			case spent <= float64(c.sim.deadline):
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
	sim, now := c.sim, c.sim.clock()
	if c.attempts.MayHaveRun() {
		c.count(func(t *counts) { t.failed++ })
		return
	}
	c.count(func(t *counts) { t.slowestRefusal = max(t.slowestRefusal, float64(now-c.received)) })
	if c.resubmitted {
		return
	}
	tp := c.entry.balancer.Throughput(sim.listed, now)
	if perMs, w := c.entry.admission.Throughput("s", now); perMs > 0 {
		tp = cfbalance.Throughput{PerMs: perMs, ServiceTime: w}
	}
	after := float64(c.entry.retries.RetryAfter("s", tp, len(sim.instances), c.attempts.Remaining(now), now))
	sim.scheduleAfter(callerDelay+min(after, float64(c.attempts.Remaining(now))/3), func() { sim.call(c.org, c.phase, c.firstSentAt, true) })
}
