// Package cfpeak remembers the most of a number over a while.
//
// Usage:
//
//	var p cfpeak.Peak
//	p.Note(running, now)
//	most := p.Of(now)
package cfpeak

import cf "currantford"

// span is for how long the most is remembered, at least: the steps of a trainer are
// seconds apart, and what follows their size should not change between them.
const span cf.Millis = 30000

// Peak is the most of a number in the last one or two spans. The zero value has seen
// nothing.
type Peak struct {
	current, previous int
	startedAt         cf.Millis
}

// Observe takes the number as of at.
func (p *Peak) Observe(n int, at cf.Millis) {
	p.Max(at)
	p.current = max(p.current, n)
}

// Max returns the most, as of at.
func (p *Peak) Max(at cf.Millis) int {
	if at-p.startedAt > span {
		p.previous, p.current, p.startedAt = p.current, 0, at
	}
	return max(p.previous, p.current)
}
