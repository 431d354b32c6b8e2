// Package cfrollout decides where and when the items of batches run, and when
// which engine loads which weights. It has no connections and no clock of its
// own: the coordinator feeds it events with their time and carries out what it
// returns.
//
// The load it answers: a trainer hands in a whole step at once, several times
// more items than the engines have slots, and waits for most of its groups; a
// new weight version is named just before, and the step after this one needs
// it. Each model therefore has its own share of the engines (loads are paid
// for, and an engine that loads serves nobody); a step starts at once on the
// version its share holds, and an engine loads the next version when nothing
// waits that it could run.
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
	// Limits bound what the planner starts.
	Limits struct {
		// MinLoads is how many engines load weights at once until it is known
		// how many may, and at the least.
		MinLoads int
		// LearnedLoads is the same as a planner before has learned, zero if none has.
		LearnedLoads int
		// UrgentLoads is the bound while work waits for a version that no
		// engine of its share holds.
		UrgentLoads int
		// FailurePenalty keeps new items off an engine that failed one.
		FailurePenalty cf.Millis
		// OrderBackoff is the pause after an order that was not taken.
		OrderBackoff cf.Millis
		// BusyPenalty keeps them off one that was full or loading.
		BusyPenalty cf.Millis
		// GroupAffinity makes an engine that has read a group's prompt count as
		// so much faster for the group's other items.
		GroupAffinity float64
		// Admit says whether an item may be sent to an engine now; apart says that the
		// engine is set apart, or that none can be. nil lets all.
		Admit func(w *Work, engine cf.Target, isolated bool) Admission
		// LongOnSlow, SwapWhenIdle, AllGroups and NoSlowPeriods turn decisions off, to
		// measure them, and LoadUnderRuns that engines wait with loads for runs that a
		// trainer waits for. LeastLeft puts groups off as soon as a step can't be whole in time.
		LongOnSlow    bool
		SwapWhenIdle  bool
		AllGroups     bool
		NoSlowPeriods bool
		LoadUnderRuns bool
		LeastLeft     bool
	}

	// Terms is what a batch's route asks for.
	Terms struct {
		Service       cf.ServiceName
		MaxAttempts   int
		SingleVersion bool
		MaxWait       cf.Millis
		// Access ranks the batch.
		Access cf.Access
		// Due is the Uptime by which results are needed, Span how long after the batch's
		// acceptance that is; zero where the route says nothing.
		Due  cf.Millis
		Span cf.Millis
	}

	// Engine is a model target with what is known of it.
	Engine struct {
		cf.Target
		// Model is the model that it serves.
		Model   cf.ModelName
		Running int
		loading cf.WeightVersion // zero when it loads nothing
		// loadStarted is when, beside how many at most, and undelayed that no
		// run held the load up.
		loadStarted     cf.Millis
		concurrentLoads int
		loadUndelayed   bool
		// failedVersion is the version whose order failed last, at failedAt.
		failedVersion cf.WeightVersion
		failedAt      cf.Millis
		avoidUntil    cf.Millis // no new items until then
		nextOrderAt   cf.Millis // no new order until then
		versions      map[cf.ModelName]cf.WeightVersion
		// Memory is its memory in tokens, zero where that is not known; told that
		// it has said so. used is what its runs are expected to take.
		Memory         cf.Tokens
		memoryReported bool
		usedMemory     float64
		groups         map[cf.GroupID]int
		// pace is the milliseconds that an event takes with one run, as far
		// as shown.
		pace float64
		// meanPace is its mean pace as of usualAt, usualRuns the mean of its runs.
		meanPace, meanRuns float64
		meanAt             cf.Millis
		// reserved are its slots that are kept for runs that move to it.
		reserved int
		// isolationLimit is how many runs it may have while it is set apart, zero while it is not.
		isolationLimit int
		// loadingSeenAt is when it was last seen loading under a run.
		loadingSeenAt cf.Millis
		// state is what its events show of periods of slowness.
		state cfslow.EngineState
		// idleConnections are until when connections to it are kept that nobody uses, the first to
		// end first.
		idleConnections []cf.Millis
		// idHash orders engines that differ in nothing else.
		idHash uint64
	}

	departedKey struct {
		id      cf.InstanceID
		service cf.ServiceName
	}

	// Text is what has been generated of an item.
	Text struct {
		// Origin names the run that made the first event; the texts of two
		// runs that both began anew must not be joined.
		Origin   uint64             `json:"origin" cbor:"origin"`
		Last     cf.EventID         `json:"last" cbor:"last"`
		Data     []string           `json:"data" cbor:"data"`
		Versions []cf.WeightVersion `json:"versions" cbor:"versions"`
		Complete bool               `json:"complete,omitempty" cbor:"complete"`
	}

	// Work is an item that waits or runs. While it runs, its run alone
	// changes Text, under Mu.
	Work struct {
		Mu       sync.Mutex
		Batch    *cfbatch.Batch
		Item     cf.Item
		Terms    Terms
		Failures int // answers that count as failed attempts
		Text     Text
		Engine   cf.InstanceID // where it runs, empty while it waits
		// engine is the same, as of the start that born tells, zero if that was not known.
		engine     *Engine
		engineBorn cf.Millis
		Version    cf.WeightVersion
		// OldestVersion is the oldest version of the text, as of the run's start.
		OldestVersion cf.WeightVersion
		Started       cf.Millis
		// relativeHint is its submitter's guess of its length against the mean of its
		// batch, zero without one.
		relativeHint float64
		// Progress is that of the run under way.
		Progress Progress
		// resumeAfter is the event after which the run under way, or the next,
		// begins.
		resumeAfter cf.EventID
		// moving: the run is being stopped, to go on at another engine; moves
		// counts how often it was.
		moving bool
		moves  int
		// movedAt is when it was last decided to move it, until its first event
		// elsewhere.
		movedAt  cf.Millis
		lastMove Move
		// reservedEngine is the engine that keeps a slot for it until toUntil.
		reservedEngine *Engine
		reservedUntil  cf.Millis
		// AvoidEngine is an engine that the run was moved away from.
		AvoidEngine cf.InstanceID
		avoidUntil  cf.Millis
		submitOrder int
		// maxRuns is how many runs an engine may have with it, as the last admission said;
		// apart: it runs at an engine that is set apart for it.
		maxRuns  int
		isolated bool
		// waitingSince is when its last run ended, or when it was first looked at.
		waitingSince cf.Millis
		// interrupted: a run of it has ended before its text was complete. class is that of its
		// group, and startBy when it must start for its group, both as of the last ranking.
		interrupted bool
		class       groupClass
		latestStart float64
		// unplacedSince is since when it has been at no engine, zero if that was not looked at; runs
		// without an event do not count. reported is after what time that was last reported,
		// refused that no engine may be sent it, as of the last look.
		unplacedSince, reportedWait cf.Millis
		notAdmitted                 bool
	}

	// Swap asks for a weight order.
	Swap struct {
		Target   cf.Target
		Model    cf.ModelName
		Version  cf.WeightVersion
		KeepRuns bool
	}

	// Planner holds the state. It is not safe for concurrent use.
	Planner struct {
		limits         Limits
		engines        map[cf.InstanceID]*Engine
		latestVersions map[cf.ModelName]cf.WeightVersion
		models         map[cf.ServiceName][]cf.ModelName
		// work is the work of each model's latest step, weights what its share counts for.
		work         map[cf.ModelName]stepWork
		shareWeights map[cf.ModelName]float64
		batches      map[cf.BatchID]*openBatch
		savedTexts   map[cf.ItemID]*Work
		// departed are engines that have left the list and have runs under way.
		departed map[departedKey]*Engine
		// orphans run on for a batch to come, though theirs was ended.
		orphans map[cf.ItemID]*Work
		// fleets are the engines of each service, shares those that serve a model, sorted
		// by id; loadings are those that load weights, busy those that run something.
		fleets         map[cf.ServiceName]*fleet
		shares         map[shareKey][]*Engine
		loadingEngines map[cf.InstanceID]*Engine
		busyEngines    map[cf.InstanceID]*Engine
		// provenVersions are the newest versions that engines were seen to hold.
		provenVersions map[cf.ModelName]cf.WeightVersion
		// peaks are the most items of each model that were open at once.
		peaks map[cf.ModelName]*cfpeak.Peak
		// needsDivision: the first version of a model was named, which changes what it needs, or
		// a model lacks engines that others hold and do not need.
		needsDivision bool
		// conflicts are the engines at which, in this look, an item might not meet what runs there.
		conflicts map[*Engine]bool
		// replacedAt is when slow engines were looked for last.
		replacedAt cf.Millis
		// now is the time of the last call that brought it.
		now cf.Millis
		// cachedPace is what typical returned at usualAt.
		cachedPace   float64
		cachedPaceAt cf.Millis
		// singleVersion are the models whose latest batch asks for samples of one
		// version each; its runs may go on when it has ended.
		singleVersion map[cf.ModelName]bool
		// scarce: a service has fewer engines than models.
		scarce    bool
		loadLimit loadLimiter
		crashes   crashTracker
		lengths   lengths
		// longestText is the length of the longest text so far; it fades.
		longestText float64
		hints       hintCorrection
		slotCost    slotCostModel
		memory      memoryModel
		// periods is what was observed of engines that are slow for a while, moveCost
		// what it costs to move a run.
		periods  cfslow.Periods
		moveCost cfslow.MoveCost
		// stalledUntil is when the process was last found to have done nothing for a while.
		stalledUntil cf.Millis
		reservations []*Work
		// candidates is the room for the engines of a choice.
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
		// started: an item of it has run, or is listed.
		started bool
		waiting []*Work
		running map[cf.ItemID]*Work
		// selection is the last selection of its groups, at rankedAt, and wanted how many of
		// the items that wait belong to groups that are waited for. unranked: items have
		// come back since. pace is what an event took then.
		selection       selection
		rankedAt        cf.Millis
		requiredWaiting int
		rankingStale    bool
		rankedPace      float64
	}
)

