package cfreplay

import (
	"fmt"
	"math"
	"slices"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfrollout"
)

const (
	// Times after a step's acceptance: at StepDue its results are due, until FullValueUntil a
	// complete group counts in full, and at StepTimeout its trainer abandons the step.
	StepDue        cf.Millis = 7500
	FullValueUntil cf.Millis = 8200
	StepTimeout    cf.Millis = 12000
	// tokensPerEvent is the number of tokens of an event, promptTokens that of a prompt.
	tokensPerEvent = 74
	promptTokens   = 300
	// longFraction of the texts are longFactor times longer than the others. lengthLogStdDev is the
	// standard deviation of the logarithm of the lengths, hintLogStdDev that of the error of the
	// length hints.
	longFraction    = 0.08
	longFactor      = 5
	lengthLogStdDev = 0.5
	hintLogStdDev   = 0.47
)

type (
	// Trainer describes a trainer and its steps.
	Trainer struct {
		Model cf.ModelName
		// MeanEvents and MaxEvents are the mean and the maximum length of a text, in events.
		MeanEvents, MaxEvents float64
		// MinGroups and MaxGroups bound the number of groups of a step, and GroupSize is the number
		// of items of a group. The trainer waits for RequiredFraction of the groups.
		MinGroups, MaxGroups, GroupSize int
		RequiredFraction                float64
		// StepInterval is the minimum time between the starts of two steps, TrainTime the time for
		// training after each step.
		StepInterval, TrainTime cf.Millis
		// CarryOver says that the incomplete groups of a step are submitted again with the next
		// step.
		CarryOver bool
		// From and Until are the times between which the trainer submits steps. If Until is zero,
		// it submits steps without end.
		From, Until cf.Millis
	}

	// Outcome holds the results of a trainer's finished steps.
	Outcome struct {
		Steps int
		// Required is the number of groups that the trainer waited for. InTime of them were
		// complete by FullValueUntil, and Late more of them before StepTimeout.
		Required, InTime, Late int
		// UpperBound is an upper bound of InTime: the number of groups that the trainer's share of
		// the engines could complete if all of its slots were in use from the first moment on.
		UpperBound int
		// StepTime is the total duration of the steps.
		StepTime cf.Millis
		// Value is the sum of the groups' values: 1 for a group in time, and for a late one a
		// fraction that falls to 0 at StepTimeout.
		Value float64
	}

	trainer struct {
		Trainer
		sim            *Simulation
		lengths        map[cf.ItemID]float64
		items          map[cf.GroupID][]cf.Item
		stepNumber     int
		nextStepAt     cf.Millis
		batch          *cfbatch.Batch
		accepted       cf.Millis
		pendingResults []cf.Result
		countedGroups  map[cf.GroupID]bool
		incomplete     []cf.GroupID
		// current is the outcome of the step in progress, outcome the sum of the finished ones.
		current, outcome Outcome
	}
)

func newTrainer(sim *Simulation, t Trainer) *trainer {
	return &trainer{
		Trainer: t, sim: sim, lengths: map[cf.ItemID]float64{}, items: map[cf.GroupID][]cf.Item{},
		nextStepAt: t.From + cf.Millis(sim.random.IntN(1000)),
	}
}

// drawLength returns a random text length, in events.
func (t *trainer) drawLength() float64 {
	n := t.MeanEvents / (1 + longFraction*(longFactor-1)) * math.Exp(lengthLogStdDev*t.sim.random.NormFloat64()-lengthLogStdDev*lengthLogStdDev/2)
	if t.sim.random.Float64() < longFraction {
		n *= longFactor
	}
	return math.Ceil(min(max(n, 1), t.MaxEvents))
}

// submitStep submits the next step.
func (t *trainer) submitStep(now cf.Millis) {
	sim := t.sim
	t.stepNumber++
	sim.planner.SetVersion(t.Model, cf.WeightVersion(t.stepNumber))
	n := t.MinGroups + sim.random.IntN(t.MaxGroups-t.MinGroups+1)
	sub := cf.Submission{
		ID: cf.BatchID(fmt.Sprintf("%s-%d", t.Model, t.stepNumber)), Model: t.Model, MinVersion: cf.WeightVersion(max(t.stepNumber-1, 1)),
		TargetGroups: int(math.Ceil(t.RequiredFraction * float64(n))), Accepted: now,
	}
	var groups []cf.GroupID
	if t.CarryOver {
		groups = append(groups, t.incomplete[:min(len(t.incomplete), sub.TargetGroups/2)]...)
	}
	carried := len(groups)
	for k := carried; k < n; k++ {
		groups = append(groups, t.drawGroup(sub.ID, k))
	}
	for _, g := range groups {
		sub.Items = append(sub.Items, t.items[g]...)
	}
	t.batch, t.accepted, t.countedGroups = cfbatch.New(sub), now, map[cf.GroupID]bool{}
	for _, g := range groups[:carried] {
		t.batch.CarryOver(g)
	}
	terms := cfrollout.Terms{Service: engineService, MaxAttempts: 3, MaxWait: 5 * StepTimeout, Due: now + StepDue, Span: StepDue}
	for _, w := range sim.planner.AddBatch(t.batch, terms) {
		t.addResult(w)
	}
	t.current = Outcome{Steps: 1, Required: sub.TargetGroups, UpperBound: t.upperBound(groups)}
}

