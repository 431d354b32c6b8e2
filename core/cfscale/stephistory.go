package cfscale

import (
	"slices"

	cf "currantford"
)

const (
	// recentStepWindow is how long a step that has ended counts in decisions to order more engines,
	// five steps of a trainer. In decisions to release engines it counts as long as an estimate,
	// for needWindow.
	recentStepWindow cf.Millis = 20_000
	// minStepsObserved is the number of steps that must have ended to show how many engines steps
	// need.
	minStepsObserved = 4
	// lateShare, inTimeShare and promptShare are fractions of the time that a step has. After
	// lateShare a step is late, or will be if anything goes wrong. If it ends by inTimeShare, it is
	// in time, and engines may be released. If it ends by promptShare, it does not delay its
	// trainer, which submits the next step only then; engines are ordered to achieve this.
	lateShare   = 0.8
	inTimeShare = 0.85
	promptShare = 0.7
	// minStartShare is the smallest fraction of a step's time that is assumed to be available for
	// starting its items. A step that has less is late for other reasons than too few engines.
	minStartShare = 0.25
	// maxWaitShare is the fraction of an open step's time after which no item should be waiting.
	maxWaitShare = 0.5
)

type (
	// stepHistory records how long steps take. A step's duration has two parts: the time until its
	// last item has started, which decreases with more engines, and the time after that, which its
	// longest texts take with any number of engines.
	stepHistory struct {
		open  map[cf.BatchID]*trackedStep
		ended []endedStep
	}

	trackedStep struct {
		age, due cf.Millis
		seenAt   cf.Millis
		// waitedUntil is the age of the step until which items waited. hasWaiting says that some
		// are still waiting.
		waitedUntil cf.Millis
		hasWaiting  bool
		// engines is the number of engines in service when the step began.
		engines int
	}

	endedStep struct {
		endedAt cf.Millis
		// timeShare is the duration as a fraction of the time that the step had. enginesInTime and
		// enginesPrompt are the numbers of engines with which it would just have ended by
		// inTimeShare and by promptShare.
		timeShare, enginesInTime, enginesPrompt float64
	}
)

// update takes the steps that are open now. A step that is no longer among them has ended.
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

// end returns the result of a step that has ended since the last update.
func (o *trackedStep) end(now cf.Millis) endedStep {
	duration, due := float64(o.age)+float64(now-o.seenAt)/2, float64(o.due)
	waited := float64(o.waitedUntil)
	enginesFor := func(share float64) float64 { // all items must have started in the time that the rest of the duration leaves
		return float64(o.engines) * waited / max(share*due-duration+waited, minStartShare*due)
	}
	return endedStep{endedAt: now, timeShare: duration / due, enginesInTime: enginesFor(inTimeShare), enginesPrompt: enginesFor(promptShare)}
}

// worstTimeShare returns the longest duration of a recent step, or the age of an open one, as a
// fraction of the time that the step had.
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

// enginesForPrompt returns how many engines recent and open steps needed to end promptly, and false
// if too few steps have ended to show it.
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

// enginesForInTime returns how many engines the steps within needWindow needed to end in time, and
// false if too few have ended to show it.
func (h *stepHistory) enginesForInTime() (float64, bool) {
	needed := 0.0
	for _, e := range h.ended {
		needed = max(needed, e.enginesInTime)
	}
	return needed, len(h.ended) >= minStepsObserved
}
