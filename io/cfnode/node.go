// Package cfnode implements one entry instance of the deployment: it serves callers, shares what it
// knows with the other entry instances, and competes for the coordinator's lease.
//
// Only the coordinator watches the store permanently. The other instances poll it for updates (the
// feed). An instance that receives no updates watches the store itself, and takes over the
// coordinator's duty once the lease has expired. The number of store calls therefore grows with the
// number of duties and not with the number of instances, and no instance depends on another one to
// receive a configuration in time.
//
// Usage:
//
//	node := cfnode.New(settings, adapter, registry, log)
//	node.Start()
//	defer node.Close()
package cfnode

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfdrain"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/core/cfrollout"
	"currantford/core/cfsite"
	"currantford/core/cfusage"
	"currantford/io/cfcoord"
	"currantford/io/cfguard"
	"currantford/io/cfingress"
	"currantford/io/cflog"
	"currantford/io/cfmeter"
	"currantford/io/cfpeer"
	"currantford/io/cfrunner"
	"currantford/io/cfwatch"
)

const (
	// watchCheckInterval is how often an instance checks whether it must watch the store itself.
	watchCheckInterval = 100 * time.Millisecond
	// maxWatchRetryDelay is the longest delay between the tries of an instance that is not a
	// fallback watcher; each delay is drawn between half of it and one and a half times it. What
	// the store holds once it is reachable again must be in force within two seconds.
	maxWatchRetryDelay = 1300 * time.Millisecond
)

type (
	// Adapter holds the parts of the platform that the process uses.
	Adapter struct {
		Store   cf.Store
		Targets cf.Targets
		Codec   cfsite.Codec
		Relay   cf.Relay
		// Metering receives usage reports; it is nil if none are sent.
		Metering cf.Metering
		// Scaling receives orders for engines; it is nil if none are given.
		Scaling cf.Scaling
	}

	// Node is one entry instance.
	Node struct {
		settings Settings
		adapter  Adapter
		log      *zap.Logger
		site     *cfsite.Site
		ingress  *cfingress.Ingress
		metrics  *cfcoord.Metrics

		candidate *candidate
		coord     atomic.Pointer[cfcoord.Coordinator]
		watchers  atomic.Pointer[watchers]
		// watchMetrics counts for the watchers of the configuration and the targets.
		watchMetrics *cfwatch.Metrics
		feed         feed
		feedMetrics  feedMetrics
		// lastCurrentAt is when the configuration was last known to be the newest.
		lastCurrentAt atomic.Int64
		peers         *cfpeer.Client
		peerSrv       *cfpeer.Server
		leaving       atomic.Bool
		startedAt     cf.Millis
		// savedTexts holds the texts that this instance had generated when its duty ended.
		savedTexts atomic.Pointer[savedTexts]
		replicas   textReplicas
		relays     relayTable
		linkBudget *cfcoord.LinkBudget
		// runnerHost runs streams for the coordinator. runnerPool distributes this instance's own
		// streams while it is the coordinator.
		runnerHost *cfrunner.Host
		// drain decides what is accepted while the instance stops.
		drain *cfdrain.Drain
		// guard decides which requests may go to targets; quarantine shares what guard learns with
		// the other instances.
		guard      *cfguard.Guard
		quarantine *quarantine
		// usage counts the requests of each organisation; it is nil if usage is not reported.
		// clocks holds the wall clocks of the instances as reported to the coordinator.
		usage *usage
		// autoscale orders engines; it is nil if none are to be ordered.
		autoscale  *autoscale
		clockMu    sync.Mutex
		clocks     cfusage.MedianClock
		runnerPool atomic.Pointer[cfrunner.Pool]

		// origin identifies this process in its answers to feed calls; the update counts in them
		// are valid for this process only.
		origin  uint64
		members *cfmember.Membership

		ctx    context.Context
		cancel context.CancelFunc
		wg     cflog.Group
		// gossip tracks the calls that handlers of other instances' calls have started.
		gossip cflog.Group
		// candidacy is cancelled before ctx at a planned stop.
		candidacy     context.Context
		endCandidacy  context.CancelFunc
		candidateDone chan struct{}
	}

	// watchers is a running pair of watchers.
	watchers struct {
		config, targets *cfwatch.Watcher
		cancel          context.CancelFunc
		wg              cflog.Group
		// coordinated is set if this instance has had the duty since the watchers were started.
		// What the instance knows of engines then decides how losses of its streams are judged, and
		// is kept.
		coordinated bool
	}
)

