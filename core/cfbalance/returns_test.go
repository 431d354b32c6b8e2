package cfbalance_test

import (
	"sort"
	"testing"

	cf "currantford"
	"currantford/core/cfbalance"
)

// simulateBurst replays requests that arrive over a second, several times what two
// targets of four slots and four waiting places take, at answers of 400 ms.
// Callers have 4 s and come back once, when they are told. It returns how many
// were answered.
func simulateBurst(requests, instances int, tell func(instance int, left, now cf.Millis) cf.Millis) int {
	const slots, queue, work, time = 8, 8, 400, 4000
	type arrival struct {
		at, born cf.Millis
		again    bool
		instance int
	}
	var due []arrival
	for i := range requests {
		at := cf.Millis(i * 1000 / requests)
		due = append(due, arrival{at: at, born: at, instance: i % instances})
	}
	var ends []cf.Millis // when the requests under way and waiting end
	answered := 0
	for len(due) > 0 {
		sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
		a := due[0]
		due = due[1:]
		for len(ends) > 0 && ends[0] <= a.at {
			ends = ends[1:]
		}
		if len(ends) < slots+queue {
			start := a.at
			if len(ends) >= slots {
				start = ends[len(ends)-slots]
			}
			if start+work-a.born <= time {
				answered++
			}
			ends = append(ends, start+work)
			continue
		}
		if left := time - (a.at - a.born); !a.again {
			due = append(due, arrival{at: a.at + tell(a.instance, left, a.at), born: a.born, again: true, instance: a.instance})
		}
	}
	return answered
}

// Load: 60 requests in a second at a service that takes 20, from four
// instances. Told 100 ms, most come back while it is still full and are lost;
// told a time each of their own, most are answered.
func TestRefusedCallersComeBackToFreePlaces(t *testing.T) {
	const requests, instances = 60, 4
	throughput := cfbalance.Throughput{ServiceTime: 400, PerMs: 8.0 / 400}
	var plans []*cfbalance.RetryScheduler
	for range instances {
		plans = append(plans, cfbalance.NewRetryScheduler())
	}
	fixed := simulateBurst(requests, instances, func(int, cf.Millis, cf.Millis) cf.Millis { return 100 })
	planned := simulateBurst(requests, instances, func(instance int, left, now cf.Millis) cf.Millis {
		return plans[instance].RetryAfter("s", throughput, instances, left, now)
	})
	t.Logf("answered of %d: %d when told 100 ms, %d when told a time of their own", requests, fixed, planned)
	if planned < fixed*5/4 {
		t.Errorf("%d answered with planned returns, %d with fixed ones", planned, fixed)
	}
}

// What callers don't heed is not promised, and what is not known is not made up.
func TestReturnsAreWithinWhatCallersHeed(t *testing.T) {
	r := cfbalance.NewRetryScheduler()
	slow := cfbalance.Throughput{ServiceTime: 5000, PerMs: 1.0 / 5000}
	if after := r.RetryAfter("s", slow, 8, 900, 0); after != 300 {
		t.Errorf("told %d ms with 900 left, want 300", after)
	}
	if after := r.RetryAfter("other", cfbalance.Throughput{}, 8, 900, 0); after <= 0 || after > 100 {
		t.Errorf("told %d ms by a service that has answered nothing yet", after)
	}
}

// Only answers that had not to queue tell how fast a service is.
func TestThroughputLeavesQueueingOut(t *testing.T) {
	b := cfbalance.New()
	for _, x := range targets(2) {
		b.Sent(x.ID)
		b.Done(x.ID, cfbalance.Answered, &cf.TargetLoad{Running: 1, Slots: 4}, 100, 0)
		b.Sent(x.ID)
		b.Done(x.ID, cfbalance.Answered, &cf.TargetLoad{Running: 4, Waiting: 9, Slots: 4}, 900, 10)
	}
	got := b.Throughput(targets(2), 20)
	if got.ServiceTime != 100 || got.PerMs != 8.0/100 {
		t.Errorf("throughput %+v, want 100 ms and 0.08 a ms", got)
	}
}

// A lost target's part of the throughput was given to callers again 300 ms after each loss.
func TestThroughputLeavesLostTargetsOut(t *testing.T) {
	b := cfbalance.New()
	for _, x := range targets(2) {
		b.Sent(x.ID)
		b.Done(x.ID, cfbalance.Answered, nil, 100, 0)
	}
	b.Sent("a")
	b.Done("a", cfbalance.Failed, nil, 5, 10)
	if got := b.Throughput(targets(2), 1000); got.PerMs != 4.0/100 {
		t.Errorf("throughput %+v with one of two targets lost, want 0.04 a ms", got)
	}
}
