package cfrollout

import (
	"cmp"
	"math"
	"slices"

	cf "currantford"
)

const (
	// rankInterval is the minimum time between two rankings of a batch's groups. The remaining work
	// of a group changes with the events of its items, which are 40 ms or more apart.
	rankInterval cf.Millis = 100
	// lateShare is how long after its due time a step is still useful, as a part of the time that
	// it was given. Callers pay less for late groups, and nothing for groups that are late by more
	// than half of the time given.
	lateShare = 0.5
	// selectionThreshold is how much later than its due time a step must be expected to end, as a
	// part of the time that it was given, before some of its groups are deferred for others. Below
	// the threshold, all groups that the trainer waits for are worked on, longest texts first, so
	// that the step ends about 0.5 s sooner and the next one starts. With a threshold twice as
	// high, a seventh fewer groups are in time at exactly the capacity.
	selectionThreshold = 0.08
	// longestDecay is the factor on the length of the longest text with each text that ends.
	longestDecay = 0.9995
	// minTextsForLongest is the number of texts from which on the longest one bounds the expected
	// lengths. The first texts of a step to end are its shortest.
	minTextsForLongest = 60
	// fillFactor is the part of the remaining time that is filled with selected groups. The
	// remaining work of a step is known to within about 10%, and its last slots are not all used.
	fillFactor = 0.9
	// assumedLoadTime is the duration of a weight load before one was observed, in ms.
	assumedLoadTime = 1000
)

// groupClass ranks the groups of a step for the order of their items.
type groupClass int

const (
	// groupInTime means that the group is expected to be complete by the step's due time or just
	// after it.
	groupInTime groupClass = iota
	// groupLate means that the group is required, and expected to be complete soon after the due
	// time.
	groupLate
	// groupTooLate means that the group is required, and expected to be complete too late to be
	// useful.
	groupTooLate
	// groupOptional means that the group is not required.
	groupOptional
)

// groupNeed is the remaining work of a group of a step.
type groupNeed struct {
	id cf.GroupID
	// carried says that the submitter waits for this group, whichever others are complete.
	carried bool
	// work is the total slot time of the group's open items, longest the slot time of the longest
	// one, in ms.
	work, longest float64
	class         groupClass
	// completeIn is when the group is expected to be complete if its class is processed one group
	// after the other, in ms.
	completeIn float64
}

// stepNeed is the remaining work of a step and its time limits.
type stepNeed struct {
	groups []groupNeed
	// required is how many of the groups the submitter still waits for.
	required int
	// priorWork is the slot time of work that goes first, slots the number of items that run at
	// once.
	priorWork, slots float64
	// due is the time left until results are needed, usefulFor until they are useless, and
	// inTimeFor until groups no longer count as in time, in ms.
	due, usefulFor, inTimeFor float64
}

// selection is the decision on the groups of a step.
type selection struct {
	// deferring says that some groups are deferred so that others are complete in time.
	deferring bool
	// duration is how long all required groups take from now, in ms.
	duration float64
	// counts is the number of groups of each class, work the slot time of the required ones.
	counts [groupOptional + 1]int
	work   float64
}

// selectGroups sorts the open groups of a step by their remaining work and classifies them.
//
// If a step needs more than its share of the engines can do until it is due, work on all of its
// groups at once completes all of them too late. Processing the groups one after the other, those
// with the least remaining work first, completes the most groups by any given time, unless single
// long texts decide. A group with a text that ends too late wherever it starts gives way to the
// next group.
func selectGroups(n stepNeed) selection {
	slices.SortFunc(n.groups, func(a, b groupNeed) int {
		return cmp.Or(cmp.Compare(a.work, b.work), cmp.Compare(a.longest, b.longest), cmp.Compare(a.id, b.id))
	})
	carried, all, longest := 0, n.priorWork, 0.0
	for _, g := range n.groups {
		if g.carried {
			carried++
		}
		all += g.work
		longest = max(longest, g.longest)
	}
	if all/n.slots <= longest && longest <= n.due {
		// A single text decides when the step is complete. It is not known well enough which text
		// that is to leave its group out, and including it costs the others nothing.
		n.required = len(n.groups)
	}
	var s selection
	open := max(n.required-carried, 0) // required groups besides the carried ones
	longest = 0
	for i := range n.groups {
		g := &n.groups[i]
		switch {
		case !g.carried && open == 0:
			g.class = groupOptional
			continue
		case !g.carried:
			open--
		}
		g.class = groupInTime
		s.work += g.work
		longest = max(longest, g.longest)
	}
	s.duration = max((n.priorWork+s.work)/n.slots, longest)
	if s.deferring = s.duration > n.inTimeFor; s.deferring {
		// The step cannot end without the groups carried over from the previous one, however many
		// others are complete, unless these are too late to be useful.
		slices.SortStableFunc(n.groups, func(a, b groupNeed) int {
			return compareTrueFirst(n.goesFirst(a), n.goesFirst(b))
		})
		for i := range n.groups {
			if n.groups[i].class == groupInTime {
				n.groups[i].class = groupTooLate
			}
		}
		end := n.fill(groupLate, n.fill(groupInTime, n.priorWork, n.inTimeFor), n.usefulFor)
		end = n.fill(groupTooLate, end, math.Inf(1))
		n.placeReplaced(end)
	}
	for _, g := range n.groups {
		s.counts[g.class]++
	}
	return s
}

