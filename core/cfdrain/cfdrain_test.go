package cfdrain

import (
	"math"
	"math/rand/v2"
	"testing"

	cf "currantford"
)

const grace cf.Millis = 7200

var route = Class{"route", "a", 0}

// load is a load on one route: a request each interval, whose durations are drawn from took.
type load struct {
	name     string
	interval cf.Millis
	limit    cf.Millis
	took     func(r *rand.Rand) cf.Millis
	// sized is true if requests state up to how many tokens they generate: up to twice as many as
	// they do, one per ms.
	sized bool
}

var loads = []load{
	{"streams of 5 s", 500, 10000, func(*rand.Rand) cf.Millis { return 5000 }, false},
	{"streams of 0.2 to 3 s", 100, 10000, func(r *rand.Rand) cf.Millis { return 200 + cf.Millis(r.IntN(2800)) }, false},
	{"streams of 0.5 to 8 s", 50, 12000, func(r *rand.Rand) cf.Millis { return 500 + cf.Millis(r.IntN(7500)) }, false},
	{"streams of two lengths", 100, 10000, twoLengths, false},
	{"streams of two stated lengths", 100, 10000, twoLengths, true},
	{"streams of 0.5 to 8 s of stated length", 50, 12000, func(r *rand.Rand) cf.Millis { return 500 + cf.Millis(r.IntN(7500)) }, true},
	{"streams of skewed lengths", 50, 20000, func(r *rand.Rand) cf.Millis { return cf.Millis(800 * math.Exp(0.6*r.NormFloat64())) }, false},
	{"short requests", 20, 2000, func(r *rand.Rand) cf.Millis { return 20 + cf.Millis(r.IntN(100)) }, false},
	{"rare streams of 3 s", 9000, 10000, func(*rand.Rand) cf.Millis { return 3000 }, false},
}

func twoLengths(r *rand.Rand) cf.Millis {
	if r.IntN(10) == 0 {
		return 6500
	}
	return 300
}

// replay sends a load for some time before and during a stop. It returns how many requests came
// during the stop, were accepted, and were accepted and broken off, and how many were refused
// although they would have ended in time.
func replay(l load, seed uint64) (came, accepted, brokenOff, refusedInVain int) {
	r := rand.New(rand.NewPCG(seed, 1))
	const stopAt, leave cf.Millis = 100_000, 5200
	d := New()
	type ended struct {
		class Class
		took  cf.Millis
	}
	ends := map[cf.Millis][]ended{} // by the time of the end
	phase := cf.Millis(r.Int64N(int64(l.interval)))
	for now := cf.Millis(1); now < stopAt+leave; now++ {
		if now == stopAt {
			d.Begin(stopAt + grace)
		}
		for _, e := range ends[now] {
			d.Observe(e.class, e.took, now)
		}
		delete(ends, now)
		if now%l.interval != phase {
			continue
		}
		took := min(l.took(r), l.limit)
		class := route
		if l.sized {
			class.Size = SizeOf(cf.Tokens(float64(took) * (1 + r.Float64())))
		}
		ok := d.Judge(class, l.limit, now).Accept
		if ok {
			ends[now+took] = append(ends[now+took], ended{class, took})
		}
		if now < stopAt {
			continue
		}
		came++
		inTime := now+took <= stopAt+grace
		switch {
		case ok && !inTime:
			brokenOff++
			accepted++
		case ok:
			accepted++
		case inTime:
			refusedInVain++
		}
	}
	return came, accepted, brokenOff, refusedInVain
}

// TestAcceptedWorkEndsBeforeTheStop guards against streams that a stopping instance accepts and
// breaks off when its grace period ends.
func TestAcceptedWorkEndsBeforeTheStop(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			came, accepted, brokenOff, refusedInVain := 0, 0, 0, 0
			for seed := range uint64(100) {
				c, a, b, v := replay(l, seed)
				came, accepted, brokenOff, refusedInVain = came+c, accepted+a, brokenOff+b, refusedInVain+v
			}
			t.Logf("%d came, %d accepted, %d broken off, %d refused that would have ended in time", came, accepted, brokenOff, refusedInVain)
			if brokenOff > 0 {
				t.Errorf("%d of %d accepted requests were broken off, want none", brokenOff, accepted)
			}
		})
	}
}

// TestShortWorkIsAcceptedToTheEnd guards against refusals of requests that are known to end in time.
func TestShortWorkIsAcceptedToTheEnd(t *testing.T) {
	d := New()
	d.Begin(grace)
	if !d.Judge(route, grace, 0).Accept || !d.Judge(route, 2000, grace-2000).Accept {
		t.Error("refused work whose limit lies before the end")
	}
	if d.Judge(route, grace+1, 0).Accept || d.Judge(route, 0, 0).Accept {
		t.Error("accepted work of unknown duration that may outlast the instance")
	}
	for range 50 {
		d.Observe(route, 100, 10)
	}
	if !d.Judge(route, 10000, grace-200).Accept {
		t.Error("refused work that takes 0.1 s, 0.2 s before the end")
	}
	if d.Judge(route, 10000, grace-50).Accept {
		t.Error("accepted work that takes 0.1 s, 0.05 s before the end")
	}
}

// TestOldDurationsAreForgotten guards against a class that is judged by work of another time.
func TestOldDurationsAreForgotten(t *testing.T) {
	d := New()
	d.Observe(route, 100, 0)
	d.Begin(5*span + grace)
	if d.Judge(route, 10000, 5*span).Accept {
		t.Error("accepted by an observation of minutes ago")
	}
}
