// Package cfrollout decides at which engine and when the items of batches run, and which engine
// loads which weights when. It opens no connections and has no clock of its own: the coordinator
// passes it events with their time and carries out the decisions that it returns.
//
// A trainer submits a whole step at once, with several times more items than the engines have
// slots, and waits for most of its groups. It announces a new weight version just before the step,
// and the following step needs that version. Each model therefore has its own share of the engines,
// because loads are expensive and an engine that is loading serves nothing. A step starts
// immediately on the version that its share holds, and an engine loads the next version when no
// waiting item could run on it.
//
// Terms: a run is one attempt to generate an item's text at an engine. It yields a stream of
// events, each of which carries a few tokens. The pace of a run or an engine is the time of one
// event, in ms, so a higher pace is slower. A group is complete when all of its items are done. A
// load is an engine's load of a weight version. A weight order (Swap) makes an engine load one.
//
// Usage:
//
//	p := cfrollout.New(cfrollout.DefaultLimits)
//	p.SetEngines(targets, models)
//	p.AddBatch(batch, terms)
//	for _, run := range p.Place(now) { ... p.Finished(run, outcome, now) }
//	for _, swap := range p.Swaps(now) { ... p.SwapDone(target, model, version) }
package cfrollout

import (
	"sort"
	"sync"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfpeak"
	"currantford/core/cfslow"
)