// goesFirst says whether a group precedes groups with less remaining work.
func (n *stepNeed) goesFirst(g groupNeed) bool { return g.carried && g.longest <= n.usefulFor }

// fill assigns a class to the groups that can be complete by a deadline, those with the least
// remaining work first. prior is the slot time of the work before them. It returns the slot time
// including the assigned groups. An optional group replaces a required one that cannot be complete
// by the deadline.
func (n *stepNeed) fill(class groupClass, prior, deadline float64) float64 {
	chosen := 0
	for _, g := range n.groups {
		if g.class < class {
			chosen++
		}
	}
	for i := range n.groups {
		g := &n.groups[i]
		if g.class < groupTooLate || class == groupTooLate && g.class != class || chosen >= n.required || g.longest > deadline && !n.goesFirst(*g) || (prior+g.work)/n.slots > fillFactor*deadline {
			continue
		}
		g.class = class
		prior += g.work
		g.completeIn = max(prior/n.slots, g.longest)
		chosen++
	}
	return prior
}

// placeReplaced places the groups that optional ones have replaced, after the slot time of all
// filled groups: the submitter still waits for carried groups, but not for the others.
func (n *stepNeed) placeReplaced(end float64) {
	for i := range n.groups {
		switch g := &n.groups[i]; {
		case g.class != groupTooLate || g.completeIn > 0:
		case g.carried:
			g.completeIn = max(end/n.slots, g.longest)
		default:
			g.class = groupOptional
		}
	}
}

// rankGroups orders the waiting items of a batch by the classes of their groups. prior is the slot
// time of the batches that go first. It returns the slot time including this batch.
func (p *Planner) rankGroups(o *openBatch, prior float64, now cf.Millis) float64 {
	if p.limits.AllGroups || o.terms.Due == 0 || !p.lengths.started {
		o.forgetRanking()
		return prior
	}
	if o.rankedAt > 0 && !o.rankingStale && now >= o.rankedAt && now-o.rankedAt < rankInterval {
		return prior + o.selection.work
	}
	rate, pace := p.capacity(o)
	if rate == 0 {
		o.forgetRanking()
		return prior
	}
	n := p.stepNeed(o, pace)
	n.priorWork, n.slots = prior, rate*pace
	span := float64(o.terms.Span)
	n.due = float64(o.terms.Due - now)
	n.usefulFor, n.inTimeFor = n.due+lateShare*span, n.due+selectionThreshold*span
	if p.limits.LeastLeft {
		n.inTimeFor = n.due
	}
	o.rankedPace = pace
	o.rankedAt, o.rankingStale, o.requiredWaiting, o.selection = now, false, 0, selectGroups(n)
	classes := make(map[cf.GroupID]groupClass, len(n.groups))
	completions := map[cf.GroupID]float64{}
	for _, g := range n.groups {
		classes[g.id] = g.class
		completions[g.id] = g.completeIn
	}
	for _, w := range o.running {
		w.class = classes[w.Item.Group]
	}
	for _, w := range o.waiting {
		if w.class = classes[w.Item.Group]; w.class != groupOptional {
			o.requiredWaiting++
		}
		w.latestStart = 0
		if o.selection.deferring {
			w.latestStart = completions[w.Item.Group] - p.boundedRemaining(w)*pace
		}
	}
	slices.SortStableFunc(o.waiting, compareWork)
	return prior + o.selection.work
}

