package cfbalance

import (
	"sync"

	cf "currantford"
)

const (
	// minRetryAfter is the shortest time that a refused caller is told to wait: its new connection
	// alone takes some milliseconds.
	minRetryAfter cf.Millis = 50
	// maxRetryAfter bounds the time where slots become free slowly; the load of a service in three
	// seconds is not predictable.
	maxRetryAfter cf.Millis = 3000
	// timeLeftDivisor divides the time that a caller has left: a caller waits as told only if the
	// wait is at most that part of it.
	timeLeftDivisor = 3
	// firstFreeFraction is the fraction of the service time after which the first slot of a full
	// service becomes free: on average its requests are half done.
	firstFreeFraction = 0.5
)

type (
	// Throughput is the rate at which slots of a service become free, as measured from its answers.
	Throughput struct {
		// ServiceTime is the mean time in ms of an answer without queueing, PerMs the number of
		// slots that become free per ms over all targets.
		ServiceTime, PerMs float64
	}

	// RetryScheduler tells each refused caller its own time to come back. Callers retry only once
	// or twice; one that comes back before a slot is free, or at the same time as all others,
	// fails. RetryScheduler is safe for concurrent use.
	//
	// It is designed for bursts of several times the capacity of a service, refused within a
	// fraction of the service time.
	RetryScheduler struct {
		mu   sync.Mutex
		next map[cf.ServiceName]float64 // Uptime of the next free slot
	}
)

// NewRetryScheduler returns a scheduler that has assigned no slots.
func NewRetryScheduler() *RetryScheduler { return &RetryScheduler{next: map[cf.ServiceName]float64{}} }

// RetryAfter returns how long a caller of a full service should wait before it comes back; left is
// the time that the caller has left, and instances the number of instances that share the service's
// slots.
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
		// The caller does not wait until this slot is free, so the slot is assigned to the next
		// caller.
		r.next[service] = at
		after = most
	}
	return max(after, minRetryAfter)
}

// Throughput returns the throughput of the candidates. Targets that failed recently or have not
// answered yet are left out. A target that failed adds nothing to PerMs until it answers again.
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
