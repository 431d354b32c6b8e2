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
	// tokens are those of an event, prompt those of a prompt.
	tokens = 74
	prompt = 300
	// longPart of the texts have longFactor times the usual length; spread and wrong are the
	// logarithmic deviations of lengths and of their hints.
	longPart   = 0.08
	longFactor = 5
	spread     = 0.5
	wrong      = 0.47
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
		replay   *Simulation
		lengths  map[cf.ItemID]float64
		items    map[cf.GroupID][]cf.Item
		step     int
		next     cf.Millis
		batch    *cfbatch.Batch
		accepted cf.Millis
		pending  []cf.Result
		read     map[cf.GroupID]bool
		unwhole  []cf.GroupID
		// current is the outcome of the step under way, outcome that of the ended ones.
		current, outcome Outcome
	}
)

func newTrainer(r *Simulation, t Trainer) *trainer {
	return &trainer{
		Trainer: t, replay: r, lengths: map[cf.ItemID]float64{}, items: map[cf.GroupID][]cf.Item{},
		next: t.From + cf.Millis(r.random.IntN(1000)),
	}
}

// draw returns the length of a text.
func (t *trainer) draw() float64 {
	n := t.MeanEvents / (1 + longPart*(longFactor-1)) * math.Exp(spread*t.replay.random.NormFloat64()-spread*spread/2)
	if t.replay.random.Float64() < longPart {
		n *= longFactor
	}
	return math.Ceil(min(max(n, 1), t.MaxEvents))
}

// submit hands in a step.
func (t *trainer) submit(now cf.Millis) {
	r := t.replay
	t.step++
	r.planner.SetVersion(t.Model, cf.WeightVersion(t.step))
	n := t.MinGroups + r.random.IntN(t.MaxGroups-t.MinGroups+1)
	sub := cf.Submission{
		ID: cf.BatchID(fmt.Sprintf("%s-%d", t.Model, t.step)), Model: t.Model, MinVersion: cf.WeightVersion(max(t.step-1, 1)),
		TargetGroups: int(math.Ceil(t.RequiredFraction * float64(n))), Accepted: now,
	}
	var groups []cf.GroupID
	if t.CarryOver {
		groups = append(groups, t.unwhole[:min(len(t.unwhole), sub.TargetGroups/2)]...)
	}
	carried := len(groups)
	for k := carried; k < n; k++ {
		groups = append(groups, t.group(sub.ID, k))
	}
	for _, g := range groups {
		sub.Items = append(sub.Items, t.items[g]...)
	}
	t.batch, t.accepted, t.read = cfbatch.New(sub), now, map[cf.GroupID]bool{}
	for _, g := range groups[:carried] {
		t.batch.CarryOver(g)
	}
	terms := cfrollout.Terms{Service: service, MaxAttempts: 3, MaxWait: 5 * StepTimeout, Due: now + StepDue, Span: StepDue}
	for _, w := range r.planner.AddBatch(t.batch, terms) {
		t.take(w)
	}
	t.current = Outcome{Steps: 1, Required: sub.TargetGroups, UpperBound: t.best(groups)}
}

// group draws the items of a group.
func (t *trainer) group(id cf.BatchID, k int) cf.GroupID {
	g := cf.GroupID(fmt.Sprintf("%s-%02d", id, k))
	for i := range t.GroupSize {
		it := cf.Item{ID: cf.ItemID(fmt.Sprintf("%s-%02d", g, i)), Group: g, PromptTokens: prompt}
		length := t.draw()
		t.lengths[it.ID] = length
		it.LengthHint = cf.Tokens(max(1, tokens*length*math.Exp(wrong*t.replay.random.NormFloat64())))
		it.MaxTokens = cf.Tokens(prompt + tokens*length)
		t.items[g] = append(t.items[g], it)
	}
	return g
}

// best bounds the groups of a step that can be whole until Full, by the least work first: an
// engine's slots make events at a pace that no order of the work exceeds.
func (t *trainer) best(groups []cf.GroupID) int {
	e := t.replay.options.Engines
	pace := e.EventTime + e.EventTimePerRun*float64(e.Slots)
	slots := float64(t.replay.Shares()[t.Model] * e.Slots)
	var works []float64
	for _, g := range groups {
		work, longest := 0.0, 0.0
		for _, it := range t.items[g] {
			work += t.lengths[it.ID] * pace
			longest = max(longest, t.lengths[it.ID])
		}
		if longest*(e.EventTime+e.EventTimePerRun) <= float64(FullValueUntil) {
			works = append(works, work)
		}
	}
	slices.Sort(works)
	n, sum := 0, 0.0
	for _, w := range works {
		if sum += w; sum > slots*float64(FullValueUntil) || n == int(math.Ceil(t.RequiredFraction*float64(len(groups)))) {
			break
		}
		n++
	}
	return n
}

// take keeps a complete text for the next listing.
func (t *trainer) take(w *cfrollout.Work) {
	if t.batch != nil && t.batch.Sub.ID == w.Batch.Sub.ID {
		t.pending = append(t.pending, cf.Result{ID: w.Item.ID, State: cf.ItemDone})
	}
}

// follow lists what is complete, and lets the trainer read it.
func (t *trainer) follow(now cf.Millis) {
	if t.batch == nil {
		if now >= t.next && (t.Until == 0 || now < t.Until) {
			t.submit(now)
		}
		return
	}
	given := now >= t.accepted+StepTimeout
	if len(t.pending) == 0 && !given {
		return
	}
	t.batch.Apply(t.batch.NextChunk(), t.pending)
	t.pending = nil
	whole, missing := 0, false
	var unwhole []cf.GroupID
	last := cf.GroupID("")
	for _, it := range t.batch.Sub.Items {
		if it.Group == last {
			continue
		}
		last = it.Group
		if t.batch.GroupRemaining(last) == 0 {
			whole++
			t.count(last, now-t.accepted)
			continue
		}
		unwhole = append(unwhole, last)
		missing = missing || t.batch.CarriedOver(last)
	}
	if whole >= t.batch.Sub.TargetGroups && !missing || given {
		t.unwhole = unwhole
		t.finish(now)
	}
}

// count notes a group that is whole so long after the step's acceptance.
func (t *trainer) count(g cf.GroupID, took cf.Millis) {
	if t.read[g] || len(t.read) >= t.batch.Sub.TargetGroups {
		return
	}
	t.read[g] = true
	switch {
	case took <= FullValueUntil:
		t.current.InTime++
		t.current.Value++
	case took < StepTimeout:
		t.current.Late++
		t.current.Value += float64(StepTimeout-took) / float64(StepTimeout-FullValueUntil)
	}
}

// finish ends a step.
func (t *trainer) finish(now cf.Millis) {
	c, sum := t.current, &t.outcome
	sum.Steps += c.Steps
	sum.Required += c.Required
	sum.InTime += c.InTime
	sum.Late += c.Late
	sum.UpperBound += c.UpperBound
	sum.Value += c.Value
	sum.StepTime += now - t.accepted
	for _, w := range t.replay.planner.EndBatch(t.batch.Sub.ID) {
		t.replay.end(w, cfrollout.OutcomeStopped)
	}
	t.batch = nil
	t.next = max(now+t.TrainTime, t.accepted+t.StepInterval)
}
