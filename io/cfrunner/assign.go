package cfrunner

import (
	"cmp"
	"hash/fnv"
	"slices"

	cf "currantford"
	"currantford/core/cfmember"
)

const (
	// ownPerCore is how many usual runs a coordinator of one core holds itself. A usual
	// run brings an event each usualPace ms; their events then take a third of the core.
	// The load it answers: the runs of two steps at a coordinator of a fifth of a core,
	// which then handles events, renewals and acceptances seconds late.
	ownPerCore = 500
	usualPace  = 40
	// heldPerCore is the same of another instance, which serves callers and may be
	// the next coordinator: an eighth of its core.
	heldPerCore = 200
)

// Plan says which instance holds the streams of which engine; those of an engine
// that is not in it stay with the coordinator.
type Plan map[cf.InstanceID]cfmember.Entry

// usualRuns returns how many usual runs cost as much as runs whose events come each pace ms;
// a pace that is not known is zero.
func usualRuns(runs int, pace float64) int {
	if pace <= 0 {
		return runs
	}
	return int(float64(runs) * usualPace / pace)
}

// Assign divides the engines among the instances, if more runs are under way at once
// than the coordinator, self, can hold. As few instances as can carry it are taken, each
// near its engines, the strong ones first; which ones changes little as instances
// come and go, and an engine stays with the instance that it had before: that one has
// connections to it.
func Assign(engines []cf.Target, runs int, members []cfmember.Entry, self cfmember.Entry, before Plan) Plan {
	members = slices.DeleteFunc(slices.Clone(members), func(e cfmember.Entry) bool { return e.ID == self.ID })
	if len(members) == 0 || len(engines) == 0 || holdsAll(runs, self) {
		return nil
	}
	// Each engine is expected to have its part of the runs.
	perSlot := min(float64(runs)/float64(max(slots(engines), 1)), 1)
	near := map[cf.FailureDomain][]cfmember.Entry{}
	for _, e := range members {
		near[e.Domain] = append(near[e.Domain], e)
	}
	// Engines of a failure domain without instances go to those of any.
	at := map[cf.FailureDomain][]cf.Target{}
	for _, t := range engines {
		d := t.Domain
		if len(near[d]) == 0 {
			d = ""
		}
		at[d] = append(at[d], t)
	}
	near[""] = members
	plan := Plan{}
	for d, ts := range at {
		plan.divide(ts, perSlot, near[d], before)
	}
	return plan
}

// For returns the instance that holds the streams of an engine, one of those in the plan if
// the engine is new to it; false if the coordinator does.
func (p Plan) For(t cf.Target) (cfmember.Entry, bool) {
	if e, known := p[t.ID]; known || len(p) == 0 {
		return e, known
	}
	var best cfmember.Entry
	for _, e := range p {
		near, bestNear := e.Domain == t.Domain, best.Domain == t.Domain
		if best.ID == "" || near && !bestNear || near == bestNear && weight(t.ID, e.ID) > weight(t.ID, best.ID) {
			best = e
		}
	}
	p[t.ID] = best
	return best, true
}

// holdsAll says whether an instance can hold so many runs by itself.
func holdsAll(runs int, self cfmember.Entry) bool { return float64(runs) <= ownPerCore*self.Capacity }

// divide gives engines to the first instances, in the order of their weight, that
// can carry them together.
func (p Plan) divide(engines []cf.Target, perSlot float64, members []cfmember.Entry, before Plan) {
	order, strongest := slices.Clone(members), cfmember.MaxCapacity(members)
	slices.SortFunc(order, func(a, b cfmember.Entry) int {
		strongA, strongB := cfmember.NearMax(a.Capacity, strongest), cfmember.NearMax(b.Capacity, strongest)
		if strongA != strongB {
			if strongA {
				return -1
			}
			return 1
		}
		return cmp.Compare(weight("", a.ID), weight("", b.ID))
	})
	need, taken := perSlot*float64(slots(engines)), 0
	for need > 0 && taken < len(order) {
		need -= heldPerCore * order[taken].Capacity
		taken++
	}
	order = order[:taken]
	room := map[cf.EntryID]float64{}
	for _, e := range order {
		room[e.ID] = heldPerCore * e.Capacity
	}
	for _, t := range engines {
		runs := perSlot * float64(t.Slots)
		if e := before[t.ID]; room[e.ID] >= runs && e.ID != "" {
			room[e.ID] -= runs
			p[t.ID] = e
		}
	}
	for _, t := range engines {
		if p[t.ID].ID != "" {
			continue
		}
		runs := perSlot * float64(t.Slots)
		e := slices.MaxFunc(order, func(a, b cfmember.Entry) int {
			if fitsA, fitsB := room[a.ID] >= runs, room[b.ID] >= runs; !fitsA || !fitsB {
				return cmp.Compare(room[a.ID], room[b.ID])
			}
			return cmp.Compare(weight(t.ID, a.ID), weight(t.ID, b.ID))
		})
		room[e.ID] -= runs
		p[t.ID] = e
	}
}

// weight orders instances at random, and the same way each time.
func weight(t cf.InstanceID, e cf.EntryID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(t) + "/" + string(e))) // a hash takes everything
	return h.Sum64()
}

func slots(engines []cf.Target) int {
	n := 0
	for _, t := range engines {
		n += t.Slots
	}
	return n
}
