package cfreward_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfreward"
)

const (
	service cf.ServiceName = "rewards"
	// tick is the interval at which the simulated coordinator calls the planner.
	tick cf.Millis = 5
)

// fakeEnv is an environment with a fixed set of targets.
type fakeEnv struct {
	targets     []cf.Target
	maxAttempts int
	noRoute     bool
	missing     map[cf.GroupID]int
	notAdmitted map[cf.RequestID]bool
}

func (s *fakeEnv) Route(*cf.RewardCall) (cfreward.Route, bool) {
	return cfreward.Route{Service: service, Targets: s.targets, MaxAttempts: s.maxAttempts}, !s.noRoute
}

func (s *fakeEnv) Missing(_ *cfbatch.Batch, g cf.GroupID) int { return s.missing[g] }

func (s *fakeEnv) Admit(call *cf.RewardCall, _ cf.Target) bool { return !s.notAdmitted[call.ID] }

func newEnv(n, slots int) *fakeEnv {
	s := &fakeEnv{maxAttempts: 4, missing: map[cf.GroupID]int{}}
	for i := range n {
		s.targets = append(s.targets, cf.Target{ID: cf.InstanceID(fmt.Sprintf("t%02d", i)), Service: service, Slots: slots})
	}
	return s
}

// newBatch returns a batch with the given number of groups of size items, all with reward calls.
func newBatch(id cf.BatchID, accepted cf.Millis, groups, size int) *cfbatch.Batch {
	sub := cf.Submission{ID: id, TargetGroups: groups, Accepted: accepted}
	for g := range groups {
		for i := range size {
			item := cf.ItemID(fmt.Sprintf("%s-%02d-%d", id, g, i))
			sub.Items = append(sub.Items, cf.Item{
				ID: item, Group: cf.GroupID(fmt.Sprintf("%s-%02d", id, g)), Reward: &cf.RewardCall{ID: cf.RequestID("r-" + item)},
			})
		}
	}
	return cfbatch.New(sub)
}

// fakeService is a service in simulated time.
type fakeService struct {
	*fakeEnv
	random    *rand.Rand
	busyUntil map[cf.InstanceID][]cf.Millis // ends of the requests in flight, by target
	// An unresponsive target accepts calls and does not answer them, a failing one answers that
	// each call failed, and a rejecting one rejects all calls.
	unresponsive, failing, rejecting map[cf.InstanceID]bool
	endsAt                           map[*cfreward.Attempt]cf.Millis
	outcomes                         map[*cfreward.Attempt]cfreward.Outcome

	rejected, sends, maxConcurrent int
	lookups, lookupsRejected       int
}

func newService(s *fakeEnv, seed uint64) *fakeService {
	return &fakeService{
		fakeEnv: s, random: rand.New(rand.NewPCG(seed, 1)), busyUntil: map[cf.InstanceID][]cf.Millis{},
		unresponsive: map[cf.InstanceID]bool{}, failing: map[cf.InstanceID]bool{}, rejecting: map[cf.InstanceID]bool{},
		endsAt: map[*cfreward.Attempt]cf.Millis{}, outcomes: map[*cfreward.Attempt]cfreward.Outcome{},
	}
}

// workTime draws a response time as users of the service observe it, with the given mean (200 ms
// for reward calls, 25 ms for lookups): log-normal with a standard deviation of 0.5 of the
// logarithm, and five times as long for one response in a hundred.
func (s *fakeService) workTime(mean float64) cf.Millis {
	ms := mean * math.Exp(s.random.NormFloat64()*0.5-0.125)
	if s.random.IntN(100) == 0 {
		ms *= 5
	}
	return cf.Millis(min(ms, 7.5*mean))
}

func (s *fakeService) running(id cf.InstanceID, now cf.Millis) int {
	n := 0
	for _, end := range s.busyUntil[id] {
		if end > now {
			n++
		}
	}
	return n
}

func (s *fakeService) start(a *cfreward.Attempt, now cf.Millis) {
	s.sends++
	id := a.Target.ID
	switch {
	case s.rejecting[id] || s.running(id, now) >= a.Target.Slots:
		s.rejected++
		s.endsAt[a], s.outcomes[a] = now+tick, cfreward.Rejected
	case s.unresponsive[id]:
		s.endsAt[a], s.outcomes[a] = now+3000, cfreward.NoAnswer
	case s.failing[id]:
		s.endsAt[a], s.outcomes[a] = now+s.workTime(200), cfreward.Failed
	default:
		s.endsAt[a], s.outcomes[a] = now+s.workTime(200), cfreward.Scored
		s.busyUntil[id] = append(s.busyUntil[id], s.endsAt[a])
		s.maxConcurrent = max(s.maxConcurrent, s.running(id, now))
	}
}

// lookup simulates a caller's request of 25 ms. It is rejected if its target has no free slot.
func (s *fakeService) lookup(now cf.Millis) {
	s.lookups++
	t := s.targets[s.random.IntN(len(s.targets))]
	if s.running(t.ID, now) >= t.Slots {
		s.lookupsRejected++
		return
	}
	s.busyUntil[t.ID] = append(s.busyUntil[t.ID], now+s.workTime(25))
}

