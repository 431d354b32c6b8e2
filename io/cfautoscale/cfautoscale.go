// Package cfautoscale orders engines from the platform. Only the instance that holds the
// coordinator's lease does so: its Controller is created for a lease term, acts under this term
// only, and is closed at its end. Package cfscale decides how many engines are wanted and when to
// store and order them; this package executes the decisions.
//
// Usage:
//
//	c := cfautoscale.New(options)
//	c.Start()
//	defer c.Close()
package cfautoscale

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfscale"
	"currantford/io/cflog"
)

const (
	// stateName is the name of the object that stores the wanted engines.
	stateName = "engines"
	// tick is the interval between reconciliations. Two of them and an order take less time than an
	// engine needs to come into service.
	tick = 500 * time.Millisecond
	// orderTimeout limits the duration of an order call. It is less than the time between the
	// orders of two lease holders. An order without a response is sent again unchanged.
	orderTimeout = 1500 * time.Millisecond
	// warnEvery is the minimum time between two equal warnings, since the controller reconciles
	// twice a second while the store is unavailable.
	warnEvery cf.Millis = 10_000
)

// Log messages of warnings.
const (
	warnLoadFailed      = "engines_wanted_not_read"
	warnSaveUnconfirmed = "engines_wanted_unconfirmed"
)

type (
	// Options configures a Controller.
	Options struct {
		Lease cf.LeaseToken
		// HasPredecessor reports whether there was a Controller of an earlier term.
		HasPredecessor bool
		Store          cf.Store
		Scaling        cf.Scaling
		// MayAct reports whether the term allows an order now. NoteOrder is called when an order
		// begins and when it ends.
		MayAct    func() bool
		NoteOrder func()
		// Demand returns the demand of a service's open steps, and false while it is unknown.
		Demand func(cf.ServiceName) (cfscale.Demand, bool)
		// Policies returns the policies of the services whose engines may be ordered.
		Policies func() map[cf.ServiceName]cfscale.Policy
		Metrics  *Metrics
		Log      *zap.Logger
	}

	// Controller orders engines. Close stops it and waits for the call in progress.
	Controller struct {
		Options
		ctx    context.Context
		cancel context.CancelFunc
		wg     cflog.Group

		// The fields below are used only by the goroutine of loop.
		reconciler *cfscale.Reconciler
		deciders   map[cf.ServiceName]*cfscale.Decider
		// rationales holds the reason for the latest change of each service's orders.
		rationales map[cf.ServiceName]cfscale.Rationale
		// warnedAt is when each warning was last logged, without warnings whose cause has ended.
		warnedAt map[string]cf.Millis
	}

	// Metrics holds the controller's metrics.
	Metrics struct {
		Orders  *prometheus.CounterVec
		Wanted  prometheus.Gauge
		Serving prometheus.Gauge
		Needed  prometheus.Gauge
	}
)

// NewMetrics registers the controller's metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	}
	m := &Metrics{
		Orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_engine_orders_total", Help: "Orders of engines by cause and outcome."}, []string{"cause", "outcome"}),
		Wanted:  gauge("currantford_engines_wanted", "Engines that the holder wants in service."),
		Serving: gauge("currantford_engines_serving", "Engines in service, as the holder sees them."),
		Needed:  gauge("currantford_engines_needed", "Engines that the open steps need to be whole in time."),
	}
	reg.MustRegister(m.Orders, m.Wanted, m.Serving, m.Needed)
	return m
}

// reset sets the gauges to zero, since only the lease holder reports them.
func (m *Metrics) reset() {
	m.Wanted.Set(0)
	m.Serving.Set(0)
	m.Needed.Set(0)
}

// New returns a Controller that is not started.
func New(o Options) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	return &Controller{
		Options: o, ctx: ctx, cancel: cancel, reconciler: cfscale.NewReconciler(o.Lease.Fence, cf.Uptime()), deciders: map[cf.ServiceName]*cfscale.Decider{},
		rationales: map[cf.ServiceName]cfscale.Rationale{}, warnedAt: map[string]cf.Millis{},
	}
}

