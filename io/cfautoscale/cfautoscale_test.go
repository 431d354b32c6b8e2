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

// awayStore refuses writes while it is away, and reads while it is unread.
type awayStore struct {
	*cfstandin.MemStore
	away, unread bool
}

func (s *awayStore) Get(ctx context.Context, kind, name string) (cf.Record, error) {
	if s.unread {
		return cf.Record{}, cf.ErrUnavailable
	}
	return s.MemStore.Get(ctx, kind, name)
}

func (s *awayStore) Create(ctx context.Context, kind, name string, spec any) (cf.Record, error) {
	if s.away {
		return cf.Record{}, cf.ErrUnavailable
	}
	return s.MemStore.Create(ctx, kind, name, spec)
}

// api takes orders.
type api struct{ orders []cf.EngineOrder }

func (a *api) OrderEngines(_ context.Context, _ cf.LeaseToken, o cf.EngineOrder) error {
	a.orders = append(a.orders, o)
	return nil
}

func duty(store cf.Store, scaling cf.Scaling, may *bool, scales *bool) *Controller {
	d := cfscale.Demand{Demand: cfrollout.Demand{Service: "s", Slots: 6, Pace: 50}, Engines: map[cf.EnginePool]int{{Service: "s", Domain: "a"}: 2}}
	d.OpenSteps = []cfscale.OpenStep{{StepDemand: cfrollout.StepDemand{Groups: 12, Events: 5400, Remaining: 5400, Longest: 40}, Due: 7500}}
	return New(Options{
		Lease: cf.LeaseToken{Holder: "e", Fence: 3}, Store: store, Scaling: scaling, MayAct: func() bool { return *may }, NoteOrder: func() {},
		Demand: func(cf.ServiceName) (cfscale.Demand, bool) { return d, true },
		Policies: func() map[cf.ServiceName]cfscale.Policy {
			if !*scales {
				return nil
			}
			return map[cf.ServiceName]cfscale.Policy{"s": {Service: "s", Max: 32, BootTime: 4000, SpotPrice: 0.2, EnginePrice: 0.0055, GroupValue: 2}}
		},
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
	})
}

// Symptom: engines are ordered that no successor hears of, before the handover has passed, or
// of a service whose engines may not be ordered.
func TestNothingIsOrderedThatIsNotKept(t *testing.T) {
	store, a, may, scales := &awayStore{MemStore: cfstandin.NewMemStore(), away: true}, &api{}, false, false
	d := duty(store, a, &may, &scales)
	for _, allow := range []func(){func() {}, func() { scales = true }, func() { may = true }} {
		allow()
		d.look()
		d.look()
		d.look()
		if len(a.orders) > 0 {
			t.Fatalf("ordered %v", a.orders)
		}
	}
	store.away = false
	d.look()
	d.look()
	kept, _ := d.keeper.Stored()
	if len(a.orders) == 0 || !slices.Equal(kept.Orders, a.orders) {
		t.Errorf("ordered %v, kept %v", a.orders, kept.Orders)
	}
}

// Symptom: an instance that lost the duty still reports engines, beside the new holder.
func TestGaugesEndWithTheDuty(t *testing.T) {
	may, scales := true, true
	d := duty(cfstandin.NewMemStore(), &api{}, &may, &scales)
	reg := prometheus.NewRegistry()
	d.Metrics = NewMetrics(reg)
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
	d.look()
	if total() == 0 {
		t.Fatal("the holder reports nothing")
	}
	d.Start()
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	if sum := total(); sum != 0 {
		t.Errorf("the gauges add up to %v after the end", sum)
	}
}

// Symptom: while the store is unavailable each look logs the same warning.
func TestUnavailableStoreIsLoggedOnce(t *testing.T) {
	store, may, scales := &awayStore{MemStore: cfstandin.NewMemStore()}, true, true
	d := duty(store, &api{}, &may, &scales)
	core, logs := observer.New(zap.WarnLevel)
	d.Log = zap.New(core)
	for _, c := range []struct {
		event string
		set   func(bool)
	}{
		{"engines_wanted_not_read", func(on bool) { store.unread = on }},
		{"engines_wanted_unconfirmed", func(on bool) { store.away = on }},
	} {
		for outage := range 2 {
			c.set(true)
			for range 4 {
				// Forgets what was read, so that each look reads and writes.
				store.MemStore, d.keeper = cfstandin.NewMemStore(), cfscale.NewReconciler(3, 0)
				d.look()
			}
			c.set(false)
			d.look()
			if n := logs.FilterMessage(c.event).Len(); n != outage+1 {
				t.Errorf("%s: logged %d times in %d outages", c.event, n, outage+1)
			}
		}
	}
}
