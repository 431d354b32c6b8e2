package cfrunner

import (
	"cmp"
	"hash/fnv"
	"slices"

	cf "currantford"
	"currantford/core/cfmember"
)

const (
	// localRunsPerCore is the number of typical runs that a coordinator with one core executes
	// itself. A typical run produces an event each typicalEventInterval ms, so the events of these
	// runs take a third of the core. With more, such as the runs of two steps on a fifth of a core,
	// a coordinator handles events, lease renewals and batch submissions seconds late.
	localRunsPerCore     = 500
	typicalEventInterval = 40
	// hostRunsPerCore is the corresponding number for a host, which also serves callers and may
	// become the next coordinator. The events take an eighth of its core.
	hostRunsPerCore = 200
)

// Plan maps engines to the hosts that run their streams. The coordinator itself runs the streams of
// engines that are not in the plan.
type Plan map[cf.InstanceID]cfmember.Entry

// typicalRuns returns the number of typical runs that cost as much as the given runs, whose events
// come each eventInterval ms. An eventInterval of zero is unknown.
func typicalRuns(runs int, eventInterval float64) int {
	if eventInterval <= 0 {
		return runs
	}
	return int(float64(runs) * typicalEventInterval / eventInterval)
}

// Assign assigns the engines to hosts if there are more concurrent runs than the coordinator, self,
// can execute. It uses as few hosts as can carry the load, in the failure domain of their engines
// and with instances of high capacity first. The choice changes little when instances join or
// leave, and an engine keeps its previous host, which has open connections to it.
func Assign(engines []cf.Target, runs int, members []cfmember.Entry, self cfmember.Entry, previous Plan) Plan {
	members = slices.DeleteFunc(slices.Clone(members), func(e cfmember.Entry) bool { return e.ID == self.ID })
	if len(members) == 0 || len(engines) == 0 || canRunAll(runs, self) {
		return nil
	}
	// The runs are expected to be spread evenly over the engines' slots.
	runsPerSlot := min(float64(runs)/float64(max(totalSlots(engines), 1)), 1)
	membersByDomain := map[cf.FailureDomain][]cfmember.Entry{}
	for _, e := range members {
		membersByDomain[e.Domain] = append(membersByDomain[e.Domain], e)
	}
	// Engines in a failure domain without instances are assigned to instances of any domain.
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

// For returns the host of an engine. It assigns one of the plan's hosts to an engine that is not in
// the plan yet. It returns false if the coordinator runs the engine's streams itself.
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

// canRunAll reports whether an instance can execute all runs by itself.
func canRunAll(runs int, e cfmember.Entry) bool { return float64(runs) <= localRunsPerCore*e.Capacity }

// assign assigns engines to as few members as can together carry their runs. Members of high
// capacity come first; members that are equal in this are ordered by their rendezvous hash.
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

// rendezvousHash returns a pseudo-random but reproducible rank of an instance for an engine
// (rendezvous hashing).
func rendezvousHash(t cf.InstanceID, e cf.EntryID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(t) + "/" + string(e))) // a hash.Hash never returns an error
	return h.Sum64()
}

func totalSlots(engines []cf.Target) int {
	n := 0
	for _, t := range engines {
		n += t.Slots
	}
	return n
}
