// Package cfautoscale is the duty of ordering engines from the platform. One instance at a
// time has it, with the coordinator's lease: it is given a term, acts under it alone, and
// ends with it. How many engines are wanted, and when that is written and ordered, is
// cfscale's decision; this package carries it out.
//
// Usage:
//
//	d := cfautoscale.New(options)
//	d.Start()
//	defer d.Close()
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
	// wantedName is the object that holds what is wanted.
	wantedName = "engines"
	// tick is how often the duty looks: two looks and an order take less than the time in
	// which an engine is in service.
	tick = 500 * time.Millisecond
	// orderTimeout bounds an order. It is less than the time between two holders' orders;
	// one without an answer is given again, the same.
	orderTimeout = 1500 * time.Millisecond
	// warnEvery is the least time between two equal warnings: the duty looks twice a second
	// while the store is unavailable.
	warnEvery cf.Millis = 10_000
)

// Warnings.
const (
	warnNotRead     = "engines_wanted_not_read"
	warnUnconfirmed = "engines_wanted_unconfirmed"
)

type (
	// Options are what the duty works with.
	Options struct {
		Lease cf.LeaseToken
		// HasPredecessor says that another had the duty before.
		HasPredecessor bool
		Store          cf.Store
		Scaling        cf.Scaling
		// MayAct says whether the term allows an order now; Ordered notes that one is
		// given now, or has just ended.
		MayAct    func() bool
		NoteOrder func()
		// Demand returns what a service's open steps ask for, false while that is not
		// known.
		Demand func(cf.ServiceName) (cfscale.Demand, bool)
		// Policies are those of the services whose engines may be ordered.
		Policies func() map[cf.ServiceName]cfscale.Policy
		Metrics  *Metrics
		Log      *zap.Logger
	}

	// Controller orders engines. Close ends it and waits for the call under way.
	Controller struct {
		Options
		ctx    context.Context
		cancel context.CancelFunc
		wg     cflog.Group

		// What follows is the loop's alone.
		keeper   *cfscale.Reconciler
		deciders map[cf.ServiceName]*cfscale.Decider
		// why is what last changed the orders of a service.
		why map[cf.ServiceName]cfscale.Rationale
		// warned is when each warning was last logged, without those whose cause has ended.
		warned map[string]cf.Millis
	}

	// Metrics are the duty's counters.
	Metrics struct {
		Orders  *prometheus.CounterVec
		Wanted  prometheus.Gauge
		Serving prometheus.Gauge
		Needed  prometheus.Gauge
	}
)

// NewMetrics registers the duty's metrics.
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

// clear sets the gauges to zero: only the holder reports them.
func (m *Metrics) clear() {
	m.Wanted.Set(0)
	m.Serving.Set(0)
	m.Needed.Set(0)
}

// New returns a duty that has not started.
func New(o Options) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	return &Controller{
		Options: o, ctx: ctx, cancel: cancel, keeper: cfscale.NewReconciler(o.Lease.Fence, cf.Uptime()), deciders: map[cf.ServiceName]*cfscale.Decider{},
		why: map[cf.ServiceName]cfscale.Rationale{}, warned: map[string]cf.Millis{},
	}
}

// Start begins the duty.
func (d *Controller) Start() { d.wg.Go(d.loop) }

// Close ends the duty.
func (d *Controller) Close() error {
	d.cancel()
	d.wg.Wait()
	return nil
}

