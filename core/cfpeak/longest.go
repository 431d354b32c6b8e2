package cfpeak

import (
	"maps"

	cf "currantford"
)

type (
	// Longest tracks the longest of the durations observed lately, and their number, by key. An
	// observation counts for one to two spans. Longest is not safe for concurrent use.
	Longest[K comparable] struct {
		span  cf.Millis
		byKey map[K]*windows
	}

	// windows holds the current and the previous span of a key.
	windows struct {
		current, previous window
		startedAt         cf.Millis
	}

	window struct {
		longest cf.Millis
		count   int
	}
)

// NewLongest returns a Longest without observations.
func NewLongest[K comparable](span cf.Millis) *Longest[K] {
	return &Longest[K]{span: span, byKey: map[K]*windows{}}
}

// Observe records a duration at the given time.
func (l *Longest[K]) Observe(key K, duration, at cf.Millis) {
	w := l.byKey[key]
	if w == nil {
		// Keys such as the routes of a deployment come and go.
		maps.DeleteFunc(l.byKey, func(_ K, w *windows) bool { return at-w.startedAt >= 2*l.span })
		w = &windows{startedAt: at}
		l.byKey[key] = w
	}
	w.advance(l.span, at)
	w.current.longest = max(w.current.longest, duration)
	w.current.count++
}

// Get returns the longest duration and the number of durations as of the given time, both zero if
// none was observed lately.
func (l *Longest[K]) Get(key K, at cf.Millis) (longest cf.Millis, count int) {
	w := l.byKey[key]
	if w == nil {
		return 0, 0
	}
	w.advance(l.span, at)
	return max(w.current.longest, w.previous.longest), w.current.count + w.previous.count
}

// advance begins a new span if the current one is over.
func (w *windows) advance(span, now cf.Millis) {
	switch age := now - w.startedAt; {
	case age >= 2*span:
		w.previous, w.current, w.startedAt = window{}, window{}, now
	case age >= span:
		w.previous, w.current, w.startedAt = w.current, window{}, now
	}
}
