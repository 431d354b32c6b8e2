package cfrollout

import (
	"cmp"
	"math"
	"slices"

	cf "currantford"
)

const (
	// rankInterval is the least time between two rankings of a batch's groups: what a group
	// has left changes by an event every 40 ms or more.
	rankInterval cf.Millis = 100
	// lateShare is for how long after its due time a step is taken to be still of use, as a
	// part of the time that it was given: callers pay less for late groups, and nothing
	// for those half as late again.
	lateShare = 0.5
	// selectionThreshold is by how much a step must be expected to end after its due time, as a
	// part of the time that it was given, until some of its groups are put off for others.
	// Before, all that its trainer waits for is worked on, longest texts first: the step
	// ends some 0.5 s sooner, and the next begins. At twice as much, a seventh fewer groups
	// are in time at just the capacity.
	selectionThreshold = 0.08
	// longestDecay is what is kept of the longest text at each one that ends.
	longestDecay = 0.9995
	// minTextsForLongest is from how many texts on the longest one bounds others: those of a step
	// that end first are its shortest.
	minTextsForLongest = 60
	// fillFactor is the part of the time left that is filled with selected groups: what a step
	// has left is known within some 10%, and its last slots are not all full.
	fillFactor = 0.9
	// assumedLoadTime is what a load of weights is taken to last until one has shown it, in ms.
	assumedLoadTime = 1000
)

// groupClass ranks the groups of a step for the order of their items.
type groupClass int

const (
	// groupInTime: whole by the step's due time or just after it, as estimated.
	groupInTime groupClass = iota
	// groupLate: waited for, and whole soon after the due time.
	groupLate
	// groupTooLate: waited for, and whole later than is of use.
	groupTooLate
	// groupOptional: not waited for.
	groupOptional
)

// groupNeed is what a group of a step still needs.
type groupNeed struct {
	id cf.GroupID
	// carried: its submitter waits for it, whatever others are whole.
	carried bool
	// work is the slot time that its open items take in all, longest what the longest
	// of them takes, in ms.
	work, longest float64
	class         groupClass
	// completeIn is when it is expected to be, where its class is filled one group after the other.
	completeIn float64
}

// stepNeed is what a step has to do, and by when.
type stepNeed struct {
	groups []groupNeed
	// required is for how many of them the submitter still waits.
	required int
	// priorWork is the slot time of work that goes first, slots how many items run at once.
	priorWork, slots float64
	// due is the time left until results are needed, late until they are of no use, and
	// most until when groups count as in time, in ms.
	due, usefulFor, inTimeFor float64
}

// selection is what was decided for the groups of a step.
type selection struct {
	// deferring: some groups are put off so that others are whole in time.
	deferring bool
	// duration is how long all that the submitter waits for takes, from now, in ms.
	duration float64
	// counts are the groups of each class, work the slot time of those waited for.
	counts [groupOptional + 1]int
	work   float64
}

// selectGroups sorts the open groups of a step by what they have left and classifies them.
//
// The load it answers: a step that needs more than its share of the engines does until it
// is due. Work on all of its groups at once ends them all together, after that time. The
// groups with the least left, one after the other, are the most that can be whole by any
// time, as far as single long texts do not decide; a group with a text that ends too late
// wherever it starts gives way to the next.
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
		// A single text decides when the step is whole. Which one that is, is not known
		// well enough to leave its group out, and it costs the others nothing.
		n.required = len(n.groups)
	}
	var s selection
	open := max(n.required-carried, 0) // groups waited for beside the carried ones
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
		// The step can't end without the groups carried from the one before, however many
		// others are whole, unless they end too late to be of use.
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

// goesFirst says whether a group goes before those with less left.
func (n *stepNeed) goesFirst(g groupNeed) bool { return g.carried && g.longest <= n.usefulFor }

// fill gives a class to the groups that are whole by a time, those with the least left
// first, after the slot time of what goes before. It returns that with theirs. A spare group
// takes the place of one that is waited for and can't be whole by then.
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

// placeReplaced gives a place to the groups whose place an optional one has taken, after the slot
// time of all that were filled: the submitter still waits for those that are carried, and for
// no other.
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

// rankGroups orders the waiting items of a batch by the groups that are selected.
// before is the slot time of the batches that go first. It returns that with this batch's.
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

// forgetRanking makes loads and refusals go without a ranking that holds no more.
func (o *openBatch) forgetRanking() { o.rankedAt, o.requiredWaiting = 0, 0 }

// compareWork orders the waiting items of a batch: by the classes of their groups, and of
// one class those first that have run, then long ones.
func compareWork(a, b *Work) int {
	return cmp.Or(cmp.Compare(a.class, b.class), compareTrueFirst(a.interrupted, b.interrupted), cmp.Compare(a.latestStart, b.latestStart), compareTrueFirst(a.Text.Last > 0, b.Text.Last > 0),
		cmp.Compare(b.Item.LengthHint, a.Item.LengthHint), cmp.Compare(a.submitOrder, b.submitOrder))
}

// compareTrueFirst orders what is true before what is not.
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

// stepNeed returns the groups of a batch with open items, and for how many of them its
// submitter waits.
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
	if target == 0 { // not given: all groups are waited for
		target = o.batch.GroupCount()
	}
	n.required = max(target-(o.batch.GroupCount()-len(n.groups)), 0)
	return n
}

// boundedRemaining is what left returns, and no more than the longest text so far had: where a
// hint is high it is mostly too high, and models bound the length of their texts.
func (p *Planner) boundedRemaining(w *Work) float64 {
	generated := w.generated()
	length := generated + p.remaining(w)
	if p.hints.hinted > 0 {
		length = p.hints.expected(w.Item, &p.lengths)
	}
	surplus := generated // what a text may have to come that is as long as was expected
	if p.hints.texts >= minTextsForLongest && generated < p.longestText {
		length, surplus = min(length, p.longestText), min(surplus, p.longestText-generated)
	}
	left := max(length-generated, residualShare*surplus)
	return max(left, 1)
}

// capacity returns the events that a batch's engines make in a ms with all slots taken, and
// what an event takes at a usual one of them; zero while no pace is known.
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

// awaitedEngines returns the engines that run an item on which the end of a step depends, of a
// batch whose groups were ranked. They should not load weights before another batch asks
// for it: a run stands still during a load, and the longest texts of a step decide when it
// is whole. Engines whose runs end a load's time before the step load as soon as nothing
// waits: few may load at once, and not all would have loaded when the next step comes.
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

// delayedByLoads says whether a batch has items waiting that an engine's load would hold up:
// those of groups that its trainer does not wait for may wait for the load.
func (o *openBatch) delayedByLoads() bool {
	return len(o.waiting) > 0 && !o.paused && (o.rankedAt == 0 || o.requiredWaiting > 0)
}
