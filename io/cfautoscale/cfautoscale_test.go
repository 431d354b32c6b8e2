package cfautoscale

import (
	"context"
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	cf "currantford"
	"currantford/core/cfrollout"
	"currantford/core/cfscale"
	"currantford/testbed/cfstandin"
)

// unavailableStore fails writes if failWrites is set, and reads if failReads is set.
type unavailableStore struct {
	*cfstandin.MemStore
	failWrites, failReads bool
}

func (s *unavailableStore) Get(ctx context.Context, kind, name string) (cf.Record, error) {
	if s.failReads {
		return cf.Record{}, cf.ErrUnavailable
	}
	return s.MemStore.Get(ctx, kind, name)
}

func (s *unavailableStore) Create(ctx context.Context, kind, name string, spec any) (cf.Record, error) {
	if s.failWrites {
		return cf.Record{}, cf.ErrUnavailable
	}
	return s.MemStore.Create(ctx, kind, name, spec)
}

// recordingScaling accepts and records all orders.
type recordingScaling struct{ orders []cf.EngineOrder }

func (a *recordingScaling) OrderEngines(_ context.Context, _ cf.LeaseToken, o cf.EngineOrder) error {
	a.orders = append(a.orders, o)
	return nil
}

func newController(store cf.Store, scaling cf.Scaling, mayAct *bool, enabled *bool) *Controller {
	demand := cfscale.Demand{Demand: cfrollout.Demand{Service: "s", Slots: 6, Pace: 50}, Engines: map[cf.EnginePool]int{{Service: "s", Domain: "a"}: 2}}
	demand.OpenSteps = []cfscale.OpenStep{{StepDemand: cfrollout.StepDemand{Groups: 12, Events: 5400, Remaining: 5400, Longest: 40}, Due: 7500}}
	return New(Options{
		Lease: cf.LeaseToken{Holder: "e", Fence: 3}, Store: store, Scaling: scaling, MayAct: func() bool { return *mayAct }, NoteOrder: func() {},
		Demand: func(cf.ServiceName) (cfscale.Demand, bool) { return demand, true },
		Policies: func() map[cf.ServiceName]cfscale.Policy {
			if !*enabled {
				return nil
			}
			return map[cf.ServiceName]cfscale.Policy{"s": {Service: "s", Max: 32, BootTime: 4000, SpotPrice: 0.2, EnginePrice: 0.0055, GroupValue: 2}}
		},
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
	})
}

// TestOrdersAreSentOnlyOnceStored guards against orders that a successor cannot know of because
// they are not stored, orders before the end of the handover, and orders for a service whose
// engines may not be ordered.
func TestOrdersAreSentOnlyOnceStored(t *testing.T) {
	store, scaling, mayAct, enabled := &unavailableStore{MemStore: cfstandin.NewMemStore(), failWrites: true}, &recordingScaling{}, false, false
	controller := newController(store, scaling, &mayAct, &enabled)
	for _, allow := range []func(){func() {}, func() { enabled = true }, func() { mayAct = true }} {
		allow()
		controller.reconcile()
		controller.reconcile()
		controller.reconcile()
		if len(scaling.orders) > 0 {
			t.Fatalf("ordered %v, want no orders", scaling.orders)
		}
	}
	store.failWrites = false
	controller.reconcile()
	controller.reconcile()
	stored, _ := controller.reconciler.Stored()
	if len(scaling.orders) == 0 || !slices.Equal(stored.Orders, scaling.orders) {
		t.Errorf("ordered %v, stored %v; want the same orders", scaling.orders, stored.Orders)
	}
}

// TestCloseResetsGauges guards against an instance that lost the lease and still reports engine
// gauges in addition to the new holder.
func TestCloseResetsGauges(t *testing.T) {
	mayAct, enabled := true, true
	controller := newController(cfstandin.NewMemStore(), &recordingScaling{}, &mayAct, &enabled)
	reg := prometheus.NewRegistry()
	controller.Metrics = NewMetrics(reg)
	total := func() (sum float64) {
		families, err := reg.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range families {
			for _, m := range f.GetMetric() {
				sum += m.GetGauge().GetValue()
			}
		}
		return sum
	}
	controller.reconcile()
	if total() == 0 {
		t.Fatal("the lease holder reports no engines")
	}
	controller.Start()
	if err := controller.Close(); err != nil {
		t.Fatal(err)
	}
	if sum := total(); sum != 0 {
		t.Errorf("the sum of the gauges is %v after Close, want 0", sum)
	}
}

// TestUnavailableStoreIsLoggedOnce guards against logging the same warning at each reconciliation
// while the store is unavailable.
func TestUnavailableStoreIsLoggedOnce(t *testing.T) {
	store, mayAct, enabled := &unavailableStore{MemStore: cfstandin.NewMemStore()}, true, true
	controller := newController(store, &recordingScaling{}, &mayAct, &enabled)
	core, logs := observer.New(zap.WarnLevel)
	controller.Log = zap.New(core)
	for _, c := range []struct {
		event string
		set   func(bool)
	}{
		{"engines_wanted_not_read", func(on bool) { store.failReads = on }},
		{"engines_wanted_unconfirmed", func(on bool) { store.failWrites = on }},
	} {
		for outage := range 2 {
			c.set(true)
			for range 4 {
				// Discards the loaded state, so that each reconciliation reads and writes.
				store.MemStore, controller.reconciler = cfstandin.NewMemStore(), cfscale.NewReconciler(3, 0)
				controller.reconcile()
			}
			c.set(false)
			controller.reconcile()
			if n := logs.FilterMessage(c.event).Len(); n != outage+1 {
				t.Errorf("%s: logged %d times in %d outages", c.event, n, outage+1)
			}
		}
	}
}
