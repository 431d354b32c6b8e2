// Package cfnode is one process of the deployment: it serves callers, shares
// what it knows with the other entry instances, and competes for the
// coordinator's duty.
//
// Only the coordinator watches the store all the time. The others ask it for
// news (the feed); an instance that hears nothing from it watches the store
// itself, and takes the duty over when the lease has not been renewed. So the
// store's calls grow with the number of duties, not of instances, and no
// instance depends on another to learn a configuration in time.
//
// Usage:
//
//	node := cfnode.New(settings, adapter, registry, log)
//	err := node.Run(ctx) // returns after a planned stop
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
	// watchTick is how often an instance checks whether it must watch the store
	// itself.
	watchTick = 100 * time.Millisecond
	// watchLeft is the longest pause between the tries of an instance that is no scout,
	// drawn from half of it to half more: what a store that is back shows is to be in
	// force within two seconds.
	watchLeft = 1300 * time.Millisecond
)

type (
	// Adapter is what the process uses of its platform.
	Adapter struct {
		Store   cf.Store
		Targets cf.Targets
		Codec   cfsite.Codec
		Relay   cf.Relay
		// Metering takes reports of use; nil where none are sent.
		Metering cf.Metering
		// Scaling takes orders of engines; nil where none are given.
		Scaling cf.Scaling
	}

	// Node is one entry instance. Close waits for all it started.
	Node struct {
		settings Settings
		adapter  Adapter
		log      *zap.Logger
		site     *cfsite.Site
		ingress  *cfingress.Ingress
		metrics  *cfcoord.Metrics

		candidate *candidate
		coord     atomic.Pointer[cfcoord.Coordinator]
		watching  atomic.Pointer[watching]
		// watchMetrics are those of all watchers of the site.
		watchMetrics *cfwatch.Metrics
		feed         feed
		feedMetrics  feedMetrics
		// known is when the configuration was last seen to be the newest.
		known   atomic.Int64
		peers   *cfpeer.Client
		peerSrv *cfpeer.Server
		leaving atomic.Bool
		started cf.Millis
		// texts are what this instance had generated when its duty ended.
		texts   atomic.Pointer[keptTexts]
		mirrors mirrors
		relays  relays
		pages   *cfcoord.LinkBudget
		// host holds streams for the coordinator, pool this instance's own runs
		// while it is the coordinator.
		host *cfrunner.Host
		// guard decides which requests may go to targets; quarantine shares what it
		// learns.
		guard      *cfguard.Guard
		quarantine *quarantine
		// usage counts what callers use, nil where that is not asked for; clocks are
		// those of the instances, as the holder hears them.
		usage *usage
		// autoscale orders engines, nil where that is not asked for.
		autoscale *autoscale
		clockMu   sync.Mutex
		clocks    cfusage.MedianClock
		pool      atomic.Pointer[cfrunner.Pool]

		// origin identifies the counts of this process's answers to feed calls.
		origin  uint64
		members *cfmember.Membership

		ctx    context.Context
		cancel context.CancelFunc
		wg     cflog.Group
		// telling are calls that handlers of other instances' calls have started.
		telling cflog.Group
		// candidacy ends before the rest at a planned stop.
		candidacy     context.Context
		endCandidacy  context.CancelFunc
		candidateDone chan struct{}
	}

	// watching is a running pair of watchers.
	watching struct {
		config, targets *cfwatch.Watcher
		cancel          context.CancelFunc
		wg              cflog.Group
		// led: this instance had the duty meanwhile. What it knows of engines then decides
		// how losses of its runs are judged, and is kept.
		led bool
	}
)

