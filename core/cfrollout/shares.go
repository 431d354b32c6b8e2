package cfrollout

import (
	"math"
	"sort"

	cf "currantford"
)

const (
	// workWeight is the weight of a model's latest step in what it is taken to need.
	workWeight = 0.3
	// shareTolerance is by how many engines a share may differ from what its model needs: an
	// engine that changes hands loads weights, while it has runs of the step under way.
	shareTolerance = 0.7
	// needFadesAfter is how long after its last step a model's need fades, to idleNeed of it: trainers
	// hand in a step every few seconds, and a coordinator that takes over finds none for one.
	needFadesAfter cf.Millis = 15_000
	idleNeedFactor float64   = 0.1
)

type (
	// assignment is what the assignment needs to know of one engine.
	assignment struct {
		id    cf.InstanceID
		model cf.ModelName
		// moveCost ranks engines of one model for being given away: an
		// engine without running work loses least.
		moveCost int
	}

	// modelNeeds is a model's weight in the division of the engines: the work of
	// its latest step.
	modelNeeds map[cf.ModelName]float64

	// stepWork is the work of a step, in tokens of its items at the most and as their
	// submitter guesses the lengths, zero where it does not.
	// Both are means of the model's steps, latest is the tokens of the latest one, timed
	// that it has a due time, and at when it was open last.
	stepWork struct {
		tokens, hints float64
		latestTokens  float64
		hasDueTime    bool
		lastOpen      cf.Millis
	}
)

// SetWeights takes what models' shares of the engines count for against their work; 1 where
// not given.
func (p *Planner) SetWeights(weights map[cf.ModelName]float64) { p.shareWeights = weights }

// noteWork takes the work of a model's latest step. Steps differ by a third in their number
// of groups, and the next is like the mean of those before.
func (p *Planner) noteWork(m cf.ModelName, w stepWork) {
	if old, known := p.work[m]; known {
		w.tokens = old.tokens + workWeight*(w.tokens-old.tokens)
		w.hints = old.hints + workWeight*(w.hints-old.hints)
	}
	p.work[m] = w
}

// hasOpenBatch says whether a model has an open batch.
func (p *Planner) hasOpenBatch(m cf.ModelName) bool {
	for _, o := range p.batches {
		if o.batch.Sub.Model == m {
			return true
		}
	}
	return false
}

// hasDueTimes says whether the latest step of any of these models has a due time. Without due
// times shares follow the latest steps at once.
func (p *Planner) hasDueTimes(models []cf.ModelName) bool {
	for _, m := range models {
		if p.work[m].hasDueTime {
			return true
		}
	}
	return false
}

// sharesCloseEnough says whether the division is near enough to what the models need.
func sharesCloseEnough(engines []assignment, models []cf.ModelName, need modelNeeds) bool {
	have, total := map[cf.ModelName]int{}, 0.0
	for _, e := range engines {
		have[e.model]++
	}
	for _, m := range models {
		total += needFor(need, m)
	}
	n := 0
	for _, m := range models {
		exact := float64(len(engines)) * needFor(need, m) / total
		if have[m] == 0 || math.Abs(float64(have[m])-exact) > shareTolerance {
			return false
		}
		n += have[m]
	}
	return n == len(engines)
}

// needsOf returns the models' needs. For timed steps these are the guessed lengths of their
// texts where all tell them, since the tokens of an item are a bound and not its length, else
// the bounds, as means of their steps. For others they are the bounds of the latest step.
func (p *Planner) needsOf(models []cf.ModelName, timed bool) modelNeeds {
	hinted := timed
	for _, m := range models {
		if w, known := p.work[m]; known && w.hints == 0 {
			hinted = false
		}
	}
	out := modelNeeds{}
	for _, m := range models {
		w, known := p.work[m]
		if !known {
			continue
		}
		if !timed {
			w.tokens = w.latestTokens
		} else if p.now-w.lastOpen > needFadesAfter && !p.hasOpenBatch(m) {
			w.tokens, w.hints = idleNeedFactor*w.tokens, idleNeedFactor*w.hints
		}
		out[m] = w.tokens
		if hinted {
			out[m] = w.hints
		}
		if factor := p.shareWeights[m]; factor > 0 {
			out[m] *= factor
		}
	}
	return out
}

// assign divides engines among models in proportion to need, at least one
// each while there are enough, and changes as few as it can: an engine that
// changes hands must load weights before it is of use.
func assign(engines []assignment, models []cf.ModelName, need modelNeeds) map[cf.InstanceID]cf.ModelName {
	out := make(map[cf.InstanceID]cf.ModelName, len(engines))
	if len(models) == 0 {
		return out
	}
	quota := quotas(len(engines), models, need)
	have := map[cf.ModelName]int{}
	sort.Slice(engines, func(i, j int) bool {
		if engines[i].moveCost != engines[j].moveCost {
			return engines[i].moveCost > engines[j].moveCost
		}
		return engines[i].id < engines[j].id
	})
	var free []assignment
	for _, e := range engines {
		// One engine over quota is kept: need changes a little at each
		// step, and moving back and forth would load weights for nothing.
		if q, ok := quota[e.model]; ok && have[e.model] < q {
			have[e.model]++
			out[e.id] = e.model
			continue
		}
		free = append(free, e)
	}
	for _, e := range free {
		m := neediest(models, quota, have)
		have[m]++
		out[e.id] = m
	}
	return out
}

// quotas rounds each model's part of n engines by largest remainder.
func quotas(n int, models []cf.ModelName, need modelNeeds) map[cf.ModelName]int {
	total := 0.0
	for _, m := range models {
		total += needFor(need, m)
	}
	type part struct {
		model cf.ModelName
		rest  float64
	}
	quota := map[cf.ModelName]int{}
	parts := make([]part, 0, len(models))
	left := n
	for i, m := range models {
		exact := float64(n) * needFor(need, m) / total
		q := int(exact)
		if q == 0 && left > 0 {
			q = 1
		}
		// One is left for each model after it: steps a thousand times as
		// large would else leave a small trainer without any.
		q = max(min(q, left-(len(models)-1-i)), 0)
		quota[m] = q
		left -= q
		parts = append(parts, part{m, exact - float64(q)})
	}
	sort.SliceStable(parts, func(i, j int) bool {
		if parts[i].rest != parts[j].rest {
			return parts[i].rest > parts[j].rest
		}
		return parts[i].model < parts[j].model
	})
	for i := 0; left > 0; i++ {
		quota[parts[i%len(parts)].model]++
		left--
	}
	return quota
}

func needFor(need modelNeeds, m cf.ModelName) float64 {
	if w := need[m]; w > 0 {
		return w
	}
	return 1
}

func neediest(models []cf.ModelName, quota, have map[cf.ModelName]int) cf.ModelName {
	best := models[0]
	for _, m := range models[1:] {
		if quota[m]-have[m] > quota[best]-have[best] {
			best = m
		}
	}
	return best
}
