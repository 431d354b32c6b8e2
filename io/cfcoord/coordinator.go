// Package cfcoord implements the coordinator. It runs the items of accepted batches on model
// engines, writes their results to the store, brings the engines to the weight versions that
// trainers publish, and answers reads of batches. One entry instance at a time is the coordinator,
// by a lease in the store.
//
// A coordinator keeps no durable state of its own: batches, their ends and their results are in the
// store, and a successor rebuilds its state from them. Only work in progress is in memory alone; a
// successor runs it again.
//
// The decisions are made by cfrollout (placement, weight loads), cfbatch (result positions, chunks)
// and cflease (the lease); this package carries them out.
//
// Usage:
//
//	c := cfcoord.New(options)
//	c.Start(gatherTexts)
//	defer c.Close()
//	page, err := c.Results(ctx, id, after, wait)
package cfcoord

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfrollout"
	"currantford/core/cfsite"
	"currantford/io/cfguard"
	"currantford/io/cflog"
)

const (
	// planInterval is the time between planning passes if no event causes one earlier. Such passes
	// find engines whose backoff has ended and chunks that have reached their maximum age.
	planInterval = 50 * time.Millisecond
	// idlePlanInterval replaces planInterval while there is no open work.
	idlePlanInterval = 250 * time.Millisecond
	// wakeDelay is how long a planning pass waits for further events after the first one.
	wakeDelay = 2 * time.Millisecond
	// maxReads is the number of batches read from the store in parallel during a takeover. Each
	// read takes 4 ms or more and half a megabyte of memory.
	maxReads = 4
	// readRetryDelay is the pause after a failed read of a batch from the store.
	readRetryDelay = 200 * time.Millisecond
)

type (
	// Lease is the coordinator's view of the lease that makes its instance the coordinator.
	Lease interface {
		// Valid reports whether this instance may answer as the coordinator.
		Valid() bool
		// Held reports whether this instance is the coordinator as far as it knows. This is
		// sufficient for work that two coordinators may do at the same time without harm.
		Held() bool
		// MayOrder reports whether this instance may give weight orders, and returns the fencing
		// token for them.
		MayOrder() (cf.Revision, bool)
		// Ordered records that an order is being given now, or has just ended.
		Ordered()
	}

	// StreamRouter chooses where the streams of items are opened: at this instance or at another
	// one.
	StreamRouter interface {
		// Route returns the instance that opens the next stream to t, and the function that opens
		// it.
		Route(t cf.Target) cf.StreamRoute
	}

	// localStreams opens all streams at this instance.
	localStreams struct {
		cf.Targets
		self cf.EntryID
	}

	// Options configures a coordinator.
	Options struct {
		Self    cf.EntryID
		Store   cf.Store
		Targets cf.Targets
		// StreamRouter routes the streams of runs. If it is nil, all of them are opened through
		// Targets.
		StreamRouter StreamRouter
		Site         *cfsite.Site
		Codec        cfsite.Codec
		Lease        Lease
		// KeepResults is how long an ended batch remains readable, counted from its acceptance.
		KeepResults cf.Millis
		// Guard decides which requests may be sent, and is told how each of them ended.
		Guard *cfguard.Guard
		// MirrorPeers receives copies of the texts that are being generated.
		MirrorPeers MirrorPeers
		// MaxLoads is the number of engines that may load weights at the same time, as learned by
		// the predecessor. It is zero if that is not known.
		MaxLoads int
		// HasPredecessor is set if another instance may have been the coordinator before.
		HasPredecessor bool
		// MemoryBytes is the process's memory limit, zero if there is none.
		MemoryBytes int64
		// PageBudget limits the result pages sent over this machine's link. Nil means no limit.
		PageBudget *LinkBudget
		Metrics    *Metrics
		Log        *zap.Logger
		Policy     Policy
	}

	// Coordinator runs batches while its instance holds the lease. It is safe for concurrent use.
	// Close stops it and waits for all goroutines that it started.
	Coordinator struct {
		Options
		ctx     context.Context
		cancel  context.CancelFunc
		wg      cflog.Group
		wakeups chan struct{}
		// readSlots limits the number of batches that are read at the same time.
		readSlots chan struct{}

		mu sync.Mutex
		// takeover is the state of the takeover from the predecessor.
		takeover takeover
		planner  *cfrollout.Planner
		batches  map[cf.BatchID]*batchState
		// reads holds the batches that are being read from the store.
		reads   map[cf.BatchID]*batchRead
		runs    map[*cfrollout.Work]context.CancelFunc
		rewards rewards
		// unlisted holds the texts that are complete but not listed in the store yet, with or
		// without a reward.
		unlisted     map[cf.ItemID]unlistedText
		orders       *orderExecutor
		versionTimes versionTimes
		// seenChanges is the value of the site's change counter that the planner has been brought
		// up to.
		seenChanges int64
		seenConfig  cfsite.ConfigVersion
		prepared    preparedBatches
		history     history
		// pace holds the typical time per event at an engine, as the bits of a float64.
		pace atomic.Uint64
		// loggedPauses holds the end of the last logged pause of each request. Its size is limited
		// by maxLoggedPauses.
		loggedPauses map[cf.RequestID]cf.Millis
		// stepChecks holds the time at which instances last asked whether each step may be
		// accepted. It is complete from checksSince on: the start of the term, or the last time
		// that stepChecks was cleared.
		stepChecks  map[cf.BatchID]cf.Millis
		checksSince cf.Millis
		// startedAt is the start of the term. waitingCheckedAt is the time of the last check for
		// waiting items.
		startedAt, waitingCheckedAt cf.Millis
		// slowPeriodsKnown is set while the planner uses the slow periods that it has observed.
		slowPeriodsKnown bool
		// active is set while items run or wait.
		active atomic.Bool
	}

	// unlistedText is a complete text of a batch that is not listed yet.
	unlistedText struct {
		batch cf.BatchID
		text  cfrollout.Text
	}

	// batchRead is a read of a batch from the store that is in progress, with the changes to the
	// batch since the read began. inherited and predecessorMayWrite have the same meaning as in
	// batchState.
	batchRead struct {
		ended, removed                 bool
		inherited, predecessorMayWrite bool
	}

	// batchState is a batch together with its results that are not listed yet.
	batchState struct {
		batch   *cfbatch.Batch
		pending cfbatch.PendingResults
		changed chan struct{} // closed and replaced when results are listed
		planned bool          // the planner has the batch
		// noRouteLogged is set once the absence of a route for the batch has been logged.
		noRouteLogged bool
		// startGate delays the batch until its predecessors have ended.
		startGate cfbatch.StartGate
		// inherited is set if the batch existed before this term. predecessorMayWrite is set if the
		// previous coordinator may still be writing a chunk of its results.
		inherited, predecessorMayWrite bool
		loadedAt                       cf.Millis
		// cost is the memory in bytes that its items take.
		cost     int64
		rereadAt cf.Millis // time of the last repeated read of its chunks
		// measured is the number of listed results whose staleness has been measured, and
		// maxStaleness is the highest of these values. served is set once the trainer has as many
		// results as it asked for.
		measured     int
		maxStaleness cf.WeightVersion
		served       bool
		// selection is the last logged selection of its groups.
		selection selectionLog
	}
)

