package cfbalance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	cf "currantford"
	"currantford/core/cfbalance"
	"currantford/core/cfsite"
)

func targets(n int) []cf.Target {
	var out []cf.Target
	for i := range n {
		out = append(out, cf.Target{ID: cf.InstanceID(rune('a' + i)), Slots: 4})
	}
	return out
}

// sendToFour sends 200 requests at a fixed interval to four targets, where target "a" ends each
// request with the given outcome, and returns how many reached "a".
func sendToFour(every cf.Millis, outcome cfbalance.Outcome, took cf.Millis) int {
	b := cfbalance.New()
	reached := 0
	for i := range 200 {
		now := cf.Millis(i) * every
		target, _ := b.Choose(targets(4), nil, float64(i%7)/7, now)
		b.Sent(target.ID)
		if target.ID == "a" {
			reached++
			b.Done(target.ID, outcome, nil, took, now+took)
			continue
		}
		b.Done(target.ID, cfbalance.Answered, nil, 25, now+25)
	}
	return reached
}

// One of four targets fails every request although it is still listed as healthy. Few requests may
// reach it.
func TestFailingTargetGetsLittleWork(t *testing.T) {
	if n := sendToFour(20, cfbalance.Failed, 5); n > 20 {
		t.Errorf("%d of 200 requests went to a target that fails every request", n)
	}
}

// One target takes eight times as long as the others. It must get a small part of the requests.
func TestSlowTargetGetsLessWork(t *testing.T) {
	if n := sendToFour(50, cfbalance.Answered, 200); n > 30 {
		t.Errorf("%d of 200 requests went to the slow target", n)
	}
}

// If all targets failed recently, one is still chosen: an attempt is better than a refusal.
func TestFailedTargetsAreChosenWhenNoOtherIsLeft(t *testing.T) {
	b := cfbalance.New()
	for _, x := range targets(2) {
		b.Sent(x.ID)
		b.Done(x.ID, cfbalance.Failed, nil, 5, 0)
	}
	if _, ok := b.Choose(targets(2), nil, 0, 10); !ok {
		t.Error("no target chosen")
	}
	if _, ok := b.Choose(targets(2), map[cf.InstanceID]bool{"a": true, "b": true}, 0, 10); ok {
		t.Error("a target was chosen twice for one request")
	}
}

// A target that reports a high load gets fewer requests, also from an instance that has sent it
// nothing.
func TestReportedLoadCounts(t *testing.T) {
	b := cfbalance.New()
	for _, x := range targets(2) {
		b.Sent(x.ID)
		load := &cf.TargetLoad{Running: 1, Slots: 4}
		if x.ID == "a" {
			load = &cf.TargetLoad{Running: 4, Waiting: 6, Slots: 4}
		}
		b.Done(x.ID, cfbalance.Answered, load, 25, 0)
	}
	if got, _ := b.Choose(targets(2), nil, 0, 10); got.ID != "b" {
		t.Errorf("chose %s, want b", got.ID)
	}
}

// Tests whether a request may be sent again, and whether it may have run, after each kind of
// failure.
func TestAttemptsOfEachKind(t *testing.T) {
	cases := []struct {
		name       string
		kind       cfsite.RouteKind
		lost       bool
		sends      int
		maySend    bool
		mayHaveRun bool
	}{
		{"idempotent, may have run", cfsite.KindIdempotent, true, 1, true, true},
		{"idempotent, may have run, tried enough", cfsite.KindIdempotent, true, 2, false, true},
		{"idempotent, not run, tried enough", cfsite.KindIdempotent, false, 2, false, false},
		{"once, may have run", cfsite.KindOnce, true, 1, false, true},
		{"once, not run", cfsite.KindOnce, false, 1, true, false},
		{"once, not run, tried enough", cfsite.KindOnce, false, 2, false, false},
	}
	for _, c := range cases {
		a := cfbalance.NewAttempts(cfsite.Route{Kind: c.kind, MaxAttempts: 2}, 1000)
		for range c.sends {
			a.Sent()
		}
		if c.lost {
			a.Classify(cf.TargetAnswer{}, cf.ErrMaybeRan)
		}
		if got := a.MaySend(10); got != c.maySend {
			t.Errorf("%s: MaySend %t, want %t", c.name, got, c.maySend)
		}
		if got := a.MayHaveRun(); got != c.mayHaveRun {
			t.Errorf("%s: MayHaveRun %t, want %t", c.name, got, c.mayHaveRun)
		}
		if a.MaySend(1000) {
			t.Errorf("%s: may be sent after its deadline", c.name)
		}
	}
}

// Only idempotent requests are hedged.
func TestOnlyIdempotentRequestsAreHedged(t *testing.T) {
	for kind, want := range map[cfsite.RouteKind]bool{cfsite.KindIdempotent: true, cfsite.KindOnce: false, cfsite.KindStream: false} {
		a := cfbalance.NewAttempts(cfsite.Route{Kind: kind, MaxAttempts: 2, SLO: 150}, 1000)
		a.Sent()
		if _, ok := a.HedgeAfter(); ok != want {
			t.Errorf("kind %d: hedged %v", kind, ok)
		}
	}
}

// BenchmarkChoose measures one choice among 4, 64 and 1024 targets.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{4, 64, 1024} {
		ts := make([]cf.Target, n)
		for i := range ts {
			ts[i] = cf.Target{ID: cf.InstanceID(rune(i)), Slots: 4}
		}
		b.Run(fmt.Sprintf("targets_%d", n), func(b *testing.B) {
			bal := cfbalance.New()
			for b.Loop() {
				bal.Choose(ts, nil, 0.5, 10)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/target")
		})
	}
}

// One of hundreds of instances sends a request every two seconds to hundreds of targets, which keep
// connections for eight seconds. It must stay with a few targets that are as fast as the others,
// and leave one that turns slow.
func TestFewTargetsOfManyAreUsed(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 5))
	all := make([]cf.Target, 558)
	for i := range all {
		all[i] = cf.Target{ID: cf.InstanceID(fmt.Sprintf("t%03d", i)), Slots: 6}
	}
	b := cfbalance.New()
	warm, used := map[cf.InstanceID]cf.Millis{}, map[cf.InstanceID]int{}
	opened := 0
	var slow cf.InstanceID
	for i := range 300 {
		now := cf.Millis(i) * 2000
		target, _ := b.Choose(all, nil, random.Float64(), now)
		if now >= warm[target.ID] {
			opened++
		}
		took := 20 + cf.Millis(random.IntN(10))
		if i == 150 {
			slow = target.ID
			clear(used)
		}
		if target.ID == slow {
			took = 200
		}
		used[target.ID]++
		warm[target.ID] = now + 8000
		b.Sent(target.ID)
		b.Done(target.ID, cfbalance.Answered, &cf.TargetLoad{Slots: 6}, took, now+took)
		b.ConnectionKept(target.ID, now+8000)
	}
	if opened > 60 {
		t.Errorf("%d connections for 300 requests", opened)
	}
	if used[slow] > 10 {
		t.Errorf("%d requests to a target that takes eight times as long", used[slow])
	}
}