// New returns a node that has not started.
func New(s Settings, a Adapter, reg prometheus.Registerer, log *zap.Logger) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings: s, adapter: a, log: log, site: cfsite.New(a.Codec), metrics: cfcoord.NewMetrics(reg),
		peers: cfpeer.NewClient(), peerSrv: cfpeer.NewServer(), ctx: ctx, cancel: cancel,
		started: cf.Uptime(), origin: rand.Uint64(), members: cfmember.NewMembership(s.Members.HubsFrom), candidateDone: make(chan struct{}), pages: cfcoord.NewLinkBudget(s.Machine.LinkMbps),
		host: cfrunner.NewHost(a.Targets, log), watchMetrics: cfwatch.NewMetrics(reg),
	}
	n.feedMetrics = newFeedMetrics(reg, n)
	n.quarantine = newQuarantine(n)
	if a.Metering != nil && s.Usage.WindowS > 0 {
		n.usage = newUsage(n, cfmeter.NewMetrics(reg))
		n.peerSrv.Handle(opUsage, decoded(n.usage.serve))
	}
	n.autoscale = newAutoscale(n, reg)
	n.guard = cfguard.New(cfguard.Options{
		Self: s.Entry, Targets: a.Targets, Site: n.site, Share: n.quarantine.share, ReachableElsewhere: n.quarantine.witness, Disabled: s.Policy.NoQuarantine,
		Metrics: cfguard.NewMetrics(reg), Log: log,
	})
	n.quarantine.guard = n.guard
	n.candidacy, n.endCandidacy = context.WithCancel(ctx)
	n.feed.upstream = cfmember.NewUpstream(cfmember.Entry{ID: s.Entry, Domain: s.Domain}, rand.Float64, n.hubChosen)
	bounds := cflease.DefaultTiming
	bounds.HandoverDelay = s.Bounds.LeaseMs + handoverSlack
	n.candidate = &candidate{
		self: s.Entry, addr: s.Listen.Peers, store: a.Store, log: log, lease: cflease.New(s.Entry, bounds),
		word: func() cf.Millis { return cf.Millis(n.feed.heard.Load()) }, acquired: n.beginDuty, lost: n.endDuty,
		patience: n.leaves, outranked: n.outranked, better: n.betterHolder, state: n.dutyState,
	}
	n.ingress = cfingress.New(cfingress.Options{
		Store: a.Store, Targets: a.Targets, Site: n.site, Coordinator: reader{n}, Members: n, Guard: n.guard, Feasibility: n.refusals(),
		ConfigStatus: n.belief, CountRequests: n.usage.count, Rooms: newRooms(s, reg, log), NoAdmission: s.Policy.NoAdmission,
		ValueBytes: s.Store.ValueBytes, MemoryBytes: s.Memory.LimitMB << 20,
		IgnorePace: s.Policy.IgnorePace, Metrics: cfingress.NewMetrics(reg), Log: log,
	})
	n.peerSrv.Handle(opFeed, decoded(n.serveFeed))
	n.peerSrv.Handle(opResults, atCoordinator(n, n.serveResults))
	n.peerSrv.Handle(opItem, atCoordinator(n, n.serveItem))
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
	n.peerSrv.Handle(cfrunner.OpOrders, decoded(func(ctx context.Context, o cfrunner.Orders) (any, error) { return n.host.ApplyOrders(ctx, o) }))
	n.peerSrv.Handle(cfrunner.OpCollect, decoded(func(ctx context.Context, c cfrunner.CollectRequest) (any, error) { return n.host.Collect(ctx, c) }))
	n.peerSrv.Handle(opStore, func(ctx context.Context, body cbor.RawMessage) (any, error) { return a.Relay.HandleRelayed(ctx, body) })
	n.peerSrv.Handle(opStrikes, decoded(n.quarantine.serve))
	n.peerSrv.Handle(opHeld, decoded(n.quarantine.serveHeld))
	n.peerSrv.Handle(opReach, decoded(n.quarantine.serveReach))
	n.peerSrv.Handle(opFree, decoded(n.quarantine.serveFree))
	a.Relay.SetRelay(n.relay)
	return n
}

// handoverSlack is added to the span between two holders' orders, for what an
// order may be under way.
const handoverSlack cf.Millis = 200

// Ingress returns what the node offers to callers.
func (n *Node) Ingress() cf.Ingress { return n.ingress }

// Role names the duty that the node has.
func (n *Node) Role() string {
	if n.coord.Load() != nil {
		return "coordinator"
	}
	return "entry"
}

// PeerHandler returns the handler for the other instances.
func (n *Node) PeerHandler() *cfpeer.Server { return n.peerSrv }

// Start begins to work.
func (n *Node) Start() {
	n.wg.Go(func() {
		defer close(n.candidateDone)
		n.candidate.run(n.candidacy)
	})
	n.wg.Go(func() { n.runFeed(n.ctx) })
	n.wg.Go(n.runWatch)
	n.wg.Go(func() { n.quarantine.run(n.ctx) })
}

// Leave takes the instance out of the callers' address lists, and out of those
// that take the coordinator's duty; requests are still served.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.candidate.leaving.Store(true)
	n.ingress.Stop()
	n.hear(feedCall{Entry: n.self(), Leaving: true}, true)
}

// HandOver gives up the coordinator's duty, if the instance has it, and does not
// take it any more.
func (n *Node) HandOver(ctx context.Context) {
	n.endCandidacy()
	<-n.candidateDone // its calls to the store end with their context
	n.handTo(ctx, n.reachedSuccessor(ctx))
}

const (
	// successorTries is how many instances are asked whether they are there.
	successorTries = 3
	// successorTime bounds each question; the longest round trip takes 16 ms.
	successorTime = 120 * time.Millisecond
)