// New returns a coordinator that is not started.
func New(o Options) *Coordinator {
	ctx, cancel := context.WithCancel(context.Background())
	limits := cfrollout.DefaultLimits
	if o.StreamRouter == nil {
		o.StreamRouter = localStreams{o.Targets, o.Self}
	}
	limits.LearnedLoads = o.MaxLoads
	limits.LongOnSlow, limits.SwapWhenIdle = o.Policy.LongOnSlow, o.Policy.SwapWhenIdle
	limits.AllGroups, limits.LeastLeft, limits.LoadUnderRuns = o.Policy.AllGroups, o.Policy.LeastLeft, o.Policy.LoadUnderRuns
	limits.NoSlowPeriods = o.Policy.NoSlowPeriods
	c := &Coordinator{
		Options: o, ctx: ctx, cancel: cancel, wakeups: make(chan struct{}, 1),
		batches: map[cf.BatchID]*batchState{}, reads: map[cf.BatchID]*batchRead{}, readSlots: make(chan struct{}, maxReads),
		runs:         map[*cfrollout.Work]context.CancelFunc{},
		unlisted:     map[cf.ItemID]unlistedText{},
		rewards:      newRewards(o.Policy),
		versionTimes: versionTimes{}, history: newHistory(), prepared: newPreparedBatches(o.MemoryBytes / preparedDivisor),
		loggedPauses: map[cf.RequestID]cf.Millis{}, stepChecks: map[cf.BatchID]cf.Millis{}, checksSince: cf.Uptime(), startedAt: cf.Uptime(),
	}
	c.orders = newOrderExecutor(o, c.engineReported)
	limits.Admit = c.admit
	c.planner = cfrollout.New(limits)
	c.planner.SetShareWeights(o.Policy.ShareWeights)
	return c
}

// Route implements StreamRouter.
func (s localStreams) Route(cf.Target) cf.StreamRoute {
	return cf.StreamRoute{Via: s.self, Stream: s.Stream}
}

