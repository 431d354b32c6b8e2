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
	// StepDue is how long after its acceptance a step's results are due, Full until when its
	// groups count in full, and End when its trainer gives it up.
	StepDue        cf.Millis = 7500
	FullValueUntil cf.Millis = 8200
	StepTimeout    cf.Millis = 12000
	// tokensPerEvent are those of an event, prompt those of a prompt.
	tokensPerEvent = 74
	promptTokens   = 300
	// longFraction of the texts have longFactor times the usual length; spread and wrong are the
	// logarithmic deviations of lengths and of their hints.
	longFraction    = 0.08
	longFactor      = 5
	lengthLogStdDev = 0.5
	hintLogStdDev   = 0.47
)

type (
	// Trainer shapes a trainer and its steps.
	Trainer struct {
		Model cf.ModelName
		// MeanEvents is the mean length of a text, Longest the most.
		MeanEvents, MaxEvents float64
		// MinGroups and Most are how many groups a step has, Size the items of each; the
		// trainer waits for Want of them.
		MinGroups, MaxGroups, GroupSize int
		RequiredFraction                float64
		// StepInterval is the least time between steps, Train the training after each.
		StepInterval, TrainTime cf.Millis
		// CarryOver: groups that were not whole are submitted again with the next step.
		CarryOver bool
		// From and Until are when it hands in steps; zero for ever.
		From, Until cf.Millis
	}

	// Outcome is what a trainer got of the steps that have ended.
	Outcome struct {
		Steps int
		// Required are the groups that it waited for. Of them InTime were whole
		// until Full, and Late until End.
		Required, InTime, Late int
		// UpperBound bounds InTime: what the trainer's share of the engines, all slots full from the
		// first moment on, would have made whole.
		UpperBound int
		// StepTime is the time of the steps in all.
		StepTime cf.Millis
		// Value counts a group in time as 1, and a late one as less, down to 0 at End.
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
		// current is the outcome of the step under way, outcome that of the ended ones.
		current, outcome Outcome
	}
)

func newTrainer(sim *Simulation, t Trainer) *trainer {
	return &trainer{
		Trainer: t, sim: sim, lengths: map[cf.ItemID]float64{}, items: map[cf.GroupID][]cf.Item{},
		nextStepAt: t.From + cf.Millis(sim.random.IntN(1000)),
	}
}

// drawLength returns the length of a text.
func (t *trainer) drawLength() float64 {
	n := t.MeanEvents / (1 + longFraction*(longFactor-1)) * math.Exp(lengthLogStdDev*t.sim.random.NormFloat64()-lengthLogStdDev*lengthLogStdDev/2)
	if t.sim.random.Float64() < longFraction {
		n *= longFactor
	}
	return math.Ceil(min(max(n, 1), t.MaxEvents))
}

// submitStep hands in a step.
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

// drawGroup draws the items of a group.
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

// upperBound bounds the groups of a step that can be whole until Full, by the least work first: an
// engine's slots make events at a pace that no order of the work exceeds.
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

// addResult keeps a complete text for the next listing.
func (t *trainer) addResult(w *cfrollout.Work) {
	if t.batch != nil && t.batch.Sub.ID == w.Batch.Sub.ID {
		t.pendingResults = append(t.pendingResults, cf.Result{ID: w.Item.ID, State: cf.ItemDone})
	}
}

// poll lists what is complete, and lets the trainer read it.
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

// countGroup notes a group that is whole so long after the step's acceptance.
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

// finishStep ends a step.
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
