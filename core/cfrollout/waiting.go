package cfrollout

import (
	cf "currantford"
)

const (
	// reportAfter is how long an item may be at no engine, while others of its batch have
	// begun and there is room, until it is reported. Each further report of it comes after
	// twice that time.
	reportAfter cf.Millis = 2000
	// silentAfter is how long a run may be without an event until it counts as waiting: first
	// events take some 100 ms.
	silentAfter cf.Millis = 1000
	// maxReportedItems bounds the items that are reported at a time.
	maxReportedItems = 16
	// roomShare is the part of a service's slots below which items need not wait.
	roomShare = 0.5
)

// WaitReason says what keeps an item from running.
type WaitReason string

// Reasons, in the order in which they are looked for.
const (
	// WaitRunSilent: it was given to an engine, from which no event has come.
	WaitRunSilent WaitReason = "run_silent"
	// WaitNoRoute: its batch has no route.
	WaitNoRoute WaitReason = "no_route"
	// WaitNoEngines: its model has no engine that stays.
	WaitNoEngines WaitReason = "no_engines"
	// WaitNoWeights: none of them holds weights that it may run on.
	WaitNoWeights WaitReason = "no_weights"
	// WaitLoading: all that do are loading others.
	WaitLoading WaitReason = "loading"
	// WaitEnginesAvoided: new items are kept off the others for a while.
	WaitEnginesAvoided WaitReason = "engines_avoided"
	// WaitNoSlots: all slots of the others are taken.
	WaitNoSlots WaitReason = "no_slots"
	// WaitRefused: it may be sent to none of them.
	WaitRefused WaitReason = "refused"
	// WaitSlowEngines: they are slow, and others are expected to end it sooner.
	WaitSlowEngines WaitReason = "slow_engines"
)

type (
	// WaitingItem is an item that has been at no engine for long.
	WaitingItem struct {
		Work   *Work
		Reason WaitReason
		Waited cf.Millis
	}

	// Waiting is what waits although there is room.
	Waiting struct {
		// Items are those to report now, Counts all of them by reason.
		Items  []WaitingItem
		Counts map[WaitReason]int
	}
)

// WaitingItems returns the items that wait for long although others of their batches have
// begun and the engines of their service have room. It is called once a second.
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
		fresh := WaitReason("") // of the items that have not begun, which differ in nothing here
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

// add takes an item that has waited, if it has for long enough.
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

// serviceHasRoom says whether a service's engines have items in less than a part of their slots.
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

// waitReason returns what keeps an item from running.
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

// waitRank ranks reasons by how near an engine is to taking an item.
var waitRank = map[WaitReason]int{WaitNoEngines: 0, WaitNoWeights: 1, WaitLoading: 2, WaitEnginesAvoided: 3, WaitNoSlots: 4}

func closerReason(a, b WaitReason) WaitReason {
	if waitRank[b] > waitRank[a] {
		return b
	}
	return a
}