// Start begins the term: it loads the batches and runs those that are open. gatherTexts returns the
// texts generated under the predecessor. It runs in parallel with the reading of the batches, and
// no item runs before both are done.
func (c *Coordinator) Start(gatherTexts func(context.Context) map[cf.ItemID]cfrollout.Text) {
	c.wg.Go(c.planLoop)
	c.wg.Go(c.watchStalls)
	c.wg.Go(func() { c.adoptTexts(gatherTexts(c.ctx)) })
	if !c.Policy.NoTextCopies {
		c.wg.Go(c.mirrorTexts)
	}
	if !c.Policy.NoTextStore {
		c.wg.Go(c.checkpointTexts)
	}
	c.wg.Go(func() { (&sweeper{c.Store, c.KeepResults, c.Log}).run(c.ctx) })
	c.wg.Go(func() { c.batchWatcher().Run(c.ctx) })
	c.wg.Go(func() { c.versionWatcher().Run(c.ctx) })
	c.wg.Go(func() { c.retirementWatcher().Run(c.ctx) })
}

// Close ends the term and waits for all goroutines that Start has started.
func (c *Coordinator) Close() error {
	c.cancel()
	c.wg.Wait()
	return nil
}

// UnlistedTexts returns the texts generated so far for items that are not listed yet, for the
// successor. It is called after Close.
func (c *Coordinator) UnlistedTexts() map[cf.ItemID]cfrollout.Text {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.planner.Texts()
	for id, t := range c.unlisted {
		out[id] = t.text
	}
	return out
}

// adoptTexts passes the texts generated under the predecessor to the planner.
func (c *Coordinator) adoptTexts(texts map[cf.ItemID]cfrollout.Text) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.AdoptTexts(texts)
	c.takeover.textsGathered(len(texts))
	c.advanceTakeover()
}

// notifyReaders wakes the readers that wait for a change of the listed results. c.mu is held.
func (st *batchState) notifyReaders() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// Wake triggers a planning pass.
func (c *Coordinator) Wake() {
	select {
	case c.wakeups <- struct{}{}:
	default: // a pass is due already
	}
}

func (c *Coordinator) planLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer c.Metrics.StepGroups.Reset()
	defer c.Metrics.WaitingItems.Reset()
	defer c.resetSlowPeriodMetrics()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-timer.C:
		case <-c.wakeups:
			// Runs end in bursts; one pass handles all of them.
			time.Sleep(wakeDelay)
		case <-c.Site.Changed():
		}
		timer.Reset(c.plan())
	}
}

// plan carries out one planning pass. It returns the time until the next pass if no event causes
// one earlier.
func (c *Coordinator) plan() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	config := c.Site.Config()
	if config == nil || !c.takeover.done || !c.Lease.Held() {
		return planInterval
	}
	now := cf.Uptime()
	c.refreshPlanner(config)
	for _, w := range c.planner.Place(now) {
		c.startRun(w)
	}
	c.reportSelections(now)
	c.reportWaiting(now)
	if term, ok := c.Lease.MayOrder(); ok {
		for _, s := range c.planner.Swaps(now) {
			c.startSwap(s, term)
		}
	}
	for _, l := range c.planner.LoadCrashes() {
		c.Log.Warn("weights_suspected", zap.String("target", string(l.Engine)), zap.String("model", string(l.Model)),
			zap.Int64("version", int64(l.Version)), zap.Int("losses", l.Crashes), zap.Int64("rest_ms", int64(l.Backoff)))
	}
	if !c.Policy.KeepSlowRuns {
		for _, w := range c.planner.Moves(now) {
			c.moveRun(w)
		}
		c.reportSlowPeriods(now)
	}
	for _, t := range c.planner.EnginesToQuery(now) {
		c.queryEngine(t)
	}
	c.pace.Store(math.Float64bits(c.planner.TypicalPace()))
	c.scheduleRewards(config, now)
	c.expire(now)
	for _, st := range c.batches {
		if st.pending.Due(st.batch, now) {
			c.writeNextChunk(st)
		}
	}
	c.active.Store(c.planner.HasWork())
	if c.active.Load() || c.rewards.planner.Len() > 0 {
		return planInterval
	}
	return idlePlanInterval
}

// expire gives up the items that have waited for longer than their route allows.
func (c *Coordinator) expire(now cf.Millis) {
	wall := cf.Now()
	for _, w := range c.planner.Expire(wall) {
		c.giveUp(w, "waited too long", now)
	}
	c.expireRewards(now, wall)
}

// LearnedLoads returns the number of engines that may load weights at the same time, as learned so
// far.
func (c *Coordinator) LearnedLoads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.LearnedLoads()
}

// Pace returns the typical time per event at an engine in ms, or zero while it is not known.
func (c *Coordinator) Pace() float64 { return math.Float64frombits(c.pace.Load()) }

