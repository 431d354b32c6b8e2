package cfscale

import (
	"slices"

	cf "currantford"
)

const (
	// recentStepWindow is for how long a step that has ended decides about more engines, five
	// steps of a trainer; for fewer it counts as long as an estimate.
	recentStepWindow cf.Millis = 20_000
	// minStepsObserved is how many steps must have ended to show what they need.
	minStepsObserved = 4
	// lateShare is the part of its time in which a step is late, or will be by any trouble. By
	// inTime it ends in time, and engines may go; by prompt it does not hold its trainer up,
	// which hands in the next only then: engines are ordered for that.
	lateShare   = 0.8
	inTimeShare = 0.85
	promptShare = 0.7
	// minStartShare is the least part of its time that a step is taken to have for its items to
	// begin: beyond that it is late for other reasons than too few engines.
	minStartShare = 0.25
	// maxWaitShare is by which part of its time an open step should have no item that waits.
	maxWaitShare = 0.5
)

type (
	// stepHistory follows how steps go. The time of a step is until its last item has begun, which
	// shrinks with more engines, and from then on, which its longest texts take on any.
	stepHistory struct {
		open  map[cf.BatchID]*trackedStep
		ended []endedStep
	}

	trackedStep struct {
		age, due cf.Millis
		seenAt   cf.Millis
		// waitedUntil is until when items waited, waits that some do.
		waitedUntil cf.Millis
		hasWaiting  bool
		// engines are those that were there when it began.
		engines int
	}

	endedStep struct {
		endedAt cf.Millis
		// timeShare is its time as a part of that in which it was due, inTime and prompt the
		// engines with which it would just have ended by those parts.
		timeShare, enginesInTime, enginesPrompt float64
	}
)

// update takes the open steps of a look; one that is not among them any more has ended.
func (h *stepHistory) update(now cf.Millis, steps []OpenStep, engines int) {
	before := h.open
	h.open = map[cf.BatchID]*trackedStep{}
	for _, s := range steps {
		if s.Due <= 0 {
			continue
		}
		o := before[s.Batch]
		if o == nil {
			o = &trackedStep{due: s.Due, engines: engines, hasWaiting: true}
		}
		delete(before, s.Batch)
		o.age, o.seenAt = s.Age, now
		if o.hasWaiting {
			o.waitedUntil, o.hasWaiting = s.Age, s.Waiting > 0
		}
		h.open[s.Batch] = o
	}
	for _, o := range before {
		h.ended = append(h.ended, o.end(now))
	}
	h.ended = slices.DeleteFunc(h.ended, func(e endedStep) bool { return now-e.endedAt > needWindow })
}

// end returns how a step has gone that ended since the look before.
func (o *trackedStep) end(now cf.Millis) endedStep {
	duration, due := float64(o.age)+float64(now-o.seenAt)/2, float64(o.due)
	waited := float64(o.waitedUntil)
	enginesFor := func(share float64) float64 { // the items have to begin in what the rest leaves of it
		return float64(o.engines) * waited / max(share*due-duration+waited, minStartShare*due)
	}
	return endedStep{endedAt: now, timeShare: duration / due, enginesInTime: enginesFor(inTimeShare), enginesPrompt: enginesFor(promptShare)}
}

// worstTimeShare returns the longest that a recent step took, or an open one has taken, as a part of
// the time in which it was due.
func (h *stepHistory) worstTimeShare(now cf.Millis) float64 {
	worst := 0.0
	for _, e := range h.ended {
		if now-e.endedAt <= recentStepWindow {
			worst = max(worst, e.timeShare)
		}
	}
	for _, o := range h.open {
		worst = max(worst, float64(o.age)/float64(o.due))
	}
	return worst
}

// enginesForPrompt returns how many engines recent steps needed to end promptly, open ones with them,
// false if too few have ended to show it.
func (h *stepHistory) enginesForPrompt(now cf.Millis) (float64, bool) {
	needed, steps := 0.0, 0
	for _, e := range h.ended {
		if now-e.endedAt <= recentStepWindow {
			needed, steps = max(needed, e.enginesPrompt), steps+1
		}
	}
	for _, o := range h.open {
		if o.hasWaiting {
			needed = max(needed, float64(o.engines)*float64(o.age)/(maxWaitShare*float64(o.due)))
		}
	}
	return needed, steps >= minStepsObserved
}

// enginesForInTime returns how many engines the steps that are remembered needed to end in time, false
// if too few have ended to show it.
func (h *stepHistory) enginesForInTime() (float64, bool) {
	needed := 0.0
	for _, e := range h.ended {
		needed = max(needed, e.enginesInTime)
	}
	return needed, len(h.ended) >= minStepsObserved
}