// New returns a node that has not been started.
func New(s Settings, a Adapter, reg prometheus.Registerer, log *zap.Logger) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	site := cfsite.New(a.Codec)
	if s.Bounds.HeartbeatMs > 0 {
		site.SetHeartbeat(s.Bounds.HeartbeatMs)
	}
	a.Store = cfwatch.MonitorStore(a.Store, site, log)
	n := &Node{
		settings: s, adapter: a, log: log, site: site, metrics: cfcoord.NewMetrics(reg),
		peers: cfpeer.NewClient(), peerSrv: cfpeer.NewServer(), ctx: ctx, cancel: cancel,
		startedAt: cf.Uptime(), origin: rand.Uint64(), members: cfmember.NewMembership(s.Members.HubThreshold), candidateDone: make(chan struct{}), linkBudget: cfcoord.NewLinkBudget(s.Machine.LinkMbps),
		drain: cfdrain.New(), watchMetrics: cfwatch.NewMetrics(reg),
	}
	n.runnerHost = cfrunner.NewHost(a.Targets, n.drain, log)
	n.feedMetrics = newFeedMetrics(reg, n)
	n.quarantine = newQuarantine(n)
	if a.Metering != nil && s.Usage.WindowS > 0 {
		n.usage = newUsage(n, cfmeter.NewMetrics(reg))
		n.peerSrv.Handle(opUsage, decoded(n.usage.serve))
	}
	n.autoscale = newAutoscale(n, reg)
	n.guard = cfguard.New(cfguard.Options{
		Self: s.Entry, Targets: a.Targets, Site: n.site, Share: n.quarantine.share, ReachableElsewhere: n.quarantine.reachableElsewhere, Disabled: s.Policy.NoQuarantine,
		Metrics: cfguard.NewMetrics(reg), Log: log,
	})
	n.quarantine.guard = n.guard
	n.candidacy, n.endCandidacy = context.WithCancel(ctx)
	n.feed.upstream = cfmember.NewUpstream(cfmember.Entry{ID: s.Entry, Domain: s.Domain}, rand.Float64, n.onHubChange)
	timing := cflease.DefaultTiming
	timing.HandoverDelay = s.Bounds.LeaseMs + handoverMargin
	n.candidate = &candidate{
		self: s.Entry, addr: s.Listen.Peers, store: a.Store, log: log, lease: cflease.New(s.Entry, timing),
		lastUpdate: func() cf.Millis { return cf.Millis(n.feed.asOf.Load()) }, onAcquire: n.beginDuty, onLose: n.endDuty,
		watchDelay: n.watchDelay, strongerExists: n.strongerExists, handOverToStronger: n.handOverToStronger, dutyState: n.dutyState,
	}
	n.ingress = cfingress.New(cfingress.Options{
		Store: a.Store, Targets: a.Targets, Site: n.site, Coordinator: coordinatorClient{n}, Members: n, Guard: n.guard, Feasibility: coordinatorClient{n},
		ConfigStatus: n.configStatus, CountRequests: n.usage.count, Drain: n.drain, Rooms: newRooms(s, reg, log), NoAdmission: s.Policy.NoAdmission,
		ValueBytes: s.Store.ValueBytes,
		IgnorePace: s.Policy.IgnorePace, Metrics: cfingress.NewMetrics(reg), Log: log,
	})
	n.peerSrv.Handle(opFeed, decoded(n.serveFeed))
	n.peerSrv.Handle(opResults, atCoordinator(n, n.serveResults))
	n.peerSrv.Handle(opItem, atCoordinator(n, n.serveItem))
	n.peerSrv.Handle(opInfeasible, atCoordinator(n, n.serveInfeasible))
	n.peerSrv.Handle(opPrepare, atCoordinator(n, n.servePrepare))
	n.peerSrv.Handle(opAccepted, atCoordinator(n, n.serveAccepted))
	n.peerSrv.Handle(opChanged, atCoordinator(n, n.serveChanged))
	n.peerSrv.Handle(opTexts, decoded(n.serveTexts))
	n.peerSrv.Handle(opOffered, func(context.Context, cbor.RawMessage) (any, error) {
		n.candidate.offered.Store(true)
		return true, nil
	})
	n.peerSrv.Handle(opHolder, decoded(n.serveHolder))
	n.peerSrv.Handle(opAskHolder, decoded(n.serveAskHolder))
	n.peerSrv.Handle(opAlive, func(context.Context, cbor.RawMessage) (any, error) { return true, nil })
	n.peerSrv.Handle(opMirror, decoded(n.serveMirror))
	n.peerSrv.Handle(cfrunner.OpOrders, decoded(func(ctx context.Context, o cfrunner.Orders) (any, error) { return n.runnerHost.ApplyOrders(ctx, o) }))
	n.peerSrv.Handle(cfrunner.OpCollect, decoded(func(ctx context.Context, c cfrunner.CollectRequest) (any, error) { return n.runnerHost.Collect(ctx, c) }))
	n.peerSrv.Handle(opStore, n.serveStore)
	n.peerSrv.Handle(opStrikes, decoded(n.quarantine.serve))
	n.peerSrv.Handle(opHeld, decoded(n.quarantine.serveHeld))
	n.peerSrv.Handle(opReach, decoded(n.quarantine.serveReach))
	n.peerSrv.Handle(opFree, decoded(n.quarantine.serveRelease))
	a.Relay.SetRelay(n.relay)
	return n
}