// Start starts the controller.
func (c *Controller) Start() { c.wg.Go(c.loop) }

// Close stops the controller and waits for it to end.
func (c *Controller) Close() error {
	c.cancel()
	c.wg.Wait()
	return nil
}

func (c *Controller) loop() {
	defer c.Metrics.reset()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		c.reconcile()
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile decides what is wanted and takes the due actions.
func (c *Controller) reconcile() {
	policies := c.Policies()
	if len(policies) == 0 {
		return // nothing may be ordered, so no state is needed
	}
	if stored, known := c.reconciler.Stored(); known {
		c.apply(c.decide(policies, stored), policies)
		return
	}
	if c.load() {
		stored, _ := c.reconciler.Stored()
		c.apply(c.decide(policies, stored), policies)
	}
}

// decide returns the wanted state.
func (c *Controller) decide(policies map[cf.ServiceName]cfscale.Policy, stored cfscale.StoredState) cfscale.StoredState {
	now := cf.Uptime()
	var wanted cfscale.StoredState
	var target, serving, need float64
	for service, policy := range policies {
		decider := c.deciders[service]
		if decider == nil {
			decider = cfscale.NewDecider(policy, now, c.HasPredecessor)
			c.deciders[service] = decider
		}
		decider.SetPolicy(policy)
		demand, known := c.Demand(service)
		if !known {
			continue
		}
		orders, rationale := decider.Decide(now, demand, stored)
		if rationale.Cause != "" || c.rationales[service].Cause == "" {
			c.rationales[service] = rationale
		}
		for _, pool := range decider.PoolsToReorder(now, demand, stored) {
			c.Log.Info("engines_missing", zap.String("service", string(pool.Service)), zap.String("failure_domain", string(pool.Domain)),
				zap.Bool("spot", pool.Spot), zap.Int("in_service", demand.Engines[pool]))
			c.reconciler.RepeatOrder(pool)
		}
		wanted.Orders = append(wanted.Orders, orders...)
		wanted.Preexisting = append(wanted.Preexisting, decider.Preexisting()...)
		target, serving, need = target+float64(rationale.Desired), serving+float64(rationale.Serving), need+rationale.Need
	}
	c.Metrics.Wanted.Set(target)
	c.Metrics.Serving.Set(serving)
	c.Metrics.Needed.Set(need)
	return wanted
}

// apply takes actions until none is due.
func (c *Controller) apply(wanted cfscale.StoredState, policies map[cf.ServiceName]cfscale.Policy) {
	allowed := func(s cf.ServiceName) bool { _, ok := policies[s]; return ok }
	for c.ctx.Err() == nil && c.MayAct() {
		action := c.reconciler.Next(cf.Uptime(), wanted, allowed)
		switch action.Kind {
		case cfscale.ActionWrite:
			if !c.save(action) {
				return
			}
		case cfscale.ActionOrder:
			if !c.sendOrder(action.Order) {
				return
			}
		case cfscale.ActionRead: // the next reconciliation reads it, since the wanted state depends on it
			return
		default:
			return
		}
	}
}

// load reads the stored state.
func (c *Controller) load() bool {
	r, err := c.Store.Get(c.ctx, cf.KindScaling, stateName)
	var stored cfscale.StoredState
	if err == nil {
		if err = json.Unmarshal(r.Spec, &stored); err != nil {
			err = eris.Wrapf(cf.ErrInvalid, "%s: %v", stateName, err)
		}
	}
	switch {
	case errors.Is(err, cf.ErrNotFound):
		c.reconciler.LoadedEmpty()
	case err != nil:
		c.warn(warnLoadFailed, err)
		return false
	default:
		c.reconciler.Loaded(stored, r.Rev)
		c.Log.Info("engines_wanted_read", zap.Int64("term", int64(c.Lease.Fence)), zap.Int64("revision", int64(r.Rev)), zap.Any("orders", stored.Orders))
	}
	delete(c.warnedAt, warnLoadFailed)
	return true
}

// warn logs a warning when its cause begins, and every warnEvery while the cause persists.
func (c *Controller) warn(event string, err error) {
	now := cf.Uptime()
	if last, warned := c.warnedAt[event]; warned && now-last < warnEvery {
		return
	}
	c.warnedAt[event] = now
	c.Log.Warn(event, cflog.Error(err))
}

// save writes the wanted state to the store.
func (c *Controller) save(action cfscale.Action) bool {
	var r cf.Record
	var err error
	if action.Rev == 0 {
		r, err = c.Store.Create(c.ctx, cf.KindScaling, stateName, action.State)
	} else {
		r, err = c.Store.Replace(c.ctx, cf.KindScaling, stateName, action.Rev, action.State)
	}
	if err != nil || r.Rev == 0 {
		c.reconciler.WriteInDoubt()
		c.warn(warnSaveUnconfirmed, err)
		return false
	}
	delete(c.warnedAt, warnSaveUnconfirmed)
	c.reconciler.Written(action.State, r.Rev)
	c.Log.Info("engines_wanted_kept", zap.Int64("term", int64(c.Lease.Fence)), zap.Int64("revision", int64(r.Rev)), zap.Any("orders", action.State.Orders))
	return true
}

// sendOrder sends an order to the platform. It returns false if no further order should be sent
// now.
func (c *Controller) sendOrder(o cf.EngineOrder) bool {
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	c.NoteOrder()
	started := time.Now()
	err := c.Scaling.OrderEngines(ctx, c.Lease, o)
	c.NoteOrder()
	outcome := "taken"
	switch {
	case errors.Is(err, cf.ErrFenced):
		outcome = "fenced"
	case errors.Is(err, cf.ErrConflict):
		outcome = "none_available"
	case errors.Is(err, cf.ErrUnavailable):
		outcome = "no_answer"
	case err != nil:
		outcome = "refused"
	}
	rationale := c.rationales[o.Service]
	cause := rationale.Cause
	if cause == "" {
		cause = cfscale.CauseInherited
	}
	c.Metrics.Orders.WithLabelValues(string(cause), outcome).Inc()
	c.Log.Info("engines_ordered", zap.String("service", string(o.Service)), zap.String("failure_domain", string(o.Domain)), zap.Bool("spot", o.Spot),
		zap.Int("count", o.Count), zap.Int64("term", int64(c.Lease.Fence)), zap.String("outcome", outcome), zap.String("cause", string(cause)),
		zap.Float64("need", rationale.Need), zap.Float64("need_recent", rationale.RecentNeed), zap.Float64("need_shown", rationale.ObservedNeed), zap.Float64("worst_step", rationale.WorstStep), zap.Int("target", rationale.Desired), zap.Int("in_service", rationale.Serving),
		zap.Int("booting", rationale.Booting), zap.Float64("earns", rationale.MarginalValue), zap.Float64("costs", rationale.MarginalCost),
		zap.Int64("took_ms", time.Since(started).Milliseconds()), cflog.Error(err))
	now, decider := cf.Uptime(), c.deciders[o.Service]
	if decider != nil && errors.Is(err, cf.ErrConflict) {
		decider.Refused(o.EnginePool, now)
	} else if decider != nil {
		decider.OrderSent(o.EnginePool, now)
	}
	switch {
	case err == nil:
		c.reconciler.OrderAccepted(o, now)
		return true
	case errors.Is(err, cf.ErrUnavailable):
		c.reconciler.OrderInDoubt(o, now)
	default:
		c.reconciler.OrderRejected(o, now)
	}
	// After a refused order, orders for other pools may still succeed. After an order without a
	// response, further orders would wait for their responses in vain.
	return !errors.Is(err, cf.ErrUnavailable) && !errors.Is(err, cf.ErrFenced)
}