// DefaultLimits suit engines that answer refusals at once.
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

// LatestVersion returns the newest version named for a model.
func (p *Planner) LatestVersion(m cf.ModelName) cf.WeightVersion { return max(p.latestVersions[m], 1) }

// SetVersion takes a version that a trainer has named.
func (p *Planner) SetVersion(m cf.ModelName, v cf.WeightVersion) {
	p.needsDivision = p.needsDivision || p.LatestVersion(m) == 1 && v > 1
	p.latestVersions[m] = max(p.latestVersions[m], v)
}

// AddBatch takes a batch; its listed items are done. It returns items that
// are complete already, because an earlier batch generated them.
func (p *Planner) AddBatch(b *cfbatch.Batch, terms Terms) []*Work {
	if p.batches[b.Sub.ID] != nil {
		return nil
	}
	if b.Ended {
		p.notePeak(b.Sub.Model, len(b.Sub.Items)) // the next step will be like it
		return nil
	}
	o := &openBatch{batch: b, terms: terms, started: b.ListedCount() > 0, running: map[cf.ItemID]*Work{}}
	p.batches[b.Sub.ID] = o
	var ready []*Work
	tokens, hints := 0.0, 0.0
	guess := meanHint(b.Sub.Items)
	for _, it := range b.Sub.Items {
		tokens += float64(max(it.Tokens, 1))
		hints += float64(it.LengthHint)
		if b.Listed(it.ID) {
			continue
		}
		if p.adoptOrphan(o, it) {
			continue
		}
		w := &Work{Batch: b, Item: it, Terms: terms, relativeHint: float64(it.LengthHint) / guess}
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

// SetPolicy takes what the configuration now in force says of an open batch. A
// batch whose route is gone starts nothing more: its items may go nowhere.
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
		w.Terms = terms // for its next run
	}
}

// adoptOrphan lets a run go on for a batch that asks for its item again.
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

// sortItems sorts a step's items: groups left over from the step before come
// first, as submitted; then long items before short ones, so that the step
// does not end with its longest item alone on an engine.
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

// EndBatch takes the end of a batch. It returns the runs to stop: those whose
// text no later step could use.
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
		// The next step asks for newer weights than this one did.
		if w.OldestVersion <= o.batch.Sub.MinVersion {
			stop = append(stop, w)
			p.keepStoppedText(w)
			continue
		}
		p.orphans[w.Item.ID] = w
	}
	return stop
}

// HasWork says whether any work waits or runs.
func (p *Planner) HasWork() bool {
	for _, o := range p.batches {
		if len(o.waiting)+len(o.running) > 0 {
			return true
		}
	}
	return false
}

// sortedBatches returns the open batches by their priority, and of one priority those accepted
// first before the others: their trainers give up first. A coordinator that takes over
// finds them in no order.
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