type (
	// Limits holds the bounds and switches of a planner's decisions.
	Limits struct {
		// MinLoads is how many engines may load weights at once before the planner has learned the
		// limit, and the lower bound of that limit.
		MinLoads int
		// LearnedLoads is the limit that a previous planner has learned, zero if there is none.
		LearnedLoads int
		// UrgentLoads is the limit, if higher than the learned one, for engines whose version is
		// too old for a waiting item.
		UrgentLoads int
		// FailurePenalty is how long new items avoid an engine at which a run has failed.
		FailurePenalty cf.Millis
		// OrderBackoff is the pause after a weight order that an engine did not accept.
		OrderBackoff cf.Millis
		// BusyPenalty is how long new items avoid an engine that was full or loading.
		BusyPenalty cf.Millis
		// GroupAffinity is the factor on the pace of an engine that has already processed the
		// prompt of an item's group, below 1 to prefer it for the group's other items.
		GroupAffinity float64
		// Admit says whether an item may be sent to an engine now. isolated says that the engine is
		// isolated for the item, or that none can be. A nil Admit allows every item.
		Admit func(w *Work, engine cf.Target, isolated bool) Admission
		// The switches below turn decisions off to measure their effect. LongOnSlow lets items
		// start at slow engines without waiting for a faster one. SwapWhenIdle lets an engine load
		// only when no waiting item could run on it. AllGroups works on all groups of a step, even
		// if they cannot be complete in time. NoSlowPeriods ignores temporary slowness of engines.
		// LoadUnderRuns lets engines load while they run items that a trainer waits for. LeastLeft
		// defers groups as soon as a step cannot be complete in time.
		LongOnSlow    bool
		SwapWhenIdle  bool
		AllGroups     bool
		NoSlowPeriods bool
		LoadUnderRuns bool
		LeastLeft     bool
	}

	// Terms holds what a batch's route specifies.
	Terms struct {
		Service       cf.ServiceName
		MaxAttempts   int
		SingleVersion bool
		MaxWait       cf.Millis
		// Access determines the priority of the batch.
		Access cf.Access
		// Due is the Uptime by which results are needed, Span the time from the batch's acceptance
		// until then. Both are zero if the route sets no due time.
		Due  cf.Millis
		Span cf.Millis
	}

	// Engine is a target that serves models, with the planner's knowledge of it.
	Engine struct {
		cf.Target
		// Model is the model that the engine currently serves, empty for a spare engine.
		Model   cf.ModelName
		Running int
		loading cf.WeightVersion // the version being loaded, zero if none
		// loadStarted is when the latest load was ordered, concurrentLoads the highest number of
		// loads at the same time, this one included. loadUndelayed says that no run delayed the
		// load.
		loadStarted     cf.Millis
		concurrentLoads int
		loadUndelayed   bool
		// failedVersion is the version of the latest failed order, failedAt the time of the
		// failure.
		failedVersion cf.WeightVersion
		failedAt      cf.Millis
		avoidUntil    cf.Millis // no new items before this time
		nextOrderAt   cf.Millis // no new weight order before this time
		versions      map[cf.ModelName]cf.WeightVersion
		// Memory is the engine's memory in tokens, zero if unknown. memoryReported says that the
		// engine itself has reported it. usedMemory is what its runs are expected to need.
		Memory         cf.Tokens
		memoryReported bool
		usedMemory     float64
		groups         map[cf.GroupID]int
		// pace is the time of an event without the slowdown from concurrent runs, in ms, zero until
		// it was observed.
		pace float64
		// meanPace and meanRuns are moving averages of the engine's pace and of its number of runs,
		// last updated at meanAt.
		meanPace, meanRuns float64
		meanAt             cf.Millis
		// reserved is the number of slots reserved for runs that move to the engine.
		reserved int
		// isolationLimit is how many runs the engine may have while it is isolated, zero while it
		// is not.
		isolationLimit int
		// loadingSeenAt is when the engine was last seen to load while it had a run.
		loadingSeenAt cf.Millis
		// state tracks temporary slowness of the engine.
		state cfslow.EngineState
		// idleConnections holds the expiry times of the idle connections to the engine, earliest
		// first.
		idleConnections []cf.Millis
		// idHash breaks ties between otherwise equal engines.
		idHash uint64
	}

	departedKey struct {
		id      cf.InstanceID
		service cf.ServiceName
	}

	// Text is the text generated for an item so far.
	Text struct {
		// Origin identifies the run that made the first event. Texts of two runs that both started
		// from the beginning must not be joined.
		Origin   uint64             `json:"origin" cbor:"origin"`
		Last     cf.EventID         `json:"last" cbor:"last"`
		Data     []string           `json:"data" cbor:"data"`
		Versions []cf.WeightVersion `json:"versions" cbor:"versions"`
		Complete bool               `json:"complete,omitempty" cbor:"complete"`
	}

	// Work is an item that waits or runs. While it runs, only its run changes Text, under Mu.
	Work struct {
		Mu       sync.Mutex
		Batch    *cfbatch.Batch
		Item     cf.Item
		Terms    Terms
		Failures int // answers that count as failed attempts
		Text     Text
		Engine   cf.InstanceID // where it runs, empty while it waits
		// engine is the engine that Engine names. engineStarted is the start time of the engine
		// process that the run was given to, zero if it was unknown.
		engine        *Engine
		engineStarted cf.Millis
		Version       cf.WeightVersion
		// OldestVersion is the oldest weight version in the text, as of the run's start.
		OldestVersion cf.WeightVersion
		Started       cf.Millis
		// relativeHint is the item's length hint divided by the mean hint of its batch, zero
		// without a hint.
		relativeHint float64
		// Progress belongs to the current run.
		Progress Progress
		// resumeAfter is the last event of the text before the current or the next run.
		resumeAfter cf.EventID
		// moving says that the run is being stopped in order to resume at another engine. moves
		// counts such moves.
		moving bool
		moves  int
		// movedAt is when the latest move was decided. It is cleared by the first event at the new
		// engine.
		movedAt  cf.Millis
		lastMove Move
		// reservedEngine holds a slot for the item until reservedUntil.
		reservedEngine *Engine
		reservedUntil  cf.Millis
		// AvoidEngine is the engine that the run was last moved away from.
		AvoidEngine cf.InstanceID
		avoidUntil  cf.Millis
		submitOrder int
		// maxRuns is how many runs an engine may have while this item runs there, as of the latest
		// admission. isolated says that the item runs at an engine that is isolated for it.
		maxRuns  int
		isolated bool
		// waitingSince is when the item's latest run ended, or when the planner first considered
		// the item.
		waitingSince cf.Millis
		// interrupted says that a run has ended before the text was complete. class is the class of
		// the item's group, and latestStart the time, in ms after the latest ranking, by which the
		// item must start for its group to be complete as planned. It is zero if no groups are
		// deferred.
		interrupted bool
		class       groupClass
		latestStart float64
		// unplacedSince is since when the item has had no engine, zero if it was not considered
		// yet; runs without an event do not count. reportedWait is the waiting time at the latest
		// report. notAdmitted says that no engine may get the item, as of the latest planning pass.
		unplacedSince, reportedWait cf.Millis
		notAdmitted                 bool
	}

	// Swap is a weight order for an engine.
	Swap struct {
		Target   cf.Target
		Model    cf.ModelName
		Version  cf.WeightVersion
		KeepRuns bool
	}

	// Planner holds the state of all decisions. It is not safe for concurrent use.
	Planner struct {
		limits         Limits
		engines        map[cf.InstanceID]*Engine
		latestVersions map[cf.ModelName]cf.WeightVersion
		models         map[cf.ServiceName][]cf.ModelName
		// work is the work of each model's recent steps, shareWeights the configured factor of each
		// model's share.
		work         map[cf.ModelName]stepWork
		shareWeights map[cf.ModelName]float64
		batches      map[cf.BatchID]*openBatch
		savedTexts   map[cf.ItemID]*Work
		// departed holds engines that are no longer listed and still have runs.
		departed map[departedKey]*Engine
		// orphans are runs that continue after the end of their batch, for a later batch.
		orphans map[cf.ItemID]*Work
		// fleets holds the engines of each service, shares the engines that serve each model,
		// sorted by id. loadingEngines are those that load weights, busyEngines those that have
		// runs.
		fleets         map[cf.ServiceName]*fleet
		shares         map[shareKey][]*Engine
		loadingEngines map[cf.InstanceID]*Engine
		busyEngines    map[cf.InstanceID]*Engine
		// provenVersions holds the newest version of each model that any engine has loaded.
		provenVersions map[cf.ModelName]cf.WeightVersion
		// peaks tracks the highest number of open items of each model.
		peaks map[cf.ModelName]*cfpeak.Peak
		// needsDivision says that the engines must be divided again: the first version of a model
		// was announced, which changes its need, or a model lacks engines that others hold without
		// need.
		needsDivision bool
		// conflicts holds the engines at which an item was not admitted in this planning pass
		// because of the runs there.
		conflicts map[*Engine]bool
		// replacedAt is when slow engines were last considered for replacement.
		replacedAt cf.Millis
		// now is the time of the latest call that passed one.
		now cf.Millis
		// cachedPace is the result of assumedPace at cachedPaceAt.
		cachedPace   float64
		cachedPaceAt cf.Millis
		// singleVersion holds the models whose latest batch asks for samples of one version each.
		// Runs of that batch may continue after its end.
		singleVersion map[cf.ModelName]bool
		// scarce says that a service has fewer engines than models.
		scarce    bool
		loadLimit loadLimiter
		crashes   crashTracker
		lengths   lengths
		// longestText is the length of the longest text in events, decaying over time.
		longestText float64
		hints       hintCorrection
		slotCost    slotCostModel
		memory      memoryModel
		// periods holds what was observed of temporary slowness of engines, moveCost the observed
		// cost of moving a run.
		periods  cfslow.Periods
		moveCost cfslow.MoveCost
		// stalledUntil is the end of the latest stall of this process.
		stalledUntil cf.Millis
		reservations []*Work
		// candidates is a buffer that choose reuses.
		candidates []candidate
	}

	shareKey struct {
		service cf.ServiceName
		model   cf.ModelName
	}

	openBatch struct {
		batch  *cfbatch.Batch
		terms  Terms
		paused bool
		// started says that one of its items has run or is listed.
		started bool
		waiting []*Work
		running map[cf.ItemID]*Work
		// selection is the latest selection of groups, made at rankedAt with an event time of
		// rankedPace. requiredWaiting is the number of waiting items in groups that the trainer
		// waits for. rankingStale says that items have returned to the queue since.
		selection       selection
		rankedAt        cf.Millis
		requiredWaiting int
		rankingStale    bool
		rankedPace      float64
	}
)