// run calls the planner until the given time. It returns when the last call ended, and how many
// calls were given up.
func (s *fakeService) run(p *cfreward.Planner, until cf.Millis) (took cf.Millis, givenUp int) {
	for now := cf.Millis(0); now < until; now += tick {
		for a, end := range s.endsAt {
			if now < end {
				continue
			}
			delete(s.endsAt, a)
			load := &cf.TargetLoad{Running: s.running(a.Target.ID, now), Slots: a.Target.Slots}
			switch p.Done(a, s.outcomes[a], load, now) {
			case cfreward.GiveUp:
				givenUp++
				took = now
			case cfreward.Accept:
				took = now
				for _, other := range a.Call.Attempts() {
					s.endsAt[other], s.outcomes[other] = now+1, cfreward.Cancelled
				}
			case cfreward.Continue:
			}
		}
		for _, a := range p.Schedule(s, now) {
			s.start(a, now)
		}
		if now%150 == 0 {
			s.lookup(now)
		}
	}
	return took, givenUp
}

func (s *fakeService) addAll(p *cfreward.Planner, b *cfbatch.Batch) {
	for _, it := range b.Sub.Items {
		p.Add(b, it, 0)
	}
}

// Checks the load that the package is designed for: 208 texts finish at once, and the service has
// 14 targets of 6 slots. No call is rejected, a slot is free for callers at every moment, and the
// burst takes little longer than its work divided by the slots that reward calls may use (208 x 200
// ms / 56 = 0.74 s).
func TestBurstLeavesSlotsForCallers(t *testing.T) {
	for seed := range uint64(20) {
		p, s := cfreward.New(cfreward.DefaultLimits), newService(newEnv(14, 6), seed)
		s.addAll(p, newBatch("s", 0, 26, 8))
		took, _ := s.run(p, 6000)
		if p.Len() > 0 {
			t.Fatalf("seed %d: %d calls unanswered", seed, p.Len())
		}
		if s.rejected > 0 || s.lookupsRejected > 0 || s.maxConcurrent > 5 {
			t.Errorf("seed %d: %d rejected calls, %d of %d lookups rejected, at most %d calls at once at a target", seed, s.rejected, s.lookupsRejected, s.lookups, s.maxConcurrent)
		}
		if took > 2500 {
			t.Errorf("seed %d: the burst took %d ms", seed, took)
		}
	}
}

// TestRejectingServiceIsNotFlooded guards against thousands of attempts within seconds at a service
// that rejects everything, so that it also rejects callers' requests when it has recovered. This
// happens if rejected calls are repeated at once. All targets reject for 4 s while 208 calls wait,
// and then serve.
func TestRejectingServiceIsNotFlooded(t *testing.T) {
	p, s := cfreward.New(cfreward.DefaultLimits), newService(newEnv(14, 6), 1)
	for _, x := range s.targets {
		s.rejecting[x.ID] = true
	}
	s.addAll(p, newBatch("s", 0, 26, 8))
	s.run(p, 4000)
	if s.sends > 14*8 {
		t.Errorf("%d attempts in 4 s at 14 targets that reject all calls", s.sends)
	}
	clear(s.rejecting)
	if s.run(p, 8000); p.Len() > 0 {
		t.Errorf("%d calls unanswered 8 s after the service recovered", p.Len())
	}
}

// TestUnresponsiveTargetsAreHedged guards against a step that waits 3 s for rewards from targets
// that accepted the calls and died. This happens if a call waits for the whole timeout of an
// attempt, and if an unresponsive target gets more calls. Here 3 of 14 targets accept calls and do
// not answer.
func TestUnresponsiveTargetsAreHedged(t *testing.T) {
	for seed := range uint64(10) {
		p, s := cfreward.New(cfreward.DefaultLimits), newService(newEnv(14, 6), seed)
		for _, x := range s.targets[:3] {
			s.unresponsive[x.ID] = true
		}
		s.addAll(p, newBatch("s", 0, 26, 8))
		took, givenUp := s.run(p, 6000)
		if p.Len() > 0 || givenUp > 0 || took > 2800 {
			t.Errorf("seed %d: %d calls unanswered, %d given up, last answer after %d ms", seed, p.Len(), givenUp, took)
		}
	}
}

// TestFailingTargetCostsNoSample guards against samples that are given up because one target fails
// every call. This happens if all attempts of a call go to the target that seems least loaded. Here
// 2 of 14 targets answer that each call failed, and do so as fast as the others.
func TestFailingTargetCostsNoSample(t *testing.T) {
	p, s := cfreward.New(cfreward.DefaultLimits), newService(newEnv(14, 6), 3)
	s.failing["t00"], s.failing["t07"] = true, true
	s.addAll(p, newBatch("s", 0, 26, 8))
	if _, givenUp := s.run(p, 6000); givenUp > 0 || p.Len() > 0 {
		t.Errorf("%d calls given up, %d unanswered", givenUp, p.Len())
	}
}

