package cfbalance

import (
	"sync"

	cf "currantford"
)

const (
	// minRetryAfter is the shortest that a refused caller is told to wait: its
	// new connection alone takes some milliseconds.
	minRetryAfter cf.Millis = 50
	// maxRetryAfter bounds the promise where places free slowly; what a service
	// does in three seconds is not known now.
	maxRetryAfter cf.Millis = 3000
	// timeLeftDivisor is the part of a caller's time left within which it heeds the
	// time that it is told.
	timeLeftDivisor = 3
	// firstFreeFraction is the part of an answer's time after which the first place
	// of a full service frees: on average its requests are half done.
	firstFreeFraction = 0.5
)

type (
	// Throughput is how a service frees places, as its answers have shown.
	Throughput struct {
		// ServiceTime is the mean time of an answer at a target without a queue,
		// PerMs the places that free a millisecond over all targets.
		ServiceTime, PerMs float64
	}

	// RetryScheduler tells refused callers when to come back, each at a time of its
	// own: a caller tries again once or twice only, and one that comes back
	// before a place is free, or with all others at once, is lost.
	//
	// The load it answers: a burst of several times what a service takes,
	// refused within a fraction of the time of an answer. It is safe for
	// concurrent use.
	RetryScheduler struct {
		mu   sync.Mutex
		next map[cf.ServiceName]float64 // Uptime of the next free place
	}
)

// NewRetryScheduler returns a plan without promises.
func NewRetryScheduler() *RetryScheduler { return &RetryScheduler{next: map[cf.ServiceName]float64{}} }

// RetryAfter returns when a caller with so much time left should come back to a full
// service. instances is how many share the service's places.
func (r *RetryScheduler) RetryAfter(service cf.ServiceName, t Throughput, instances int, left, now cf.Millis) cf.Millis {
	if t.PerMs <= 0 {
		return minRetryAfter
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at := max(r.next[service], float64(now)+firstFreeFraction*t.ServiceTime)
	r.next[service] = at + float64(max(instances, 1))/t.PerMs
	after := cf.Millis(at) - now
	if most := min(maxRetryAfter, left/timeLeftDivisor); after > most {
		// It comes back then in any case; the place goes to the next.
		r.next[service] = at
		after = most
	}
	return max(after, minRetryAfter)
}

// Throughput returns how the candidates free places; targets that have failed
// lately or have not answered yet count for nothing. One that has failed frees no
// place until it has answered again.
func (b *Balancer) Throughput(candidates []cf.Target, now cf.Millis) Throughput {
	b.mu.Lock()
	defer b.mu.Unlock()
	var t Throughput
	known := 0
	for _, c := range candidates {
		s := b.targets[c.ID]
		if s == nil || s.meanServiceTime <= 0 || s.failures > 0 && now < s.avoidUntil {
			continue
		}
		known++
		t.ServiceTime += s.meanServiceTime
		if s.failures == 0 {
			t.PerMs += float64(max(c.Slots, 1)) / s.meanServiceTime
		}
	}
	if known > 0 {
		t.ServiceTime /= float64(known)
	}
	return t
}
