package cfrollout

import (
	"math"
	"sort"

	cf "currantford"
)

const (
	// workWeight is the weight of the latest step in a model's average work.
	workWeight = 0.3
	// shareTolerance is by how many engines a share may differ from its model's need before the
	// engines are divided again. An engine that changes its model has to load weights while it
	// still has runs of the current step.
	shareTolerance = 0.7
	// needFadesAfter is how long after its last step a model's need is multiplied by
	// idleNeedFactor. Trainers submit a step every few seconds, but a step may be missing after a
	// change of the coordinator.
	needFadesAfter cf.Millis = 15_000
	idleNeedFactor float64   = 0.1
)

type (
	// assignment is the state of one engine that assign depends on.
	assignment struct {
		id    cf.InstanceID
		model cf.ModelName
		// moveCost ranks the engines of a model by the cost of giving them away. Engines without
		// runs cost least.
		moveCost int
	}

	// modelNeeds maps each model to its weight in the division of the engines, which is the work of
	// its steps.
	modelNeeds map[cf.ModelName]float64

	// stepWork is the work of a model's steps. tokens and hints are moving averages over the steps:
	// tokens of the sum of the items' token limits, hints of the sum of the length hints (zero
	// without hints). latestTokens is the token sum of the latest step, hasDueTime says whether
	// that step has a due time, and lastOpen is when it was last open.
	stepWork struct {
		tokens, hints float64
		latestTokens  float64
		hasDueTime    bool
		lastOpen      cf.Millis
	}
)

// SetShareWeights sets the factors by which the models' work counts in the division of the engines.
// A model without a factor has 1.
func (p *Planner) SetShareWeights(weights map[cf.ModelName]float64) { p.shareWeights = weights }

// noteWork records the work of a model's latest step. The number of groups varies by a third from
// step to step, and the next step is best predicted by the average.
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

// hasDueTimes says whether the latest step of any of the models has a due time. Without due times,
// shares follow the latest steps immediately.
func (p *Planner) hasDueTimes(models []cf.ModelName) bool {
	for _, m := range models {
		if p.work[m].hasDueTime {
			return true
		}
	}
	return false
}

// sharesCloseEnough says whether the current division is within shareTolerance of the models'
// needs.
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

// needsOf returns the models' needs. If steps have due times, the need is the average of the length
// hints if all models provide them, because an item's token limit is only an upper bound of its
// length; otherwise it is the average of the token limits. Without due times it is the token limits
// of the latest step.
func (p *Planner) needsOf(models []cf.ModelName, hasDueTimes bool) modelNeeds {
	hinted := hasDueTimes
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
		if !hasDueTimes {
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

// assign divides engines among models in proportion to their need, with at least one engine each if
// there are enough. It changes as few engines as possible, since an engine that changes its model
// must load weights first.
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
		// An engine keeps its model while that is within the quota. Needs change slightly with each
		// step, and frequent reassignments would cause useless loads.
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

// quotas divides n engines among the models by the largest remainder method.
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
		// One engine is left for each of the following models. Otherwise a step a thousand times as
		// large would leave a small trainer without an engine.
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