// DefaultLimits suits engines that refuse an item immediately when they cannot run it.
var DefaultLimits = Limits{MinLoads: 2, UrgentLoads: 3, FailurePenalty: 1500, OrderBackoff: 400, BusyPenalty: 150, GroupAffinity: 0.94}

// New returns a planner that knows no engines.
func New(limits Limits) *Planner {
	return &Planner{
		limits: limits, engines: map[cf.InstanceID]*Engine{}, latestVersions: map[cf.ModelName]cf.WeightVersion{},
		models: map[cf.ServiceName][]cf.ModelName{}, work: map[cf.ModelName]stepWork{}, batches: map[cf.BatchID]*openBatch{},
		fleets: map[cf.ServiceName]*fleet{}, shares: map[shareKey][]*Engine{}, loadingEngines: map[cf.InstanceID]*Engine{}, busyEngines: map[cf.InstanceID]*Engine{}, conflicts: map[*Engine]bool{}, provenVersions: map[cf.ModelName]cf.WeightVersion{}, peaks: map[cf.ModelName]*cfpeak.Peak{}, cachedPaceAt: -1,
		savedTexts: map[cf.ItemID]*Work{}, orphans: map[cf.ItemID]*Work{}, departed: map[departedKey]*Engine{}, singleVersion: map[cf.ModelName]bool{}, loadLimit: newLoadLimiter(limits.MinLoads, limits.LearnedLoads), crashes: crashTracker{suspects: map[cf.ModelName]*suspectVersion{}}, slotCost: slotCostModel{cost: slotCostPrior}, memory: memoryModel{queriedAt: map[cf.InstanceID]cf.Millis{}, reports: map[cf.ServiceName]*reportedMemory{}},
	}
}