// reachedSuccessor returns the instance that should take the duty over, of those that
// answer: one that was cut off a moment ago still counts as alive, and the duty, named for
// it, would be nobody's for a while.
func (n *Node) reachedSuccessor(ctx context.Context) cfmember.Entry {
	var silent []cf.EntryID
	for range successorTries {
		e := n.successor(silent...)
		if e.ID == "" {
			break
		}
		var ok bool
		call, cancel := context.WithTimeout(ctx, successorTime)
		err := n.peers.Call(call, e.PeerAddr, opAlive, struct{}{}, &ok)
		cancel()
		if err == nil {
			return e
		}
		n.log.Info("successor_silent", zap.String("entry", string(e.ID)), cflog.Error(err))
		silent = append(silent, e.ID)
	}
	return cfmember.Entry{}
}

// handTo releases the coordinator's duty to another instance and tells it.
func (n *Node) handTo(ctx context.Context, successor cfmember.Entry) {
	if !n.candidate.release(ctx, successor.ID) || successor.ID == "" {
		return
	}
	var ok bool
	if err := n.peers.Call(ctx, successor.PeerAddr, opOffered, struct{}{}, &ok); err != nil {
		n.log.Info("successor_not_told", cflog.Error(err)) // it looks at the store by itself
	}
}

// outranked says whether instances with more capacity are there to take a duty.
func (n *Node) outranked() bool {
	if n.settings.Policy.DutyAnywhere {
		return false
	}
	return !cfmember.HighCapacity(n.settings.Machine.Capacity(), n.members.Live(n.self(), cf.Uptime()))
}

const (
	// keepIdle and keepBusy are how long a holder keeps a duty for which
	// another has more capacity: with nothing open a change costs nothing,
	// else some tenths of a second of each step, and the weights wait 3 s.
	// Before the first of them has passed, instances count as alive by the
	// word of the holder before alone.
	keepIdle           = cfmember.ReportTimeout + 500
	keepBusy cf.Millis = 10000
	// handoverTimeout bounds the release to a better holder.
	handoverTimeout = 2 * time.Second
)

// betterHolder hands the duty to an instance with more capacity, if it has had it
// for a while.
func (n *Node) betterHolder(held cf.Millis) {
	c := n.coord.Load()
	if c == nil || n.settings.Policy.DutyAnywhere || n.leaving.Load() || held < keepIdle || held < keepBusy && c.Busy() {
		return
	}
	successor := n.successor()
	if successor.ID == "" || cfmember.HighCapacity(n.settings.Machine.Capacity(), []cfmember.Entry{successor}) {
		return
	}
	n.log.Info("duty_handed_over", zap.String("to", string(successor.ID)), zap.Float64("capacity", n.settings.Machine.Capacity()),
		zap.Float64("capacity_there", successor.Capacity), zap.Int64("held_ms", int64(held)))
	ctx, cancel := context.WithTimeout(n.ctx, handoverTimeout)
	defer cancel()
	n.handTo(ctx, successor)
}

// Close stops and waits for all that was started.
func (n *Node) Close() error {
	n.cancel()
	n.wg.Wait()
	n.endDuty()
	if w := n.watching.Load(); w != nil {
		w.close()
	}
	_ = n.host.Close()
	_ = n.guard.Close()
	_ = n.peers.Close()
	err := n.peerSrv.Close()
	n.telling.Wait()
	return err
}

// self describes this instance to the coordinator.
func (n *Node) self() cfmember.Entry {
	return cfmember.Entry{
		ID: n.settings.Entry, Addr: n.settings.Listen.Callers, PeerAddr: n.settings.Listen.Peers, Domain: n.settings.Domain, Ready: n.ingress.Ready(),
		Age: cf.Uptime() - n.started, Capacity: n.settings.Machine.Capacity(),
	}
}

// Live implements cfingress.Members: as coordinator from the instances' own
// reports, else as the coordinator last told.
func (n *Node) Live() []cfmember.Entry {
	self, ready := n.self(), n.ingress.Ready()
	live := n.members.Live(self, cf.Uptime())
	at, known := slices.BinarySearchFunc(live, self.ID, func(e cfmember.Entry, id cf.EntryID) int { return strings.Compare(string(e.ID), string(id)) })
	switch {
	case known == ready:
		return live
	case ready:
		return slices.Insert(slices.Clone(live), at, self)
	default:
		return slices.Delete(slices.Clone(live), at, at+1)
	}
}

// successor returns the instance that should take the duty over, other than those
// left out.
func (n *Node) successor(without ...cf.EntryID) cfmember.Entry {
	fresh := slices.DeleteFunc(n.members.LiveWithAges(cf.Uptime()), func(e cfmember.Entry) bool { return slices.Contains(without, e.ID) })
	e, _ := cfmember.Successor(fresh, n.settings.Entry)
	return e
}

