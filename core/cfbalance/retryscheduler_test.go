package cfbalance_test

import (
	"sort"
	"testing"

	cf "currantford"
	"currantford/core/cfbalance"
)

// simulateBurst simulates requests that arrive within a second, several times the capacity of two
// targets with four slots and four queue places each and a service time of 400 ms. Callers have 4 s
// in all and come back once, when told. It returns the number of requests that were answered.
func simulateBurst(requests, instances int, retryAfter func(instance int, left, now cf.Millis) cf.Millis) int {
	const slots, queue, work, time = 8, 8, 400, 4000
	type arrival struct {
		at, firstAt cf.Millis
		again       bool
		instance    int
	}
	var due []arrival
	for i := range requests {
		at := cf.Millis(i * 1000 / requests)
		due = append(due, arrival{at: at, firstAt: at, instance: i % instances})
	}
	var ends []cf.Millis // end times of the requests that run or wait
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
			if start+work-a.firstAt <= time {
				answered++
			}
			ends = append(ends, start+work)
			continue
		}
		if left := time - (a.at - a.firstAt); !a.again {
			due = append(due, arrival{at: a.at + retryAfter(a.instance, left, a.at), firstAt: a.firstAt, again: true, instance: a.instance})
		}
	}
	return answered
}

// 60 requests in a second from four instances arrive at a service with a capacity of 20. If all are
// told to come back after 100 ms, most find the service still full and fail; with a separate time
// for each, most are answered.
func TestRefusedCallersComeBackToFreeSlots(t *testing.T) {
	const requests, instances = 60, 4
	throughput := cfbalance.Throughput{ServiceTime: 400, PerMs: 8.0 / 400}
	var schedulers []*cfbalance.RetryScheduler
	for range instances {
		schedulers = append(schedulers, cfbalance.NewRetryScheduler())
	}
	fixed := simulateBurst(requests, instances, func(int, cf.Millis, cf.Millis) cf.Millis { return 100 })
	scheduled := simulateBurst(requests, instances, func(instance int, left, now cf.Millis) cf.Millis {
		return schedulers[instance].RetryAfter("s", throughput, instances, left, now)
	})
	t.Logf("answered of %d: %d with a fixed 100 ms, %d with a separate time for each", requests, fixed, scheduled)
	if scheduled < fixed*5/4 {
		t.Errorf("%d answered with separate times, %d with a fixed one", scheduled, fixed)
	}
}

// The time must not exceed what callers follow, and must be short while the throughput is unknown.
func TestRetryAfterIsWithinWhatCallersFollow(t *testing.T) {
	r := cfbalance.NewRetryScheduler()
	slow := cfbalance.Throughput{ServiceTime: 5000, PerMs: 1.0 / 5000}
	if after := r.RetryAfter("s", slow, 8, 900, 0); after != 300 {
		t.Errorf("RetryAfter returned %d ms with 900 ms left, want 300", after)
	}
	if after := r.RetryAfter("other", cfbalance.Throughput{}, 8, 900, 0); after <= 0 || after > 100 {
		t.Errorf("RetryAfter returned %d ms for a service without answers", after)
	}
}

// Only answers that did not wait in a queue show the service time.
func TestThroughputExcludesQueueing(t *testing.T) {
	b := cfbalance.New()
	for _, x := range targets(2) {
		b.Sent(x.ID)
		b.Done(x.ID, cfbalance.Answered, &cf.TargetLoad{Running: 1, Slots: 4}, 100, 0)
		b.Sent(x.ID)
		b.Done(x.ID, cfbalance.Answered, &cf.TargetLoad{Running: 4, Waiting: 9, Slots: 4}, 900, 10)
	}
	got := b.Throughput(targets(2), 20)
	if got.ServiceTime != 100 || got.PerMs != 8.0/100 {
		t.Errorf("throughput %+v, want 100 ms and 0.08 per ms", got)
	}
}

// TestThroughputExcludesLostTargets guards against counting a lost target's share of the throughput
// again 300 ms after each loss.
func TestThroughputExcludesLostTargets(t *testing.T) {
	b := cfbalance.New()
	for _, x := range targets(2) {
		b.Sent(x.ID)
		b.Done(x.ID, cfbalance.Answered, nil, 100, 0)
	}
	b.Sent("a")
	b.Done("a", cfbalance.Failed, nil, 5, 10)
	if got := b.Throughput(targets(2), 1000); got.PerMs != 4.0/100 {
		t.Errorf("throughput %+v with one of two targets lost, want 0.04 per ms", got)
	}
}
