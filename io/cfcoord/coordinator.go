// Package cfcoord is the coordinator's duty: it runs the items of accepted
// batches on the model engines, lists their results in the store, brings the
// engines to the weights that trainers name, and answers reads of batches.
// One entry instance at a time has the duty, by a lease in the store.
//
// It holds nothing that must last: batches, their ends and their results lie
// in the store, and a successor rebuilds itself from them. What is in memory
// alone is work under way, which is run again.
//
// The decisions are cfrollout's (placement, swaps), cfbatch's (positions,
// chunks) and cflease's; this package carries them out.
//
// Usage:
//
//	c := cfcoord.New(options)
//	c.Start(gather)
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
	// planInterval is how often the planner looks again without an event: for
	// engines whose penalty has passed and chunks that have come of age.
	planInterval = 50 * time.Millisecond
	// idlePlanInterval is the same while no work is open.
	idlePlanInterval = 250 * time.Millisecond
	// wakeDelay is how long a look waits for more events after the first.
	wakeDelay = 2 * time.Millisecond
	// maxReads is how many batches are read from the store at once at a
	// takeover: reads take 4 ms and more each, and half a megabyte of memory.
	maxReads = 4
	// readRetryDelay is the pause after the store refused a read of a batch.
	readRetryDelay = 200 * time.Millisecond
)

type (
	// Lease is what the coordinator must know of its lease.
	Lease interface {
		// Valid says whether this instance may answer as the coordinator.
		Valid() bool
		// Held says whether it is the coordinator as far as it knows: enough
		// for work that two may do without harm.
		Held() bool
		// MayOrder says whether it may give orders, and with which number.
		MayOrder() (cf.Revision, bool)
		// Ordered notes that an order is given now, or has just ended.
		Ordered()
	}

	// StreamRouter runs items at targets, here or at other instances.
	StreamRouter interface {
		// Route returns the way of a stream that is about to begin.
		Route(t cf.Target) cf.StreamRoute
	}

	// localStreams are streams that this instance holds itself.
	localStreams struct {
		cf.Targets
		self cf.EntryID
	}

	// Options are what a coordinator works with.
	Options struct {
		Self    cf.EntryID
		Store   cf.Store
		Targets cf.Targets
		// StreamRouter holds the streams of runs; those of Targets if it is nil.
		StreamRouter StreamRouter
		Site         *cfsite.Site
		Codec        cfsite.Codec
		Lease        Lease
		// KeepResults is how long after its acceptance an ended batch can
		// still be read.
		KeepResults cf.Millis
		// Guard decides which requests may be sent, and learns how they ended.
		Guard *cfguard.Guard
		// MirrorPeers takes copies of the texts under way.
		MirrorPeers MirrorPeers
		// MaxLoads is how many engines may load weights at once, as the coordinator
		// before has learned; zero if it has not.
		MaxLoads int
		// HasPredecessor says that another coordinator may have been there before.
		HasPredecessor bool
		// PageBudget is what the link may carry of pages of results; nil is no bound.
		PageBudget *LinkBudget
		Metrics    *Metrics
		Log        *zap.Logger
		Policy     Policy
	}

	// Coordinator runs batches while its instance has the duty. It is safe
	// for concurrent use. Close stops it and waits for all it started.
	Coordinator struct {
		Options
		ctx     context.Context
		cancel  context.CancelFunc
		wg      cflog.Group
		wakeups chan struct{}
		// readSlots bounds the batches that are read at once.
		readSlots chan struct{}

		mu sync.Mutex
		// takeover is what is still to come from before this duty.
		takeover takeover
		planner  *cfrollout.Planner
		batches  map[cf.BatchID]*batchState
		// reads are the batches that are being read.
		reads   map[cf.BatchID]*batchRead
		runs    map[*cfrollout.Work]context.CancelFunc
		rewards rewards
		// unlisted are the texts that are complete and not listed yet, scored
		// or not.
		unlisted     map[cf.ItemID]unlistedText
		orders       *orderExecutor
		versionTimes versionTimes
		// seenChanges is the count of the site's changes that the planner knows.
		seenChanges int64
		seenConfig  cfsite.ConfigVersion
		prepared    preparedBatches
		history     history
		// pace is how long an event takes at a usual engine, as bits of a float.
		pace atomic.Uint64
		// loggedPauses are the pauses that were logged, by their ends; the map is bounded.
		loggedPauses map[cf.RequestID]cf.Millis
		// stepChecks is when instances asked last whether a step may be accepted, began when the
		// duty began, or when that was forgotten.
		stepChecks  map[cf.BatchID]cf.Millis
		checksSince cf.Millis
		// startedAt is when the duty began, waitingAt when it was looked for items that wait.
		startedAt, waitingCheckedAt cf.Millis
		// slowPeriodsKnown says that the planner goes by the slow periods that it observed.
		slowPeriodsKnown bool
		// active says that items run or wait.
		active atomic.Bool
	}

	// unlistedText is a complete text of a batch.
	unlistedText struct {
		batch cf.BatchID
		text  cfrollout.Text
	}

	// batchRead is a batch that is being read from the store, with what has
	// become of it meanwhile.
	batchRead struct {
		ended, removed                 bool
		inherited, predecessorMayWrite bool
	}

	// batchState is a batch with what waits to be listed.
	batchState struct {
		batch   *cfbatch.Batch
		pending cfbatch.PendingResults
		changed chan struct{} // closed when a result was listed
		planned bool          // the planner has it
		// noRouteLogged: it was logged that its route is not there.
		noRouteLogged bool
		// startGate is what it waits for before the planner has it.
		startGate cfbatch.StartGate
		// inherited: it was there before this duty. shared: a coordinator before may have a
		// chunk of it under way.
		inherited, predecessorMayWrite bool
		loadedAt                       cf.Millis
		rereadAt                       cf.Millis // when its chunks were last read again
		// measured counts the listed results whose staleness was measured,
		// stalest is the most of them, served that the trainer has enough.
		measured     int
		maxStaleness cf.WeightVersion
		served       bool
		// selection is what was logged last of its groups.
		selection selectionLog
	}
)

