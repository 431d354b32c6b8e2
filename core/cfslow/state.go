package cfslow

import cf "currantford"

const (
	// slowFrom and quietBelow are how many times its lasting pace an engine takes when a
	// period of slowness begins and ends. Events show the paces of 1 and 2.5 times with
	// an error of some 10%; those made half in a period lie between.
	slowFrom   = 1.4
	quietBelow = 1.25
	// lost is after how long without an event the state of an engine is not known.
	lost cf.Millis = 400
	// riseOver and fallOver are over how long the lasting pace follows a quiet engine's: a
	// lower one shows that it was not quiet before.
	riseOver = 2000.0
	fallOver = 300.0
	// ratioWeight is the weight of the newest pace in how much slower a period is.
	ratioWeight = 0.3
)

// State is what the events of an engine's runs show of it. The zero value is an engine
// that has shown nothing.
type State struct {
	usual float64 // the lasting pace
	ratio float64 // of both, smoothed over a period
	slow  bool
	since cf.Millis // when the period began
	seen  cf.Millis
}

// Usual returns an engine's lasting pace, zero where it has not shown.
func (s *State) Usual() float64 { return s.usual }

// Seen returns when the engine's pace showed last.
func (s *State) Seen() cf.Millis { return s.seen }

// Slow says whether the engine is in a period of slowness.
func (s *State) Slow(now cf.Millis) bool {
	return s.slow && now-s.seen <= lost
}

// Since returns when the period of slowness began that the engine is in.
func (s *State) Since() cf.Millis { return s.since }

// Note takes the pace of an engine's events as they show it at seen, in ms per event with one
// run. suspect says that the observer may have been late: no period begins then.
func (s *State) Note(p *Periods, pace float64, seen cf.Millis, suspect bool) {
	if s.usual == 0 {
		s.usual, s.seen = pace, seen
		return
	}
	passed := seen - s.seen
	if passed <= 0 {
		return
	}
	s.seen = seen
	if passed > lost && s.slow {
		p.end(seen-passed-s.since, false, seen)
		s.slow = false
	}
	ratio := pace / s.usual
	switch {
	case s.slow && ratio < quietBelow:
		s.slow = false
		p.end(seen-s.since, true, seen)
	case s.slow && seen-s.since > age*ages:
		p.end(seen-s.since, false, seen)
		s.slow, s.usual = false, pace
	case s.slow:
		s.ratio += ratioWeight * (ratio - s.ratio)
		if seen-s.since > age {
			p.noteSlowdown(s.ratio)
		}
	case ratio > slowFrom && !suspect:
		s.slow, s.ratio = true, ratio
		s.since = seen - cf.Millis(min(pace, float64(passed))) // it began within an event
		p.begun = p.begun*keep + 1
		p.quiet *= keep
	case ratio <= slowFrom:
		over := riseOver
		if pace < s.usual {
			over = fallOver
		}
		s.usual += min(float64(passed)/over, 1) * (pace - s.usual)
		p.quiet += float64(min(passed, lost))
	}
}

// Forget drops a period that is under way, and what is known of the engine's pace now: it
// does something else for a while.
func (s *State) Forget(p *Periods, now cf.Millis) {
	if s.slow {
		p.end(max(s.seen-s.since, 0), false, now)
	}
	s.slow = false
}

func (p *Periods) noteSlowdown(ratio float64) {
	if p.slowdown == 0 {
		p.slowdown = ratio
	}
	p.slowdown += slowdownWeight * (ratio - p.slowdown)
}

// Shows says whether a pace would begin a period of slowness, or is of one.
func (s *State) Shows(pace float64) bool { return s.usual > 0 && pace > slowFrom*s.usual }