func (n *Node) beginDuty(before cflease.Holder, left json.RawMessage) {
	members := n.members.StartCoordinating(cf.Uptime())
	pool := n.newPool()
	n.pool.Store(pool)
	c := cfcoord.New(cfcoord.Options{
		Self: n.settings.Entry, Store: n.adapter.Store, Targets: n.adapter.Targets, StreamRouter: pool, Site: n.site, Codec: n.adapter.Codec, Guard: n.guard,
		Lease: n.candidate, KeepResults: cf.Millis(n.settings.Bounds.KeepResultsS * 1000), MirrorPeers: neighbour{n}, Metrics: n.metrics, Log: n.log,
		PageBudget: n.pages, MaxLoads: before.MaxLoads, HasPredecessor: before.Entry != "", Policy: n.settings.Policy.Policy,
	})
	n.coord.Store(c)
	n.announce()
	n.usage.begin(entryIDs(members), left)
	n.autoscale.begin(c, before.Entry != "")
	c.Start(func(ctx context.Context) map[cf.ItemID]cfrollout.Text { return n.gatherTexts(ctx, before, members) })
}

// dutyState returns how many engines may load weights at once, as the coordinator here
// has learned, the address of the instance that has copies of its texts, and what it has
// heard of use.
func (n *Node) dutyState() (loads int, copies string, left json.RawMessage) {
	if c := n.coord.Load(); c != nil {
		loads = c.LearnedLoads()
	}
	n.mirrors.mu.Lock()
	defer n.mirrors.mu.Unlock()
	return loads, n.mirrors.at, n.usage.base()
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
		pool := n.pool.Swap(nil)
		pool.LimitStopWait()
		defer func() { _ = pool.Close() }()
		n.members.StopCoordinating(n.self(), cf.Uptime())
		_ = c.Close()
		n.texts.Store(&keptTexts{pool.Term, c.UnlistedTexts()})
	}
}

// runWatch watches the store while this instance has the duty or hears
// nothing from the coordinator.
func (n *Node) runWatch() {
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	for {
		now := cf.Uptime()
		w := n.watching.Load()
		// The instance that has the duty serves the others by its watches.
		need := n.alone(now)
		switch {
		case need && w == nil:
			n.logWatch("store_watched", now)
			n.watching.Store(n.watch())
		case !need && w != nil:
			n.logWatch("store_left", now)
			n.watching.Store(nil)
			w.close()
			if !w.led {
				n.site.DropUnrelayed()
			}
		case w != nil && n.coord.Load() != nil:
			w.led = true
		}
		n.watchBelief(now)
		n.quarantine.tick(now)
		for _, t := range n.site.DropLapsed(now) {
			n.log.Info("target_changed", zap.String("target", string(t.ID)), zap.Bool("gone", true), zap.String("reason", "lapsed"))
		}
		var changed <-chan struct{}
		if !n.guard.Synced() {
			changed = n.site.Changed() // by its first configuration it must know what is held
		}
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

// logWatch tells why this instance begins or ends to watch the store itself.
func (n *Node) logWatch(msg string, now cf.Millis) {
	w := n.lastWord(now)
	n.log.Info(msg, zap.Bool("coordinator", n.coord.Load() != nil), zap.Bool("scout", w.FallbackWatcher), zap.Bool("behind_hub", w.BehindHub), zap.Bool("holder_named", w.HolderNamed),
		ageField("word_age_ms", w.UpdatedAt, now), ageField("unsure_age_ms", w.UncertainAt, now), ageField("away_age_ms", w.OutageConfirmedAt, now),
		zap.Int64("config_age_ms", int64(n.belief().Age)))
}

// ageField is how long ago something was, left out if it never was.
func ageField(name string, at, now cf.Millis) zap.Field {
	if at == 0 {
		return zap.Skip()
	}
	return zap.Int64(name, int64(now-at))
}

func (n *Node) watch() *watching {
	ctx, cancel := context.WithCancel(n.ctx)
	w := &watching{cancel: cancel}
	w.config, w.targets = cfwatch.NewSiteWatchers(n.adapter.Store, n.site, n.adapter.Codec, n.watchMetrics, n.log)
	if n.coord.Load() == nil && !n.scout() {
		w.config.MaxRetryDelay, w.targets.MaxRetryDelay = watchLeft, watchLeft
	}
	w.wg.Go(func() { w.config.Run(ctx) })
	w.wg.Go(func() { w.targets.Run(ctx) })
	return w
}

func (w *watching) close() {
	w.cancel()
	w.wg.Wait()
}