func (d *Controller) loop() {
	defer d.Metrics.clear()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		d.look()
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// look decides, and does what is due.
func (d *Controller) look() {
	terms := d.Policies()
	if len(terms) == 0 {
		return // nothing may be ordered, and nothing is read
	}
	if kept, known := d.keeper.Stored(); known {
		d.act(d.decide(terms, kept), terms)
		return
	}
	if d.read() {
		kept, _ := d.keeper.Stored()
		d.act(d.decide(terms, kept), terms)
	}
}

// decide returns what is wanted.
func (d *Controller) decide(terms map[cf.ServiceName]cfscale.Policy, kept cfscale.StoredState) cfscale.StoredState {
	now := cf.Uptime()
	var wanted cfscale.StoredState
	var target, serving, need float64
	for service, t := range terms {
		decider := d.deciders[service]
		if decider == nil {
			decider = cfscale.NewDecider(t, now, d.HasPredecessor)
			d.deciders[service] = decider
		}
		decider.SetPolicy(t)
		demand, known := d.Demand(service)
		if !known {
			continue
		}
		orders, why := decider.Decide(now, demand, kept)
		if why.Cause != "" || d.why[service].Cause == "" {
			d.why[service] = why
		}
		for _, pool := range decider.PoolsToReorder(now, demand, kept) {
			d.Log.Info("engines_missing", zap.String("service", string(pool.Service)), zap.String("failure_domain", string(pool.Domain)),
				zap.Bool("spot", pool.Spot), zap.Int("in_service", demand.Engines[pool]))
			d.keeper.RepeatOrder(pool)
		}
		wanted.Orders = append(wanted.Orders, orders...)
		wanted.Preexisting = append(wanted.Preexisting, decider.Preexisting()...)
		target, serving, need = target+float64(why.Desired), serving+float64(why.Serving), need+why.Need
	}
	d.Metrics.Wanted.Set(target)
	d.Metrics.Serving.Set(serving)
	d.Metrics.Needed.Set(need)
	return wanted
}

// act does what is due until nothing is.
func (d *Controller) act(wanted cfscale.StoredState, terms map[cf.ServiceName]cfscale.Policy) {
	may := func(s cf.ServiceName) bool { _, ok := terms[s]; return ok }
	for d.ctx.Err() == nil && d.MayAct() {
		step := d.keeper.Next(cf.Uptime(), wanted, may)
		switch step.Kind {
		case cfscale.ActionWrite:
			if !d.keep(step) {
				return
			}
		case cfscale.ActionOrder:
			if !d.give(step.Order) {
				return
			}
		case cfscale.ActionRead: // at the next look: what is wanted follows from it
			return
		default:
			return
		}
	}
}

// read reads what lies in the store.
func (d *Controller) read() bool {
	r, err := d.Store.Get(d.ctx, cf.KindScaling, wantedName)
	var kept cfscale.StoredState
	if err == nil {
		if err = json.Unmarshal(r.Spec, &kept); err != nil {
			err = eris.Wrapf(cf.ErrInvalid, "%s: %v", wantedName, err)
		}
	}
	switch {
	case errors.Is(err, cf.ErrNotFound):
		d.keeper.LoadedEmpty()
	case err != nil:
		d.warn(warnNotRead, err)
		return false
	default:
		d.keeper.Loaded(kept, r.Rev)
		d.Log.Info("engines_wanted_read", zap.Int64("term", int64(d.Lease.Fence)), zap.Int64("revision", int64(r.Rev)), zap.Any("orders", kept.Orders))
	}
	delete(d.warned, warnNotRead)
	return true
}

// warn logs a warning when its cause begins, and each warnEvery while it lasts.
func (d *Controller) warn(event string, err error) {
	now := cf.Uptime()
	if last, warned := d.warned[event]; warned && now-last < warnEvery {
		return
	}
	d.warned[event] = now
	d.Log.Warn(event, cflog.Error(err))
}

// keep writes what is wanted.
func (d *Controller) keep(step cfscale.Action) bool {
	var r cf.Record
	var err error
	if step.Rev == 0 {
		r, err = d.Store.Create(d.ctx, cf.KindScaling, wantedName, step.State)
	} else {
		r, err = d.Store.Replace(d.ctx, cf.KindScaling, wantedName, step.Rev, step.State)
	}
	if err != nil || r.Rev == 0 {
		d.keeper.WriteInDoubt()
		d.warn(warnUnconfirmed, err)
		return false
	}
	delete(d.warned, warnUnconfirmed)
	d.keeper.Written(step.State, r.Rev)
	d.Log.Info("engines_wanted_kept", zap.Int64("term", int64(d.Lease.Fence)), zap.Int64("revision", int64(r.Rev)), zap.Any("orders", step.State.Orders))
	return true
}

// give gives an order.
func (d *Controller) give(o cf.EngineOrder) bool {
	ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
	defer cancel()
	d.NoteOrder()
	began := time.Now()
	err := d.Scaling.OrderEngines(ctx, d.Lease, o)
	d.NoteOrder()
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
	why := d.why[o.Service]
	cause := why.Cause
	if cause == "" {
		cause = cfscale.CauseInherited
	}
	d.Metrics.Orders.WithLabelValues(string(cause), outcome).Inc()
	d.Log.Info("engines_ordered", zap.String("service", string(o.Service)), zap.String("failure_domain", string(o.Domain)), zap.Bool("spot", o.Spot),
		zap.Int("count", o.Count), zap.Int64("term", int64(d.Lease.Fence)), zap.String("outcome", outcome), zap.String("cause", string(cause)),
		zap.Float64("need", why.Need), zap.Float64("need_recent", why.RecentNeed), zap.Float64("need_shown", why.ObservedNeed), zap.Float64("worst_step", why.WorstStep), zap.Int("target", why.Desired), zap.Int("in_service", why.Serving),
		zap.Int("booting", why.Booting), zap.Float64("earns", why.MarginalValue), zap.Float64("costs", why.MarginalCost),
		zap.Int64("took_ms", time.Since(began).Milliseconds()), cflog.Error(err))
	now, decider := cf.Uptime(), d.deciders[o.Service]
	if decider != nil && errors.Is(err, cf.ErrConflict) {
		decider.Refused(o.EnginePool, now)
	} else if decider != nil {
		decider.OrderSent(o.EnginePool, now)
	}
	switch {
	case err == nil:
		d.keeper.OrderAccepted(o, now)
		return true
	case errors.Is(err, cf.ErrUnavailable):
		d.keeper.OrderInDoubt(o, now)
	default:
		d.keeper.OrderRejected(o, now)
	}
	// Others may be taken where one was refused; without an answer they would wait for
	// theirs in vain.
	return !errors.Is(err, cf.ErrUnavailable) && !errors.Is(err, cf.ErrFenced)
}
