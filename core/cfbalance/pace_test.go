package cfbalance_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	cf "currantford"
	"currantford/core/cfbalance"
)

// simulateSharedMachines sends requests of 21 ms from 30 instances to three targets with six slots,
// whose machines are 2.5 times as slow for 15% of the time, drawn anew every 600 ms. It returns the
// mean answer time in ms and the fraction of the requests that begin at a slow target.
func simulateSharedMachines(perSecond float64, ignore bool) (mean, slow float64) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := targets(3)
	var all [30]*cfbalance.Balancer
	for i := range all {
		all[i] = cfbalance.New()
		all[i].IgnorePace = ignore
	}
	pace, free := map[cf.InstanceID]int{}, map[cf.InstanceID][]cf.Millis{}
	for i := range candidates {
		candidates[i].Slots = 6
		free[candidates[i].ID] = make([]cf.Millis, 6)
	}
	type answer struct {
		from     *cfbalance.Balancer
		id       cf.InstanceID
		sent, at cf.Millis
	}
	var inFlight []answer
	n, next := 0, 0.0
	for now := cf.Millis(0); now < 120000; now++ {
		for i, x := range candidates {
			if (now+cf.Millis(i)*200)%600 == 0 {
				pace[x.ID] = 100
				if random.Float64() < 0.15 {
					pace[x.ID] = 250
				}
			}
		}
		inFlight = slices.DeleteFunc(inFlight, func(a answer) bool {
			if a.at > now {
				return false
			}
			running := 0
			for _, until := range free[a.id] {
				if until > now {
					running++
				}
			}
			a.from.Done(a.id, cfbalance.Answered, &cf.TargetLoad{Running: running, Slots: 6, Pace: pace[a.id], At: now}, now-a.sent, now)
			mean += float64(now - a.sent)
			n++
			return true
		})
		for ; next <= float64(now); next += random.ExpFloat64() * 1000 / perSecond {
			b := all[random.IntN(len(all))]
			x, _ := b.Choose(candidates, nil, random.Float64(), now)
			b.Sent(x.ID)
			if pace[x.ID] > 100 {
				slow++
			}
			slots := free[x.ID]
			slices.Sort(slots)
			slots[0] = max(slots[0], now) + cf.Millis(21*pace[x.ID]/100)
			inFlight = append(inFlight, answer{b, x.ID, now, slots[0]})
		}
	}
	return mean / float64(n), slow / float64(n)
}

// TestRequestsAvoidTargetsThatAreSlowNow guards against requests waiting at a target whose machine
// has just turned slow while other targets are fast: the reported pace must be used, and must not
// keep requests away from a target long after the report.
func TestRequestsAvoidTargetsThatAreSlowNow(t *testing.T) {
	for _, perSecond := range []float64{12, 108, 300, 600} {
		without, slowWithout := simulateSharedMachines(perSecond, true)
		with, slowWith := simulateSharedMachines(perSecond, false)
		t.Logf("%3.0f requests per second: without the pace %.1f ms and a fraction of %.3f at slow targets, with it %.1f ms and %.3f", perSecond, without, slowWithout, with, slowWith)
		if with > without+0.5 {
			t.Errorf("%.0f requests per second: answers take %.1f ms, %.1f without the pace", perSecond, with, without)
		}
		// At lower rates an instance receives an answer from each target only about once a second,
		// while the speed of a machine stays the same for 600 ms.
		if perSecond >= 300 && slowWith > 0.9*slowWithout {
			t.Errorf("%.0f requests per second: a fraction of %.3f begins at slow targets, %.3f without the pace", perSecond, slowWith, slowWithout)
		}
	}
}
