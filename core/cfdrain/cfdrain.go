// Package cfdrain decides what an instance still accepts while it stops: only work that will be
// complete before the instance ends. How long work takes is estimated from the work of the same
// class that has ended lately. It has no sockets and no clock.
//
// It is built for these conditions: callers keep sending for seconds after the instance has been
// taken out of the address lists, and some of their requests are streams that take longer than what
// is left of the grace period. Another instance would serve them, but a stream that is broken off
// is lost to a caller that may not repeat it. An estimate is too short now and then: a stream may take
// longer than any before, whatever size it states, as engines pause and batches slow them. Therefore,
// work that would be lost is judged by its time limit alone once the first seconds of a stop are over.
//
// Usage:
//
//	d := cfdrain.New()
//	class := cfdrain.Class{Kind: "route", Name: name}
//	d.Observe(class, took, now) // whenever a request has ended
//	d.BeginAt(now, until)       // when the stop begins
//	if v := d.JudgeLossy(class, timeout, now); !v.Accept {
//		// refuse the request; callers find another instance
//	}
package cfdrain

import (
	"math/bits"
	"sync"

	cf "currantford"
	"currantford/core/cfpeak"
)

const (
	// span is how long an observation counts, at least. A deployment of many instances sends each
	// of them a few requests of a route in this time.
	span cf.Millis = 60000
	// tailMargin is the fraction by which work may exceed the longest observation, as durations
	// without a bound do now and then. fewMargin divided by the number of observations is added to
	// it: a few observations say little about the longest duration.
	tailMargin = 0.2
	fewMargin  = 5.0
	// estimatePeriod is how long after the beginning of a stop lossy work is accepted by an estimate.
	// Callers accept that the end of the grace period breaks off what they sent in the first three
	// seconds; the process learns of the stop a little later than they do.
	estimatePeriod cf.Millis = 2800
	// maxSize is the largest size of work that is looked up: a thousand million tokens.
	maxSize = 30
)

type (
	// Drain tracks the durations of work by class and the end of the instance. It is safe for
	// concurrent use.
	Drain struct {
		mu        sync.Mutex
		durations *cfpeak.Longest[Class]
		began     cf.Millis
		until     cf.Millis // zero while the instance is not stopping
	}

	// Class identifies work of similar duration, such as the requests of a route. Size is that of
	// SizeOf; within a class of one kind and name, larger work takes longer.
	Class struct {
		Kind, Name string
		Size       int
	}

	// Verdict states whether work is accepted, and why: the time that is left until the end of the
	// instance, and how long the work is expected to take, zero if that is unknown.
	Verdict struct {
		Accept         bool
		Left, Expected cf.Millis
	}
)

// New returns a Drain without observations, of an instance that is not stopping.
func New() *Drain { return &Drain{durations: cfpeak.NewLongest[Class](span)} }

// Begin begins the stop: all work must be complete by until, an Uptime. Its first seconds count as
// over.
func (d *Drain) Begin(until cf.Millis) { d.BeginAt(0, until) }

// BeginAt begins the stop at the Uptime now: all work must be complete by until.
func (d *Drain) BeginAt(now, until cf.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.began, d.until = now, until
}

// Left returns the time that is left for work, and false if the instance is not stopping.
func (d *Drain) Left(now cf.Millis) (cf.Millis, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.until - now, d.until > 0
}

// Observe records that work of a class has ended after the time took.
func (d *Drain) Observe(class Class, took, now cf.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durations.Observe(class, took, now)
}

// Judge decides whether work of a class is accepted. The work ends by itself after limit, at the
// latest; zero means that it has no limit.
func (d *Drain) Judge(class Class, limit, now cf.Millis) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.judge(d.expected(class, now), limit, now)
}

// JudgeLossy is Judge for work that is lost if it is broken off, and that another instance would do.
func (d *Drain) JudgeLossy(class Class, limit, now cf.Millis) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	expected := cf.Millis(0) // unknown, so that the limit decides
	if now-d.began <= estimatePeriod {
		expected = d.expected(class, now)
	}
	return d.judge(expected, limit, now)
}

// judge decides by the expected duration, zero if that is unknown. d.mu must be held.
func (d *Drain) judge(expected, limit, now cf.Millis) Verdict {
	if d.until == 0 {
		return Verdict{Accept: true}
	}
	if limit > 0 && (expected == 0 || limit < expected) {
		expected = limit
	}
	left := d.until - now
	return Verdict{Accept: expected > 0 && expected <= left, Left: left, Expected: expected}
}

// SizeOf returns the size of a request that generates up to the given number of tokens: its order
// of magnitude, zero if the number is unknown.
func SizeOf(output cf.Tokens) int { return bits.Len64(uint64(max(output, 0))) }

// expected returns how long work of a class takes at most, zero if that is unknown. Work of a larger
// size is an upper bound as well. d.mu must be held.
func (d *Drain) expected(class Class, now cf.Millis) cf.Millis {
	bound := d.bound(class, now)
	if class.Size == 0 {
		return bound
	}
	for class.Size++; class.Size <= maxSize; class.Size++ {
		if larger := d.bound(class, now); larger > 0 && (bound == 0 || larger < bound) {
			bound = larger
		}
	}
	return bound
}

// bound returns how long work of exactly one class takes at most, zero if that is unknown. d.mu must
// be held.
func (d *Drain) bound(class Class, now cf.Millis) cf.Millis {
	longest, n := d.durations.Get(class, now)
	if n == 0 {
		return 0
	}
	return cf.Millis(float64(max(longest, 1)) * (1 + tailMargin + fewMargin/float64(n)))
}