// drawGroup creates a group with items of random lengths.
func (t *trainer) drawGroup(id cf.BatchID, k int) cf.GroupID {
	g := cf.GroupID(fmt.Sprintf("%s-%02d", id, k))
	for i := range t.GroupSize {
		it := cf.Item{ID: cf.ItemID(fmt.Sprintf("%s-%02d", g, i)), Group: g, PromptTokens: promptTokens}
		length := t.drawLength()
		t.lengths[it.ID] = length
		it.LengthHint = cf.Tokens(max(1, tokensPerEvent*length*math.Exp(hintLogStdDev*t.sim.random.NormFloat64())))
		it.MaxTokens = cf.Tokens(promptTokens + tokensPerEvent*length)
		t.items[g] = append(t.items[g], it)
	}
	return g
}

// upperBound returns an upper bound of the number of a step's groups that can be complete by
// FullValueUntil. It takes the groups with the least work first. No order of the work makes the
// slots of an engine yield events faster than at the pace assumed here.
func (t *trainer) upperBound(groups []cf.GroupID) int {
	e := t.sim.options.Engines
	pace := e.EventTime + e.EventTimePerRun*float64(e.Slots)
	slots := float64(t.sim.Shares()[t.Model] * e.Slots)
	var groupWork []float64
	for _, g := range groups {
		work, longest := 0.0, 0.0
		for _, it := range t.items[g] {
			work += t.lengths[it.ID] * pace
			longest = max(longest, t.lengths[it.ID])
		}
		if longest*(e.EventTime+e.EventTimePerRun) <= float64(FullValueUntil) {
			groupWork = append(groupWork, work)
		}
	}
	slices.Sort(groupWork)
	n, sum := 0, 0.0
	for _, w := range groupWork {
		if sum += w; sum > slots*float64(FullValueUntil) || n == int(math.Ceil(t.RequiredFraction*float64(len(groups)))) {
			break
		}
		n++
	}
	return n
}

// addResult keeps a complete text until the next poll.
func (t *trainer) addResult(w *cfrollout.Work) {
	if t.batch != nil && t.batch.Sub.ID == w.Batch.Sub.ID {
		t.pendingResults = append(t.pendingResults, cf.Result{ID: w.Item.ID, State: cf.ItemDone})
	}
}

// poll adds the complete texts to the batch and lets the trainer read them. Without a current step,
// it submits the next one when it is due.
func (t *trainer) poll(now cf.Millis) {
	if t.batch == nil {
		if now >= t.nextStepAt && (t.Until == 0 || now < t.Until) {
			t.submitStep(now)
		}
		return
	}
	timedOut := now >= t.accepted+StepTimeout
	if len(t.pendingResults) == 0 && !timedOut {
		return
	}
	t.batch.Apply(t.batch.NextChunk(), t.pendingResults)
	t.pendingResults = nil
	complete, carriedOpen := 0, false
	var incomplete []cf.GroupID
	group := cf.GroupID("")
	for _, it := range t.batch.Sub.Items {
		if it.Group == group {
			continue
		}
		group = it.Group
		if t.batch.GroupRemaining(group) == 0 {
			complete++
			t.countGroup(group, now-t.accepted)
			continue
		}
		incomplete = append(incomplete, group)
		carriedOpen = carriedOpen || t.batch.CarriedOver(group)
	}
	if complete >= t.batch.Sub.TargetGroups && !carriedOpen || timedOut {
		t.incomplete = incomplete
		t.finishStep(now)
	}
}

// countGroup counts a group that was complete the given time after the acceptance of the step.
func (t *trainer) countGroup(g cf.GroupID, took cf.Millis) {
	if t.countedGroups[g] || len(t.countedGroups) >= t.batch.Sub.TargetGroups {
		return
	}
	t.countedGroups[g] = true
	switch {
	case took <= FullValueUntil:
		t.current.InTime++
		t.current.Value++
	case took < StepTimeout:
		t.current.Late++
		t.current.Value += float64(StepTimeout-took) / float64(StepTimeout-FullValueUntil)
	}
}

// finishStep ends the current step and adds its results to the outcome.
func (t *trainer) finishStep(now cf.Millis) {
	c, sum := t.current, &t.outcome
	sum.Steps += c.Steps
	sum.Required += c.Required
	sum.InTime += c.InTime
	sum.Late += c.Late
	sum.UpperBound += c.UpperBound
	sum.Value += c.Value
	sum.StepTime += now - t.accepted
	for _, w := range t.sim.planner.EndBatch(t.batch.Sub.ID) {
		t.sim.endRun(w, cfrollout.OutcomeStopped)
	}
	t.batch = nil
	t.nextStepAt = max(now+t.TrainTime, t.accepted+t.StepInterval)
}