// TestFailingCallIsGivenUpAfterMaxAttempts guards against a call that fails at every target and is
// repeated without end.
func TestFailingCallIsGivenUpAfterMaxAttempts(t *testing.T) {
	p, s := cfreward.New(cfreward.DefaultLimits), newService(newEnv(3, 6), 1)
	for _, x := range s.targets {
		s.failing[x.ID] = true
	}
	b := newBatch("s", 0, 1, 1)
	s.addAll(p, b)
	if _, givenUp := s.run(p, 20000); givenUp != 1 || s.sends != 4 {
		t.Errorf("%d calls given up after %d attempts, want 1 after 4", givenUp, s.sends)
	}
}

// The calls that complete a group are sent before others, and those of an older batch before those
// of a newer one.
func TestNearlyCompleteGroupsGoFirst(t *testing.T) {
	p, s := cfreward.New(cfreward.DefaultLimits), newEnv(1, 3) // reward calls may use 2 of the 3 slots
	newer, older := newBatch("newer", 2000, 1, 2), newBatch("older", 1000, 3, 1)
	s.missing = map[cf.GroupID]int{"newer-00": 1, "older-00": 5, "older-01": 2, "older-02": 7}
	for _, b := range []*cfbatch.Batch{newer, older} {
		for _, it := range b.Sub.Items {
			p.Add(b, it, 0)
		}
	}
	var order []cf.ItemID
	for now := cf.Millis(0); p.Len() > 0 && now < 1000; now += 10 {
		for _, a := range p.Schedule(s, now) {
			order = append(order, a.Call.Item.ID)
			p.Done(a, cfreward.Scored, nil, now)
		}
	}
	if got, want := fmt.Sprint(order), "[older-01-0 older-00-0 older-02-0 newer-00-0 newer-00-1]"; got != want {
		t.Errorf("order %s, want %s", got, want)
	}
}

// TestLateAnswerOfAnEndedBatchScoresNothing guards against a reward call of an ended batch that is
// sent, and against its late answer, which must not score the item in another batch. A call is in
// flight when its batch is ended, a later batch contains the same item, and then the answer to the
// first call arrives.
func TestLateAnswerOfAnEndedBatchScoresNothing(t *testing.T) {
	p, s := cfreward.New(cfreward.DefaultLimits), newEnv(2, 3)
	first := newBatch("s", 0, 1, 1)
	p.Add(first, first.Sub.Items[0], 0)
	a := p.Schedule(s, 0)[0]
	if dropped := p.DropBatch("s"); len(dropped) != 1 {
		t.Fatalf("%d calls dropped", len(dropped))
	}
	if more := p.Schedule(s, 100); len(more) > 0 {
		t.Error("a dropped call was sent")
	}
	second := cfbatch.New(cf.Submission{ID: "next", Items: first.Sub.Items})
	p.Add(second, second.Sub.Items[0], 200)
	if v := p.Done(a, cfreward.Scored, nil, 210); v != cfreward.Continue || p.Len() != 1 {
		t.Errorf("late answer: verdict %d, %d calls left; want verdict Continue and 1 call", v, p.Len())
	}
}

// TestCallsExpire guards against a call that is kept without end although it has no route, or
// although the time of its batch is over.
func TestCallsExpire(t *testing.T) {
	p, s := cfreward.New(cfreward.DefaultLimits), newEnv(2, 3)
	s.noRoute = true
	b := newBatch("s", 1000, 1, 2)
	for _, it := range b.Sub.Items {
		p.Add(b, it, 0)
	}
	if n := len(p.Schedule(s, 0)); n > 0 {
		t.Errorf("%d calls sent without a route", n)
	}
	limit := func(*cfbatch.Batch) cf.Millis { return 500 }
	if n := len(p.Expire(limit, 1499)); n > 0 {
		t.Errorf("%d calls expired too early", n)
	}
	if n := len(p.Expire(limit, 1500)); n != 2 || p.Len() != 0 {
		t.Errorf("%d calls expired, %d left; want 2 and 0", n, p.Len())
	}
	b.Apply("000000", []cf.Result{{ID: b.Sub.Items[0].ID}})
	for _, it := range b.Sub.Items {
		p.Add(b, it, 0)
	}
	if n := len(p.DropListed()); n != 1 || p.Len() != 1 {
		t.Errorf("%d listed calls dropped, %d left; want 1 and 1", n, p.Len())
	}
}

func BenchmarkScheduleBurst(b *testing.B) {
	s := newEnv(14, 6)
	for b.Loop() {
		p := cfreward.New(cfreward.DefaultLimits)
		batch := newBatch("s", 0, 26, 8)
		for _, it := range batch.Sub.Items {
			p.Add(batch, it, 0)
		}
		p.Schedule(s, 0)
	}
}
