package cfrollout

import (
	"sort"

	cf "currantford"
)

type (
	// share is what the assignment needs to know of one engine.
	share struct {
		id    cf.InstanceID
		model cf.ModelName
		// moveCost ranks engines of one model for being given away: an
		// engine without running work loses least.
		moveCost int
	}

	// Need is a model's weight in the division of the engines: the work of
	// its latest step.
	Need map[cf.ModelName]float64
)

// assign divides engines among models in proportion to need, at least one
// each while there are enough, and changes as few as it can: an engine that
// changes hands must load weights before it is of use.
func assign(engines []share, models []cf.ModelName, need Need) map[cf.InstanceID]cf.ModelName {
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
	var free []share
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
func quotas(n int, models []cf.ModelName, need Need) map[cf.ModelName]int {
	total := 0.0
	for _, m := range models {
		total += weight(need, m)
	}
	type part struct {
		model cf.ModelName
		rest  float64
	}
	quota := map[cf.ModelName]int{}
	parts := make([]part, 0, len(models))
	left := n
	for i, m := range models {
		exact := float64(n) * weight(need, m) / total
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

func weight(need Need, m cf.ModelName) float64 {
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