// handoverMargin is added to the minimum time between the orders of two holders, for an order that
// may still be in transit.
const handoverMargin cf.Millis = 200

// Ingress returns the caller-facing interface of the node.
func (n *Node) Ingress() cf.Ingress { return n.ingress }

// Role returns the name of the node's current role.
func (n *Node) Role() string {
	if n.coord.Load() != nil {
		return "coordinator"
	}
	return "entry"
}

// PeerHandler returns the handler for calls of other instances.
func (n *Node) PeerHandler() *cfpeer.Server { return n.peerSrv }

// Start starts the node's background work.
func (n *Node) Start() {
	n.wg.Go(func() {
		defer close(n.candidateDone)
		n.candidate.run(n.candidacy)
	})
	n.wg.Go(func() { n.runFeed(n.ctx) })
	n.wg.Go(n.runWatch)
	n.wg.Go(func() { n.quarantine.run(n.ctx) })
}

// Leave removes the instance from the address lists of callers and from the instances that may take
// over the coordinator's duty. Whatever will be complete by until, an Uptime, is still accepted.
func (n *Node) Leave(until cf.Millis) {
	n.leaving.Store(true)
	n.candidate.leaving.Store(true)
	n.ingress.Stop(until)
	n.recordReport(feedCall{Entry: n.self(), Leaving: true}, true)
}

// HandOver gives up the coordinator's duty if the instance has it, and stops competing for it.
func (n *Node) HandOver(ctx context.Context) {
	n.endCandidacy()
	<-n.candidateDone // The store calls of the candidate end with their context.
	n.handOverTo(ctx, n.reachableSuccessor(ctx))
}

const (
	// maxSuccessorProbes is how many instances are probed.
	maxSuccessorProbes = 3
	// successorTimeout bounds each probe; the longest round trip takes 16 ms.
	successorTimeout = 120 * time.Millisecond
)

// reachableSuccessor returns the best successor that answers a probe. An instance that has just
// been cut off still counts as alive, and a lease released to it would stay without a holder for a
// while.
func (n *Node) reachableSuccessor(ctx context.Context) cfmember.Entry {
	var unreachable []cf.EntryID
	for range maxSuccessorProbes {
		e := n.successor(unreachable...)
		if e.ID == "" {
			break
		}
		var ok bool
		call, cancel := context.WithTimeout(ctx, successorTimeout)
		err := n.peers.Call(call, e.PeerAddr, opAlive, struct{}{}, &ok)
		cancel()
		if err == nil {
			return e
		}
		n.log.Info("successor_silent", zap.String("entry", string(e.ID)), cflog.Error(err))
		unreachable = append(unreachable, e.ID)
	}
	return cfmember.Entry{}
}

// handOverTo releases the coordinator's lease to another instance and notifies it.
func (n *Node) handOverTo(ctx context.Context, successor cfmember.Entry) {
	if !n.candidate.release(ctx, successor.ID) || successor.ID == "" {
		return
	}
	var ok bool
	if err := n.peers.Call(ctx, successor.PeerAddr, opOffered, struct{}{}, &ok); err != nil {
		n.log.Info("successor_not_told", cflog.Error(err)) // The successor also finds the lease in the store.
	}
}

// strongerExists reports whether instances with more capacity are available to take a duty.
func (n *Node) strongerExists() bool {
	if n.settings.Policy.DutyAnywhere {
		return false
	}
	return !cfmember.HighCapacity(n.settings.Machine.Capacity(), n.members.Live(n.self(), cf.Uptime()))
}

const (
	// minIdleHold and minBusyHold are how long a holder keeps the duty although another instance
	// has more capacity. With no open work a handover costs nothing; with open work it costs some
	// tenths of a second of each step, and weight orders wait for 3 s. Until minIdleHold has
	// passed, instances may count as alive merely because the previous holder listed them.
	minIdleHold           = cfmember.ReportTimeout + 500
	minBusyHold cf.Millis = 10000
	// strongerHandoverTimeout bounds the release to an instance with more capacity.
	strongerHandoverTimeout = 2 * time.Second
)