// LatestVersion returns the newest version announced for a model.
func (p *Planner) LatestVersion(m cf.ModelName) cf.WeightVersion { return max(p.latestVersions[m], 1) }

// SetVersion records a version that a trainer has announced.
func (p *Planner) SetVersion(m cf.ModelName, v cf.WeightVersion) {
	p.needsDivision = p.needsDivision || p.LatestVersion(m) == 1 && v > 1
	p.latestVersions[m] = max(p.latestVersions[m], v)
}

// AddBatch adds a batch, whose listed items are already done. It returns the items whose text an
// earlier batch has already completed.
func (p *Planner) AddBatch(b *cfbatch.Batch, terms Terms) []*Work {
	if p.batches[b.Sub.ID] != nil {
		return nil
	}
	if b.Ended {
		p.notePeak(b.Sub.Model, len(b.Sub.Items)) // the next step is expected to be of similar size
		return nil
	}
	o := &openBatch{batch: b, terms: terms, started: b.ListedCount() > 0, running: map[cf.ItemID]*Work{}}
	p.batches[b.Sub.ID] = o
	var ready []*Work
	tokens, hints := 0.0, 0.0
	mean := meanHint(b.Sub.Items)
	for _, it := range b.Sub.Items {
		tokens += float64(max(it.MaxTokens, 1))
		hints += float64(it.LengthHint)
		if b.Listed(it.ID) {
			continue
		}
		if p.adoptOrphan(o, it) {
			continue
		}
		w := &Work{Batch: b, Item: it, Terms: terms, relativeHint: float64(it.LengthHint) / mean}
		if old := p.savedTexts[it.ID]; old != nil {
			delete(p.savedTexts, it.ID)
			if reusable(old.Text, b.Sub.MinVersion, terms.SingleVersion) {
				w.Text, w.resumeAfter = old.Text, old.Text.Last
			}
		}
		if w.Text.Complete {
			ready = append(ready, w)
			continue
		}
		o.waiting = append(o.waiting, w)
	}
	sortItems(o.waiting)
	p.noteWork(b.Sub.Model, stepWork{tokens: tokens, hints: hints, latestTokens: tokens, hasDueTime: terms.Due > 0, lastOpen: p.now})
	p.notePeak(b.Sub.Model, b.ListedCount())
	p.singleVersion[b.Sub.Model] = terms.SingleVersion
	p.divideEngines()
	return ready
}

