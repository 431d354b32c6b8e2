package cfbalance_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	cf "currantford"
	"currantford/core/cfbalance"
)

// simulateSharedMachines sends requests of 21 ms from 30 instances to three targets of 6 slots, whose
// machines are 2.5 times as slow for 15% of the time, redrawn every 600 ms. It returns the
// mean time of an answer in ms, and the part of the requests begun at a slow target.
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

// Symptom: requests wait at a target whose machine has just turned slow, beside others that
// are fast. Guards against a pace that is decoded and not used, and against one that keeps
// requests off a target long after it was said.
func TestRequestsAvoidTargetsThatAreSlowNow(t *testing.T) {
	for _, perSecond := range []float64{12, 108, 300, 600} {
		before, slowBefore := simulateSharedMachines(perSecond, true)
		now, slow := simulateSharedMachines(perSecond, false)
		t.Logf("%3.0f requests a second: %.1f ms and %.3f at slow targets without the pace, %.1f ms and %.3f with it", perSecond, before, slowBefore, now, slow)
		if now > before+0.5 {
			t.Errorf("%.0f requests a second: answers take %.1f ms, %.1f without the pace", perSecond, now, before)
		}
		// Below, an instance hears of each target about once a second, and machines' states
		// last 600 ms.
		if perSecond >= 300 && slow > 0.9*slowBefore {
			t.Errorf("%.0f requests a second: %.3f begin at slow targets, %.3f without the pace", perSecond, slow, slowBefore)
		}
	}
}