// New returns a coordinator that has not started.
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
		versionTimes: versionTimes{}, history: newHistory(), prepared: newPreparedBatches(),
		loggedPauses: map[cf.RequestID]cf.Millis{}, stepChecks: map[cf.BatchID]cf.Millis{}, checksSince: cf.Uptime(), startedAt: cf.Uptime(),
	}
	c.orders = newOrderExecutor(o, c.engineReported)
	limits.Admit = c.admit
	c.planner = cfrollout.New(limits)
	c.planner.SetShareWeights(o.Policy.ShareWeights)
	return c
}

// Route implements Streams.
func (s localStreams) Route(cf.Target) cf.StreamRoute {
	return cf.StreamRoute{Via: s.self, Stream: s.Stream}
}

// Start begins the duty: it loads the batches and runs what is open. gather
// returns the texts of the coordinator before; it runs beside the reading of the
// batches, and nothing is run before both are done.
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

// Close ends the duty and waits for all it started.
func (c *Coordinator) Close() error {
	c.cancel()
	c.wg.Wait()
	return nil
}

// UnlistedTexts returns what was generated of items that are not listed yet, for the
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

// adoptTexts takes the texts of the coordinator before.
func (c *Coordinator) adoptTexts(texts map[cf.ItemID]cfrollout.Text) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.AdoptTexts(texts)
	c.takeover.textsGathered(len(texts))
	c.advanceTakeover()
}

// notifyReaders lets readers see a change of the listed results. c.mu is held.
func (st *batchState) notifyReaders() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// Wake makes the planner look now.
func (c *Coordinator) Wake() {
	select {
	case c.wakeups <- struct{}{}:
	default: // a look is due already
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
			// Runs end in bursts; one look does for all of them.
			time.Sleep(wakeDelay)
		case <-c.Site.Changed():
		}
		timer.Reset(c.plan())
	}
}

// plan carries out what the planner decides now; it returns when to look
// again if nothing happens before.
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

// expire gives up what has waited for longer than its route allows.
func (c *Coordinator) expire(now cf.Millis) {
	wall := cf.Now()
	for _, w := range c.planner.Expire(wall) {
		c.giveUp(w, "waited too long", now)
	}
	c.expireRewards(now, wall)
}

// LearnedLoads returns how many engines may load weights at once, as it has learned.
func (c *Coordinator) LearnedLoads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.LearnedLoads()
}

// Pace returns how long an event takes at a usual engine, in ms, zero while that is not
// known.
func (c *Coordinator) Pace() float64 { return math.Float64frombits(c.pace.Load()) }

// Busy says whether items wait or run.
func (c *Coordinator) Busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.HasWork() || c.rewards.planner.Len() > 0
}

// refreshPlanner brings the planner up to what the site shows.
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
			c.planner.AddBatch(st.batch, cfrollout.Terms{}) // it shows what steps are like
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

// setDeadline notes when a batch's trainer needs its results. c.mu is held.
func (c *Coordinator) setDeadline(st *batchState, terms cfrollout.Terms) {
	if !c.Policy.ListByAge && terms.Due > 0 {
		st.pending.Deadline = terms.Due
	}
}

// termsOf returns what a configuration says of a batch, false if it has no
// route for it. Of a split route a batch goes to one service as a whole, by its
// id, so that its groups share prompts and a successor decides the same.
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
		terms.Due = max(cf.Uptime()+sub.Accepted+route.ResultsSLO-cf.Now(), 1) // it may be long past
	}
	return terms, true
}

// refreshEngines tells the planner what has changed of the engines, or, where the
// configuration has, of all.
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

// openBatch hands a batch to the planner.
func (c *Coordinator) openBatch(config *cfsite.Config, st *batchState) {
	sub := &st.batch.Sub
	terms, ok := termsOf(config, sub)
	if !ok { // its route is not there, now or yet
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