// Busy reports whether items wait or run.
func (c *Coordinator) Busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.HasWork() || c.rewards.planner.Len() > 0
}

// refreshPlanner brings the planner up to date with the site.
func (c *Coordinator) refreshPlanner(config *cfsite.Config) {
	reroute := config.Version != c.seenConfig
	c.seenConfig = config.Version
	if changes := c.Site.Changes(); changes != c.seenChanges || reroute {
		c.refreshEngines(config, reroute)
	}
	for _, st := range c.batches {
		switch {
		case st.batch.Ended && !st.planned:
			st.planned = true
			c.planner.AddBatch(st.batch, cfrollout.Terms{}) // the planner expects the next step of a model to be of similar size
		case st.batch.Ended:
		case !st.planned:
			c.openBatch(config, st)
		case reroute:
			terms, ok := termsOf(config, &st.batch.Sub)
			c.planner.SetTerms(st.batch.Sub.ID, terms, ok)
			c.setDeadline(st, terms)
		}
	}
}

// setDeadline sets the time at which a batch's trainer needs the results. c.mu is held.
func (c *Coordinator) setDeadline(st *batchState, terms cfrollout.Terms) {
	if !c.Policy.ListByAge && terms.Due > 0 {
		st.pending.Deadline = terms.Due
	}
}

// termsOf returns the terms that a configuration sets for a batch, or false if it has no route for
// the batch. On a route that is split between services, all items of a batch go to the same
// service, chosen by a hash of the batch's ID. The groups of a batch can then share prompts, and a
// successor chooses the same service.
func termsOf(config *cfsite.Config, sub *cf.Submission) (cfrollout.Terms, bool) {
	route, ok := config.Match(sub.Host, sub.Path)
	if !ok {
		return cfrollout.Terms{}, false
	}
	terms := cfrollout.Terms{
		Service: route.PickService(hashFraction(string(sub.ID))), MaxAttempts: route.MaxAttempts,
		SingleVersion: route.SingleVersion, MaxWait: route.MaxWait, Access: config.Directory.Access(sub.ID.Organisation(), route.Use()),
	}
	if route.ResultsSLO > 0 {
		terms.Span = route.ResultsSLO
		terms.Due = max(cf.Uptime()+sub.Accepted+route.ResultsSLO-cf.Now(), 1) // may be long past
	}
	return terms, true
}

// refreshEngines passes the changes of the engines since the last call to the planner, or all
// engines if reload is set, as after a change of the configuration.
func (c *Coordinator) refreshEngines(config *cfsite.Config, reload bool) {
	models := map[cf.ServiceName][]cf.ModelName{}
	for _, s := range config.Services {
		if len(s.Models) > 0 {
			models[s.Name] = s.Models
		}
		for _, m := range s.Models {
			c.planner.SetVersion(m, c.Site.WeightVersion(m))
			c.versionTimes.record(m, c.planner.LatestVersion(m), cf.Uptime())
		}
	}
	if reload {
		c.seenChanges = 0
	}
	delta := c.Site.TargetsSince(c.seenChanges)
	c.seenChanges = delta.Count
	if delta.Full {
		c.planner.SetEngines(delta.Targets, models)
		return
	}
	c.planner.ChangeEngines(delta.Targets, delta.Removed)
}

// openBatch passes a batch to the planner.
func (c *Coordinator) openBatch(config *cfsite.Config, st *batchState) {
	sub := &st.batch.Sub
	terms, ok := termsOf(config, sub)
	if !ok { // there is no route for it yet, or none any more
		if !st.noRouteLogged {
			st.noRouteLogged = true
			c.Log.Warn("batch_waits_for_route", cflog.Batch(sub.ID), zap.Int64("config_version", int64(config.Version)))
		}
		return
	}
	if !c.mayStart(st) {
		return
	}
	st.planned = true
	c.setDeadline(st, terms)
	for _, it := range sub.Items {
		if c.history.requestedBefore(it.Group) && !c.Policy.AnyGroups {
			st.batch.CarryOver(it.Group)
		}
	}
	ready := c.planner.AddBatch(st.batch, terms)
	c.Log.Info("batch_opened", cflog.Batch(sub.ID), zap.String("model", string(sub.Model)),
		zap.Int64("step", sub.Step), zap.Int64("min_version", int64(sub.MinVersion)), zap.Int("items", len(sub.Items)),
		zap.Int("ready", len(ready)), zap.Int64("config_version", int64(config.Version)), zap.Int64("accepted_ago_ms", int64(cf.Now()-sub.Accepted)),
		zap.Bool("inherited", st.inherited))
	for _, w := range ready {
		c.complete(w, cf.Uptime())
	}
}
