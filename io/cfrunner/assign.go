package cfrunner

import (
	"cmp"
	"hash/fnv"
	"slices"

	cf "currantford"
	"currantford/core/cfmember"
)

const (
	// localRunsPerCore is how many usual runs a coordinator of one core holds itself. A usual
	// run brings an event each usualPace ms; their events then take a third of the core.
	// The load it answers: the runs of two steps at a coordinator of a fifth of a core,
	// which then handles events, renewals and acceptances seconds late.
	localRunsPerCore     = 500
	typicalEventInterval = 40
	// hostRunsPerCore is the same of another instance, which serves callers and may be
	// the next coordinator: an eighth of its core.
	hostRunsPerCore = 200
)

// Plan says which instance holds the streams of which engine; those of an engine
// that is not in it stay with the coordinator.
type Plan map[cf.InstanceID]cfmember.Entry

// typicalRuns returns how many usual runs cost as much as runs whose events come each pace ms;
// a pace that is not known is zero.
func typicalRuns(runs int, eventInterval float64) int {
	if eventInterval <= 0 {
		return runs
	}
	return int(float64(runs) * typicalEventInterval / eventInterval)
}

// Assign divides the engines among the instances, if more runs are under way at once
// than the coordinator, self, can hold. As few instances as can carry it are taken, each
// near its engines, the strong ones first; which ones changes little as instances
// come and go, and an engine stays with the instance that it had before: that one has
// connections to it.
func Assign(engines []cf.Target, runs int, members []cfmember.Entry, self cfmember.Entry, previous Plan) Plan {
	members = slices.DeleteFunc(slices.Clone(members), func(e cfmember.Entry) bool { return e.ID == self.ID })
	if len(members) == 0 || len(engines) == 0 || canRunAll(runs, self) {
		return nil
	}
	// Each engine is expected to have its part of the runs.
	runsPerSlot := min(float64(runs)/float64(max(totalSlots(engines), 1)), 1)
	membersByDomain := map[cf.FailureDomain][]cfmember.Entry{}
	for _, e := range members {
		membersByDomain[e.Domain] = append(membersByDomain[e.Domain], e)
	}
	// Engines of a failure domain without instances go to those of any.
	enginesByDomain := map[cf.FailureDomain][]cf.Target{}
	for _, t := range engines {
		d := t.Domain
		if len(membersByDomain[d]) == 0 {
			d = ""
		}
		enginesByDomain[d] = append(enginesByDomain[d], t)
	}
	membersByDomain[""] = members
	plan := Plan{}
	for d, ts := range enginesByDomain {
		plan.assign(ts, runsPerSlot, membersByDomain[d], previous)
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
		if best.ID == "" || near && !bestNear || near == bestNear && rendezvousHash(t.ID, e.ID) > rendezvousHash(t.ID, best.ID) {
			best = e
		}
	}
	p[t.ID] = best
	return best, true
}

// canRunAll says whether an instance can hold so many runs by itself.
func canRunAll(runs int, e cfmember.Entry) bool { return float64(runs) <= localRunsPerCore*e.Capacity }

// assign gives engines to the first instances, in the order of their weight, that
// can carry them together.
func (p Plan) assign(engines []cf.Target, runsPerSlot float64, members []cfmember.Entry, previous Plan) {
	order, strongest := slices.Clone(members), cfmember.MaxCapacity(members)
	slices.SortFunc(order, func(a, b cfmember.Entry) int {
		strongA, strongB := cfmember.NearMax(a.Capacity, strongest), cfmember.NearMax(b.Capacity, strongest)
		if strongA != strongB {
			if strongA {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvousHash("", a.ID), rendezvousHash("", b.ID))
	})
	need, hosts := runsPerSlot*float64(totalSlots(engines)), 0
	for need > 0 && hosts < len(order) {
		need -= hostRunsPerCore * order[hosts].Capacity
		hosts++
	}
	order = order[:hosts]
	free := map[cf.EntryID]float64{}
	for _, e := range order {
		free[e.ID] = hostRunsPerCore * e.Capacity
	}
	for _, t := range engines {
		runs := runsPerSlot * float64(t.Slots)
		if e := previous[t.ID]; free[e.ID] >= runs && e.ID != "" {
			free[e.ID] -= runs
			p[t.ID] = e
		}
	}
	for _, t := range engines {
		if p[t.ID].ID != "" {
			continue
		}
		runs := runsPerSlot * float64(t.Slots)
		e := slices.MaxFunc(order, func(a, b cfmember.Entry) int {
			if fitsA, fitsB := free[a.ID] >= runs, free[b.ID] >= runs; !fitsA || !fitsB {
				return cmp.Compare(free[a.ID], free[b.ID])
			}
			return cmp.Compare(rendezvousHash(t.ID, a.ID), rendezvousHash(t.ID, b.ID))
		})
		free[e.ID] -= runs
		p[t.ID] = e
	}
}

// rendezvousHash orders instances at random, and the same way each time.
func rendezvousHash(t cf.InstanceID, e cf.EntryID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(t) + "/" + string(e))) // a hash takes everything
	return h.Sum64()
}

func totalSlots(engines []cf.Target) int {
	n := 0
	for _, t := range engines {
		n += t.Slots
	}
	return n
}
