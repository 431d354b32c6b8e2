// Package cfpeak tracks the maximum of a number, or of durations by key, over a time window.
//
// Usage:
//
//	var p cfpeak.Peak
//	p.Observe(running, now)
//	highest := p.Max(now)
//
//	l := cfpeak.NewLongest[string](span)
//	l.Observe("route", took, now)
//	longest, count := l.Get("route", now)
package cfpeak

import cf "currantford"

// span is the minimum time for which a maximum is kept: the steps of a trainer are seconds apart,
// and decisions based on their size should not change between steps.
const span cf.Millis = 30000

// Peak is the maximum of a number over the last one to two spans. The zero value has no
// observations.
type Peak struct {
	current, previous int
	startedAt         cf.Millis
}

// Observe records the number at the given time.
func (p *Peak) Observe(n int, at cf.Millis) {
	p.Max(at)
	p.current = max(p.current, n)
}

// Max returns the maximum as of the given time.
func (p *Peak) Max(at cf.Millis) int {
	if at-p.startedAt > span {
		p.previous, p.current, p.startedAt = p.current, 0, at
	}
	return max(p.previous, p.current)
}