// handOverToStronger hands the duty over to an instance with more capacity, if this instance has
// held it long enough.
func (n *Node) handOverToStronger(heldFor cf.Millis) {
	c := n.coord.Load()
	if c == nil || n.settings.Policy.DutyAnywhere || n.leaving.Load() || heldFor < minIdleHold || heldFor < minBusyHold && c.Busy() {
		return
	}
	successor := n.successor()
	if successor.ID == "" || cfmember.HighCapacity(n.settings.Machine.Capacity(), []cfmember.Entry{successor}) {
		return
	}
	n.log.Info("duty_handed_over", zap.String("to", string(successor.ID)), zap.Float64("capacity", n.settings.Machine.Capacity()),
		zap.Float64("capacity_there", successor.Capacity), zap.Int64("held_ms", int64(heldFor)))
	ctx, cancel := context.WithTimeout(n.ctx, strongerHandoverTimeout)
	defer cancel()
	n.handOverTo(ctx, successor)
}

// ShutdownRuns waits until the streams that this instance runs for the coordinator have ended, and
// hands the rest back shortly before ctx ends. No more are started.
func (n *Node) ShutdownRuns(ctx context.Context) { n.runnerHost.Shutdown(ctx) }

// ShutdownPeers refuses further calls of other instances and waits until those in progress are
// answered, or ctx ends.
func (n *Node) ShutdownPeers(ctx context.Context) { n.peerSrv.Shutdown(ctx) }

// Close stops the node and waits for everything that it has started.
func (n *Node) Close() error {
	n.cancel()
	n.wg.Wait()
	n.endDuty()
	if w := n.watchers.Load(); w != nil {
		w.close()
	}
	_ = n.runnerHost.Close()
	_ = n.guard.Close()
	_ = n.peers.Close()
	err := n.peerSrv.Close()
	n.gossip.Wait()
	return err
}

// self returns this instance's entry as reported to the coordinator.
func (n *Node) self() cfmember.Entry {
	return cfmember.Entry{
		ID: n.settings.Entry, Addr: n.settings.Listen.Callers, PeerAddr: n.settings.Listen.Peers, Domain: n.settings.Domain, Ready: n.ingress.Ready(),
		Age: cf.Uptime() - n.startedAt, Capacity: n.settings.Machine.Capacity(),
	}
}

// Live implements cfingress.Members. The coordinator uses the instances' own reports, any other
// instance the list that the coordinator last sent.
func (n *Node) Live() []cfmember.Entry {
	self, ready := n.self(), n.ingress.Ready()
	live := n.members.Live(self, cf.Uptime())
	at, listed := slices.BinarySearchFunc(live, self.ID, func(e cfmember.Entry, id cf.EntryID) int { return strings.Compare(string(e.ID), string(id)) })
	switch {
	case listed == ready:
		return live
	case ready:
		return slices.Insert(slices.Clone(live), at, self)
	default:
		return slices.Delete(slices.Clone(live), at, at+1)
	}
}

// successor returns the instance that should take over the duty, except for the excluded ones.
func (n *Node) successor(excluded ...cf.EntryID) cfmember.Entry {
	candidates := slices.DeleteFunc(n.members.LiveWithAges(cf.Uptime()), func(e cfmember.Entry) bool { return slices.Contains(excluded, e.ID) })
	e, _ := cfmember.Successor(candidates, n.settings.Entry)
	return e
}

func (n *Node) beginDuty(previous cflease.Holder, inherited json.RawMessage) {
	members := n.members.StartCoordinating(cf.Uptime())
	pool := n.newPool()
	n.runnerPool.Store(pool)
	c := cfcoord.New(cfcoord.Options{
		Self: n.settings.Entry, Store: n.adapter.Store, Targets: n.adapter.Targets, StreamRouter: pool, Site: n.site, Codec: n.adapter.Codec, Guard: n.guard,
		Lease: n.candidate, KeepResults: cf.Millis(n.settings.Bounds.KeepResultsS * 1000), MirrorPeers: mirrorPeers{n}, MemoryBytes: n.settings.batchMemory(), Metrics: n.metrics, Log: n.log,
		PageBudget: n.linkBudget, MaxLoads: previous.MaxLoads, HasPredecessor: previous.Entry != "", Policy: n.settings.Policy.Policy,
	})
	n.coord.Store(c)
	n.announce()
	n.usage.begin(entryIDs(members), inherited)
	n.autoscale.begin(c, previous.Entry != "")
	c.Start(func(ctx context.Context) map[cf.ItemID]cfrollout.Text { return n.gatherTexts(ctx, previous, members) })
}