// SetTerms applies the current configuration to an open batch. A batch without a route starts no
// more items, since there is no service that may run them.
func (p *Planner) SetTerms(id cf.BatchID, terms Terms, routed bool) {
	o := p.batches[id]
	if o == nil {
		return
	}
	o.paused = !routed
	if !routed {
		return
	}
	o.terms = terms
	if terms.Due == 0 {
		o.forgetRanking()
	}
	if work, known := p.work[o.batch.Sub.Model]; known {
		work.hasDueTime = terms.Due > 0
		p.work[o.batch.Sub.Model] = work
	}
	p.singleVersion[o.batch.Sub.Model] = terms.SingleVersion
	for _, w := range o.waiting {
		w.Terms = terms
	}
	for _, w := range o.running {
		w.Terms = terms // applies from its next run on
	}
}

// adoptOrphan attaches a run that continues after its batch's end to a batch that contains the same
// item.
func (p *Planner) adoptOrphan(o *openBatch, it cf.Item) bool {
	w := p.orphans[it.ID]
	if w == nil || w.OldestVersion < o.batch.Sub.MinVersion {
		return false
	}
	delete(p.orphans, it.ID)
	w.Batch, w.Terms = o.batch, o.terms
	o.running[it.ID], o.started = w, true
	return true
}

// sortItems sorts the items of a step. Items with text from an earlier step come first, then longer
// items before shorter ones, so that a step does not end with its longest item alone on an engine.
func sortItems(works []*Work) {
	for i, w := range works {
		w.submitOrder = i
	}
	sort.SliceStable(works, func(i, j int) bool {
		a, b := works[i], works[j]
		if (a.Text.Last > 0) != (b.Text.Last > 0) {
			return a.Text.Last > 0
		}
		if a.Item.LengthHint != b.Item.LengthHint {
			return a.Item.LengthHint > b.Item.LengthHint
		}
		return a.submitOrder < b.submitOrder
	})
}

// EndBatch ends a batch. It returns the runs to stop, whose text no later step could use.
func (p *Planner) EndBatch(id cf.BatchID) []*Work {
	o := p.batches[id]
	if o == nil {
		return nil
	}
	delete(p.batches, id)
	if work, known := p.work[o.batch.Sub.Model]; known {
		work.lastOpen = p.now
		p.work[o.batch.Sub.Model] = work
	}
	for _, w := range o.waiting {
		p.KeepText(w)
	}
	var stop []*Work
	for _, w := range o.running {
		// The next step requires newer weights than this step did.
		if w.OldestVersion <= o.batch.Sub.MinVersion {
			stop = append(stop, w)
			p.keepStoppedText(w)
			continue
		}
		p.orphans[w.Item.ID] = w
	}
	return stop
}

// HasWork says whether any item waits or runs.
func (p *Planner) HasWork() bool {
	for _, o := range p.batches {
		if len(o.waiting)+len(o.running) > 0 {
			return true
		}
	}
	return false
}

// sortedBatches returns the open batches by priority, and within a priority by acceptance time,
// since the trainers of older batches time out first. A coordinator that takes over reads the
// batches in no particular order.
func (p *Planner) sortedBatches() []*openBatch {
	out := make([]*openBatch, 0, len(p.batches))
	for _, o := range p.batches {
		out = append(out, o)
	}
	sort.Slice(out, func(i, j int) bool {
		if p, q := out[i].terms.Access.Priority, out[j].terms.Access.Priority; p != q {
			return p < q
		}
		a, b := &out[i].batch.Sub, &out[j].batch.Sub
		if a.Accepted != b.Accepted {
			return a.Accepted < b.Accepted
		}
		return a.ID < b.ID
	})
	return out
}
