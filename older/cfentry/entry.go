// Package cfentry is the entry instance: the process callers, trainers and
// operators reach. It answers GET /v1/entries so that callers can pick an
// entry themselves (there is no balancer); routes live completions to
// engines and streams the answers back; sends plain-service calls, a
// non-idempotent one at most once; and serves trainers' claims on rollout
// pools, forwarding to the pool's leading entry over the peer link.
//
// An entry keeps in memory only what it can rebuild: engines' load reports,
// the instance list, the samples of the pools it leads. Leases, claim
// cursors and weight versions live in the platform's object API.
//
// Usage:
//
//	e, err := cfentry.New(site, "entry-1", log)
//	go e.Run(ctx)          // leases, load polls, instance list
//	err = e.Serve(listener) // until Shutdown
//	e.Shutdown(ctx)         // leaving, drain, stop: cuts off no request
package cfentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/io/cfpeer"
	"currantford/older/cfconfig"
	"currantford/older/cfplatform"
	"currantford/older/cfpool"
	"currantford/older/cfroute"
)

// Instance roles and states in the instance list.
const (
	RoleEntry     = "entry"
	RoleEngine    = "engine"
	StateLive     = "live"
	StateLeaving  = "leaving"
	retryAfterSec = "1"
)

type (
	// Entry is one entry instance. Shutdown stops it gracefully and waits.
	Entry struct {
		site   cfconfig.Site
		self   cfconfig.Entry
		store  *cfplatform.Client
		router cf.Router
		log    *zap.Logger

		peerSrv  *cfpeer.Server
		peers    *cfpeer.Client
		pools    map[cf.PoolName]*cfpool.Pool
		engines  *engineSet
		services *serviceSet
		http     *http.Server
		metrics  metrics

		mu        sync.Mutex
		instances map[string]Instance
		leaving   bool

		wg     sync.WaitGroup
		cancel context.CancelFunc
	}

	// Instance is one row of the instance list, as written by the
	// instance itself and read by entries.
	Instance struct {
		ID        string           `json:"id"`
		Role      string           `json:"role"`
		Addr      string           `json:"addr"`
		Domain    cf.FailureDomain `json:"failure_domain"`
		State     string           `json:"state"`
		Heartbeat cf.Millis        `json:"heartbeat_ms"`
	}

	metrics struct {
		reg       *prometheus.Registry
		requests  *prometheus.CounterVec
		decisions *prometheus.CounterVec
	}
)

// New returns an entry for the settings row id.
func New(site cfconfig.Site, id cf.EntryID, log *zap.Logger) (*Entry, error) {
	self, err := site.Entry(id)
	if err != nil {
		return nil, err
	}
	router, err := cfroute.New(site.Routing)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		site:      site,
		self:      self,
		store:     cfplatform.NewClient(site.PlatformURL()),
		router:    router,
		log:       log,
		peerSrv:   cfpeer.NewServer(),
		peers:     cfpeer.NewClient(),
		pools:     map[cf.PoolName]*cfpool.Pool{},
		instances: map[string]Instance{},
		metrics:   newMetrics(),
	}
	e.engines = newEngineSet(site, e)
	e.services = newServiceSet(site, e)
	for _, p := range site.Pools {
		e.pools[p.Name] = cfpool.New(p, cfpool.Options{
			Store: e.store, Backend: e.engines, Entry: id, Addr: self.Addr, Lease: site.Lease, Log: log,
		})
	}
	e.registerPeerOps()
	return e, nil
}

func newMetrics() metrics {
	m := metrics{reg: prometheus.NewRegistry()}
	m.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "currantford_entry_requests_total", Help: "Caller requests by route and outcome.",
	}, []string{"route", "outcome"})
	m.decisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "currantford_entry_decisions_total", Help: "Routing decisions by policy and reason.",
	}, []string{"policy", "reason"})
	m.reg.MustRegister(m.requests, m.decisions, collectors.NewGoCollector())
	return m
}

// Handler returns the entry's HTTP API: iris for callers, net/http for the
// peer link's WebSocket upgrade.
func (e *Entry) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/v1/entries", e.handleEntries)
	app.Post("/v1/completions", e.handleCompletions)
	app.Post("/v1/services/{service}/{path:path}", e.handleService)
	app.Get("/v1/pools/{pool}/claims/{claim}/samples", e.handleFetch)
	app.Post("/v1/pools/{pool}/claims/{claim}/ack", e.handleAck)
	app.Post("/v1/pools/{pool}/weights", e.handleWeights)
	app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(e.metrics.reg, promhttp.HandlerOpts{})))
	if err := app.Build(); err != nil {
		return nil, eris.Wrap(err, "build entry routes")
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/peer", e.peerSrv)
	mux.Handle("/", app)
	return mux, nil
}

// Run starts the background work: the instance heartbeat, the instance
// list watch, engine load polls and the pools' leases. It returns at once.
func (e *Entry) Run(ctx context.Context) {
	ctx, e.cancel = context.WithCancel(ctx)
	e.goLoop(ctx, e.site.Lease.Renew, e.heartbeat)
	e.goLoop(ctx, e.site.LoadPoll, e.engines.poll)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.watchInstances(ctx)
	}()
	for _, p := range e.pools {
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			p.Run(ctx)
		}()
	}
}