// dutyState returns what a successor inherits from the coordinator here: the learned limit of
// concurrent weight loads, the address of the instance that holds copies of its texts, and the
// usage that was reported to it.
func (n *Node) dutyState() (maxLoads int, replicaAddr string, successorState json.RawMessage) {
	if c := n.coord.Load(); c != nil {
		maxLoads = c.LearnedLoads()
	}
	n.replicas.mu.Lock()
	defer n.replicas.mu.Unlock()
	return maxLoads, n.replicas.ownReplicaAddr, n.usage.snapshot()
}

// newPool returns the pool for a duty that begins.
func (n *Node) newPool() *cfrunner.Pool {
	term, _ := n.candidate.MayOrder()
	o := cfrunner.Options{
		Self: n.self(), Term: term, Local: n.adapter.Targets, Peers: n.peers, Members: n.Live, Log: n.log,
		Pace: func() float64 {
			if c := n.coord.Load(); c != nil {
				return c.Pace()
			}
			return 0
		},
	}
	if n.settings.Policy.NoRunners {
		o.Members = func() []cfmember.Entry { return nil }
	}
	return cfrunner.NewPool(o)
}

func (n *Node) endDuty() {
	n.usage.end()
	n.autoscale.end()
	if c := n.coord.Swap(nil); c != nil {
		pool := n.runnerPool.Swap(nil)
		pool.LimitStopWait()
		defer func() { _ = pool.Close() }()
		n.members.StopCoordinating(n.self(), cf.Uptime())
		_ = c.Close()
		n.savedTexts.Store(&savedTexts{pool.Term, c.UnlistedTexts()})
	}
}

// runWatch watches the store while this instance has the duty or receives no updates from the
// coordinator.
func (n *Node) runWatch() {
	ticker := time.NewTicker(watchCheckInterval)
	defer ticker.Stop()
	for {
		now := cf.Uptime()
		w := n.watchers.Load()
		// The coordinator serves the other instances from its watches.
		needed := n.watchDue(now)
		switch {
		case needed && w == nil:
			n.logWatch("store_watched", now)
			n.watchers.Store(n.startWatchers())
		case !needed && w != nil:
			n.logWatch("store_left", now)
			n.watchers.Store(nil)
			w.close()
			if !w.coordinated {
				n.site.DropUnrelayed()
			}
		case w != nil && n.coord.Load() != nil:
			w.coordinated = true
		}
		n.updateConfigStatus(now)
		n.quarantine.tick(now)
		for _, t := range n.site.DropLapsed(now) {
			n.log.Info("target_changed", zap.String("target", string(t.ID)), zap.Bool("gone", true), zap.String("reason", "lapsed"))
		}
		var changed <-chan struct{}
		if !n.guard.Synced() {
			changed = n.site.Changed() // The held requests must be known by the time the first configuration is in force.
		}
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

// logWatch logs why this instance starts or stops watching the store itself.
func (n *Node) logWatch(msg string, now cf.Millis) {
	state := n.status(now)
	n.log.Info(msg, zap.Bool("coordinator", n.coord.Load() != nil), zap.Bool("scout", state.FallbackWatcher), zap.Bool("behind_hub", state.BehindHub), zap.Bool("holder_named", state.HolderNamed),
		ageField("word_age_ms", state.UpdatedAt, now), ageField("unsure_age_ms", state.UncertainAt, now), ageField("away_age_ms", state.OutageConfirmedAt, now),
		zap.Int64("config_age_ms", int64(n.configStatus().Age)))
}

// ageField returns the time since at as a log field, or no field if at is zero.
func ageField(name string, at, now cf.Millis) zap.Field {
	if at == 0 {
		return zap.Skip()
	}
	return zap.Int64(name, int64(now-at))
}

func (n *Node) startWatchers() *watchers {
	ctx, cancel := context.WithCancel(n.ctx)
	w := &watchers{cancel: cancel}
	w.config, w.targets = cfwatch.NewSiteWatchers(n.adapter.Store, n.site, n.adapter.Codec, n.watchMetrics, n.log)
	if n.coord.Load() == nil && !n.isFallbackWatcher() {
		w.config.MaxRetryDelay, w.targets.MaxRetryDelay = maxWatchRetryDelay, maxWatchRetryDelay
	}
	w.wg.Go(func() { w.config.Run(ctx) })
	w.wg.Go(func() { w.targets.Run(ctx) })
	return w
}

func (w *watchers) close() {
	w.cancel()
	w.wg.Wait()
}