// forgetRanking discards an outdated ranking, so that loads and refusals are decided without it.
func (o *openBatch) forgetRanking() { o.rankedAt, o.requiredWaiting = 0, 0 }

// compareWork orders the waiting items of a batch by the class of their groups, then interrupted
// items first, then by the latest start, then items with text first, then long items first.
func compareWork(a, b *Work) int {
	return cmp.Or(cmp.Compare(a.class, b.class), compareTrueFirst(a.interrupted, b.interrupted), cmp.Compare(a.latestStart, b.latestStart), compareTrueFirst(a.Text.Last > 0, b.Text.Last > 0),
		cmp.Compare(b.Item.LengthHint, a.Item.LengthHint), cmp.Compare(a.submitOrder, b.submitOrder))
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// stepNeed returns the groups of a batch with open items, and how many of them its submitter waits
// for.
func (p *Planner) stepNeed(o *openBatch, pace float64) stepNeed {
	var n stepNeed
	at := map[cf.GroupID]int{}
	add := func(w *Work) {
		i, known := at[w.Item.Group]
		if !known {
			i = len(n.groups)
			at[w.Item.Group] = i
			n.groups = append(n.groups, groupNeed{id: w.Item.Group, carried: o.batch.CarriedOver(w.Item.Group)})
		}
		left := p.boundedRemaining(w) * pace
		n.groups[i].work += left
		n.groups[i].longest = max(n.groups[i].longest, left)
	}
	for _, w := range o.waiting {
		add(w)
	}
	for _, w := range o.running {
		add(w)
	}
	target := o.batch.Sub.TargetGroups
	if target == 0 { // without a target all groups are required
		target = o.batch.GroupCount()
	}
	n.required = max(target-(o.batch.GroupCount()-len(n.groups)), 0)
	return n
}

// boundedRemaining is like remaining, but assumes that no text becomes longer than the longest one
// so far: high hints are usually too high, and models limit the length of their texts.
func (p *Planner) boundedRemaining(w *Work) float64 {
	generated := w.generated()
	length := generated + p.remaining(w)
	if p.hints.hinted > 0 {
		length = p.hints.expected(w.Item, &p.lengths)
	}
	surplus := generated // what a text may still have after reaching its expected length
	if p.hints.texts >= minTextsForLongest && generated < p.longestText {
		length, surplus = min(length, p.longestText), min(surplus, p.longestText-generated)
	}
	left := max(length-generated, residualShare*surplus)
	return max(left, 1)
}

// capacity returns the number of events per ms that a batch's engines make with all slots in use,
// and the time of an event at a typical engine. Both are zero while no pace is known.
func (p *Planner) capacity(o *openBatch) (rate, pace float64) {
	if pace = p.queueOf(o).pace; pace == 0 {
		return 0, 0
	}
	for _, e := range p.enginesFor(o) {
		switch {
		case e.Draining:
		case e.pace > 0:
			rate += float64(e.Slots) / p.fullPace(e)
		default:
			rate += float64(e.Slots) / pace
		}
	}
	return rate, pace
}

// awaitedEngines returns the engines whose runs decide when a step with ranked groups ends. They
// should not load weights until another batch needs the new version, because a load interrupts a
// run and the longest texts of a step decide when it is complete. An engine whose runs end at least
// one load's duration earlier than the step may load as soon as no item waits for it: only a few
// may load at once, and otherwise not all would have loaded by the next step.
func (p *Planner) awaitedEngines() map[*Engine]bool {
	out := map[*Engine]bool{}
	if p.limits.LoadUnderRuns {
		return out
	}
	load := p.loadLimit.usualTime
	if load == 0 {
		load = assumedLoadTime
	}
	for _, o := range p.batches {
		if o.rankedAt == 0 {
			continue
		}
		for _, w := range o.running {
			if w.class == groupOptional {
				continue
			}
			if p.boundedRemaining(w)*o.rankedPace+load > o.selection.duration-float64(p.now-o.rankedAt) {
				out[w.engine] = true
			}
		}
	}
	return out
}

// delayedByLoads says whether a batch has waiting items that a load would delay. Items of groups
// that are not required may wait for the load.
func (o *openBatch) delayedByLoads() bool {
	return len(o.waiting) > 0 && !o.paused && (o.rankedAt == 0 || o.requiredWaiting > 0)
}