func (e *Entry) goLoop(ctx context.Context, every cf.Millis, f func(context.Context)) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		t := time.NewTicker(every.Duration())
		defer t.Stop()
		for {
			f(ctx)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}()
}

// Serve answers on l until Shutdown.
func (e *Entry) Serve(l net.Listener) error {
	h, err := e.Handler()
	if err != nil {
		return err
	}
	e.http = &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	if err := e.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "entry serve")
	}
	return nil
}

// Shutdown is the planned stop. The entry first shows itself as leaving in
// the instance list and in GET /v1/entries, keeps answering for the drain
// span so that callers holding the old list are still served, then stops
// taking connections and waits for every request in flight. Cutting a
// request off would break "every planned stop is a graceful shutdown".
func (e *Entry) Shutdown(ctx context.Context) error {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.heartbeat(ctx)
	select {
	case <-time.After(e.site.Drain.Duration()):
	case <-ctx.Done():
	}
	var err error
	if e.http != nil {
		err = e.http.Shutdown(ctx)
	}
	if e.cancel != nil {
		e.cancel()
	}
	e.wg.Wait()
	for _, p := range e.pools {
		_ = p.Close()
	}
	_ = e.peerSrv.Close()
	_ = e.peers.Close()
	return err
}

// heartbeat writes this entry's row of the instance list. In production the
// instance list is the platform's own; the stand-in learns of us this way.
func (e *Entry) heartbeat(ctx context.Context) {
	e.mu.Lock()
	state := StateLive
	if e.leaving {
		state = StateLeaving
	}
	e.mu.Unlock()
	in := Instance{ID: string(e.self.ID), Role: RoleEntry, Addr: e.self.Addr, Domain: e.self.Domain, State: state, Heartbeat: cf.Now()}
	if _, err := cfplatform.PutJSON(ctx, e.store, cfplatform.KindInstance, in.ID, in, cf.AnyVersion); err != nil {
		e.log.Warn("heartbeat failed", zap.Error(err))
	}
}

// watchInstances follows the instance list with one waiting watch.
func (e *Entry) watchInstances(ctx context.Context) {
	var rev int64
	for ctx.Err() == nil {
		objs, next, err := e.store.Watch(ctx, cfplatform.KindInstance, rev, 10*time.Second)
		if err != nil {
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
			continue
		}
		rev = next
		e.mu.Lock()
		for _, o := range objs {
			var in Instance
			if cfplatform.DecodeValue(o, &in) == nil {
				e.instances[in.ID] = in
			}
		}
		e.mu.Unlock()
	}
}

// instance returns the last known row of an instance.
func (e *Entry) instance(id string) (Instance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	in, ok := e.instances[id]
	return in, ok
}

// liveEntries lists entries whose heartbeat is fresh and that are not
// leaving, sorted by id. This entry is listed unless it is leaving.
func (e *Entry) liveEntries() []Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Instance
	fresh := cf.Now() - 3*e.site.Lease.Renew - e.site.Platform.InstanceLag
	for _, in := range e.instances {
		if in.Role == RoleEntry && in.State == StateLive && in.Heartbeat >= fresh && in.ID != string(e.self.ID) {
			out = append(out, in)
		}
	}
	if !e.leaving {
		out = append(out, Instance{ID: string(e.self.ID), Role: RoleEntry, Addr: e.self.Addr, Domain: e.self.Domain, State: StateLive, Heartbeat: cf.Now()})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (e *Entry) handleEntries(ctx iris.Context) {
	type row struct {
		ID     string           `json:"id"`
		URL    string           `json:"url"`
		Domain cf.FailureDomain `json:"failure_domain"`
	}
	var rows []row
	for _, in := range e.liveEntries() {
		rows = append(rows, row{ID: in.ID, URL: "http://" + in.Addr, Domain: in.Domain})
	}
	_ = ctx.JSON(struct {
		Entries []row     `json:"entries"`
		TTL     cf.Millis `json:"ttl_ms"`
	}{rows, e.site.EntriesTTL})
}

// decided logs one routing decision as one JSON line and counts it.
func (e *Entry) decided(d cf.Decision, kind string) {
	e.metrics.decisions.WithLabelValues(d.Policy, d.Reason).Inc()
	e.log.Info("decision", zap.String("kind", kind), zap.String("request_id", string(d.Request)),
		zap.Any("candidates", d.Candidates), zap.String("choice", string(d.Choice)), zap.String("reason", d.Reason),
		zap.String("policy", d.Policy))
}

// errorBody is the body of every refusal. Ran is "no" only when the
// request certainly did not run, "unknown" when it may have, "partly" for
// a cut answer.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

// refuse answers with an error body that says whether the request ran.
func refuse(ctx iris.Context, status int, code, ran string, err error) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		ctx.Header("Retry-After", retryAfterSec)
	}
	ctx.Header("X-Currantford-Ran", ran)
	ctx.StatusCode(status)
	var body errorBody
	body.Error.Message, body.Error.Code, body.Error.Ran = err.Error(), code, ran
	_ = ctx.JSON(body)
}
