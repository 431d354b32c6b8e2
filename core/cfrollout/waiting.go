package cfrollout

import (
	cf "currantford"
)

const (
	// reportAfter is how long an item may have no engine, while others of its batch have started
	// and slots are free, before it is reported. Each further report follows after twice the
	// waiting time of the previous one.
	reportAfter cf.Millis = 2000
	// silentAfter is how long a run may have no event before it counts as waiting. First events
	// take about 100 ms.
	silentAfter cf.Millis = 1000
	// maxReportedItems is the maximum number of items in one report.
	maxReportedItems = 16
	// roomShare is the part of a service's slots in use up to which no item should have to wait.
	roomShare = 0.5
)

// WaitReason says why an item does not run.
type WaitReason string

// Reasons, in the order in which they are checked.
const (
	// WaitRunSilent means that the item's engine has sent no event.
	WaitRunSilent WaitReason = "run_silent"
	// WaitNoRoute means that the item's batch has no route.
	WaitNoRoute WaitReason = "no_route"
	// WaitNoEngines means that the item's model has no engine that is not draining.
	WaitNoEngines WaitReason = "no_engines"
	// WaitNoWeights means that none of these engines holds weights that the item may run on.
	WaitNoWeights WaitReason = "no_weights"
	// WaitLoading means that all engines with such weights are loading others.
	WaitLoading WaitReason = "loading"
	// WaitEnginesAvoided means that new items avoid the remaining engines for a while.
	WaitEnginesAvoided WaitReason = "engines_avoided"
	// WaitNoSlots means that all slots of the remaining engines are in use.
	WaitNoSlots WaitReason = "no_slots"
	// WaitRefused means that none of the remaining engines may get the item.
	WaitRefused WaitReason = "refused"
	// WaitSlowEngines means that the remaining engines are slow, and that others are expected to
	// finish the item sooner.
	WaitSlowEngines WaitReason = "slow_engines"
)

type (
	// WaitingItem is an item that has had no engine for long.
	WaitingItem struct {
		Work   *Work
		Reason WaitReason
		Waited cf.Millis
	}

	// Waiting holds the items that wait although slots are free.
	Waiting struct {
		// Items are the items to report now, Counts the numbers of all such items by reason.
		Items  []WaitingItem
		Counts map[WaitReason]int
	}
)

// WaitingItems returns the items that have waited for long although others of their batches have
// started and the engines of their service have free slots. It is called once per second.
func (p *Planner) WaitingItems(now cf.Millis) Waiting {
	out := Waiting{Counts: map[WaitReason]int{}}
	room := map[cf.ServiceName]bool{}
	for _, o := range p.batches {
		if !o.started {
			continue
		}
		s := o.terms.Service
		if _, known := room[s]; !known {
			room[s] = p.serviceHasRoom(s)
		}
		if !room[s] {
			continue
		}
		for _, w := range o.running {
			if w.Progress.events.Load() == 0 && now-w.Started >= silentAfter {
				out.add(w, WaitRunSilent, now)
			}
		}
		fresh := WaitReason("") // reason of the items that have not started, which is the same for all
		for _, w := range o.waiting {
			if w.unplacedSince == 0 || now-w.unplacedSince < reportAfter {
				continue
			}
			reason := fresh
			if begun := w.Text.Last > 0 || w.AvoidEngine != "" || w.notAdmitted; begun || fresh == "" {
				if reason = p.waitReason(o, w, now); !begun {
					fresh = reason
				}
			}
			out.add(w, reason, now)
		}
	}
	return out
}

// add adds an item if it has waited long enough.
func (x *Waiting) add(w *Work, reason WaitReason, now cf.Millis) {
	waited := now - w.unplacedSince
	if w.unplacedSince == 0 || waited < reportAfter {
		return
	}
	x.Counts[reason]++
	if waited < 2*w.reportedWait || len(x.Items) == maxReportedItems {
		return
	}
	w.reportedWait = waited
	x.Items = append(x.Items, WaitingItem{w, reason, waited})
}

// serviceHasRoom says whether a service's engines use less than roomShare of their slots.
func (p *Planner) serviceHasRoom(s cf.ServiceName) bool {
	f := p.fleets[s]
	if f == nil {
		return false
	}
	slots, running := 0, 0
	for _, e := range f.usable {
		slots += e.Slots
		running += e.Running
	}
	return float64(running) < roomShare*float64(slots)
}

// waitReason returns the reason why an item does not run.
func (p *Planner) waitReason(o *openBatch, w *Work, now cf.Millis) WaitReason {
	if o.paused {
		return WaitNoRoute
	}
	reason := WaitNoEngines
	for _, e := range p.enginesFor(o) {
		switch {
		case e.Draining:
		case !e.serves(w):
			reason = closerReason(reason, WaitNoWeights)
		case e.loading > 0:
			reason = closerReason(reason, WaitLoading)
		case now < e.avoidUntil || e.ID == w.AvoidEngine && now < w.avoidUntil:
			reason = closerReason(reason, WaitEnginesAvoided)
		case !e.hasFreeSlot():
			reason = closerReason(reason, WaitNoSlots)
		case w.notAdmitted:
			return WaitRefused
		default:
			return WaitSlowEngines
		}
	}
	return reason
}

// waitRank ranks the reasons by how close an engine is to accepting the item.
var waitRank = map[WaitReason]int{WaitNoEngines: 0, WaitNoWeights: 1, WaitLoading: 2, WaitEnginesAvoided: 3, WaitNoSlots: 4}

func closerReason(a, b WaitReason) WaitReason {
	if waitRank[b] > waitRank[a] {
		return b
	}
	return a
}
