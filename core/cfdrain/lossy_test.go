package cfdrain

import (
	"math"
	"math/rand/v2"
	"testing"

	cf "currantford"
)

// lateAfter is the time of a stop after which no request that is accepted may be broken off.
const lateAfter cf.Millis = 3000

// outcome counts the requests of a stop that were accepted, accepted late and broken off, and
// refused early although they would have ended in time.
type outcome struct{ accepted, brokenOffLate, refusedInVainEarly int }

func (o *outcome) add(p outcome) {
	o.accepted += p.accepted
	o.brokenOffLate += p.brokenOffLate
	o.refusedInVainEarly += p.refusedInVainEarly
}

// replayUnseen sends streams for some time before and during a stop. They state the same number of
// tokens. During the stop one in 20 takes longer than any before.
func replayUnseen(seed uint64, median float64, output cf.Tokens, judge func(*Drain, Class, cf.Millis, cf.Millis) Verdict) (out outcome) {
	const stopAt, leave, interval, limit, unseen cf.Millis = 20_000, 5200, 50, 9000, 4900
	r := rand.New(rand.NewPCG(seed, 2))
	class := Class{"route", "a", SizeOf(output)}
	d := New()
	ends := map[cf.Millis][]cf.Millis{} // the durations by the time of the end
	for now := cf.Millis(1); now < stopAt+leave; now++ {
		if now == stopAt {
			d.BeginAt(stopAt, stopAt+grace)
		}
		for _, took := range ends[now] {
			d.Observe(class, took, now)
		}
		if now%interval != 0 {
			continue
		}
		took := min(cf.Millis(median*math.Exp(0.4*r.NormFloat64())), 1700)
		if now >= stopAt && r.IntN(20) == 0 {
			took = unseen
		}
		accept := judge(d, class, limit, now).Accept
		if accept {
			ends[now+took] = append(ends[now+took], took)
		}
		if now < stopAt {
			continue
		}
		inTime, late := now+took <= stopAt+grace, now > stopAt+lateAfter
		switch {
		case accept && !inTime && late:
			out.brokenOffLate++
		case !accept && inTime && now <= stopAt+estimatePeriod:
			out.refusedInVainEarly++
		}
		if accept {
			out.accepted++
		}
	}
	return out
}

// TestLateLossyWorkEndsBeforeTheStop guards against streams that a stopping instance accepts late and
// breaks off, because no stream had taken as long before.
func TestLateLossyWorkEndsBeforeTheStop(t *testing.T) {
	for _, c := range []struct {
		name   string
		median float64
		output cf.Tokens
	}{
		{"streams of 0.6 s and 8,000 tokens", 600, 8000},
		{"streams of 0.6 s and 1,000 tokens", 600, 1000},
		{"streams of 0.2 s and 8,000 tokens", 200, 8000},
		{"streams of 0.2 s and 150 tokens", 200, 150},
		{"streams of 0.2 s that state no tokens", 200, 0},
	} {
		var lossy, estimated outcome
		for seed := range uint64(200) {
			lossy.add(replayUnseen(seed, c.median, c.output, (*Drain).JudgeLossy))
			estimated.add(replayUnseen(seed, c.median, c.output, (*Drain).Judge))
		}
		t.Logf("%s: %+v; by the estimate %+v", c.name, lossy, estimated)
		if lossy.brokenOffLate > 0 || estimated.brokenOffLate == 0 {
			t.Errorf("%s: %d requests that were accepted late were broken off, want none; by the estimate %d, want some", c.name, lossy.brokenOffLate, estimated.brokenOffLate)
		}
		if lossy.refusedInVainEarly > estimated.refusedInVainEarly {
			t.Errorf("%s: %d requests of the first seconds were refused although they would have ended in time, %d by the estimate",
				c.name, lossy.refusedInVainEarly, estimated.refusedInVainEarly)
		}
	}
}

// TestLossyWorkIsAcceptedWhileItMayEnd guards against refusals of work in the first seconds of a stop,
// or of work whose limit lies before its end at any time of it.
func TestLossyWorkIsAcceptedWhileItMayEnd(t *testing.T) {
	d := New()
	const late = estimatePeriod + 2
	small, large, largest := Class{"route", "a", SizeOf(174)}, Class{"route", "a", SizeOf(8000)}, Class{"route", "a", SizeOf(math.MaxInt64)}
	for range 50 {
		d.Observe(route, 100, 1)
		d.Observe(small, 300, 1)
		d.Observe(large, 300, 1)
		d.Observe(largest, 300, 1)
	}
	d.BeginAt(1, grace)
	for _, c := range []struct {
		class      Class
		now, limit cf.Millis
		want       bool
	}{
		{route, estimatePeriod, 9000, true},
		{large, estimatePeriod, 9000, true},
		{route, late, 9000, false},
		{large, late, 9000, false},
		{largest, late, 9000, false},
		{route, late, 0, false},
		{route, late, grace - late, true},
		{route, late, grace - late + 1, false},
		{large, grace - 2000, 2000, true},
		{small, estimatePeriod, 9000, true},
		{small, late, 9000, false},
		{small, late, grace - late, true},
		{small, grace - 1000, 1000, true},
	} {
		if v := d.JudgeLossy(c.class, c.limit, c.now); v.Accept != c.want {
			t.Errorf("size %d, at %d, limit %d: %+v, want %t", c.class.Size, c.now, c.limit, v, c.want)
		}
	}
	if v := New().JudgeLossy(large, 9000, 0); !v.Accept {
		t.Errorf("not stopping: %+v", v)
	}
}
