package cfautoscale

import (
	"context"
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfrollout"
	"currantford/core/cfscale"
	"currantford/testbed/cfstandin"
)

// awayStore refuses writes while it is away.
type awayStore struct {
	*cfstandin.MemStore
	away bool
}

func (s *awayStore) Create(ctx context.Context, kind, name string, spec any) (cf.Record, error) {
	if s.away {
		return cf.Record{}, cf.ErrUnavailable
	}
	return s.MemStore.Create(ctx, kind, name, spec)
}

// api takes orders.
type api struct{ orders []cf.EngineOrder }

func (a *api) OrderEngines(_ context.Context, _ cf.Act, o cf.EngineOrder) error {
	a.orders = append(a.orders, o)
	return nil
}

func duty(store cf.Store, scaling cf.Scaling, may *bool, scales *bool) *Duty {
	d := cfscale.Demand{Demand: cfrollout.Demand{Service: "s", Slots: 6, Pace: 50, Engines: map[cf.EnginePool]int{{Service: "s", Domain: "a"}: 2}}}
	d.Open = []cfscale.OpenStep{{StepDemand: cfrollout.StepDemand{Groups: 12, Events: 5400, Left: 5400, Longest: 40}, Due: 7500}}
	return New(Options{
		Act: cf.Act{Holder: "e", Fence: 3}, Store: store, Scaling: scaling, MayAct: func() bool { return *may }, Ordered: func() {},
		Demand: func(cf.ServiceName) (cfscale.Demand, bool) { return d, true },
		Terms: func() map[cf.ServiceName]cfscale.Terms {
			if !*scales {
				return nil
			}
			return map[cf.ServiceName]cfscale.Terms{"s": {Service: "s", Max: 32, Boot: 4000, SpotPrice: 0.2, EnginePrice: 0.0055, GroupValue: 2}}
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
	kept, _ := d.keeper.Kept()
	if len(a.orders) == 0 || !slices.Equal(kept.Orders, a.orders) {
		t.Errorf("ordered %v, kept %v", a.orders, kept.Orders)
	}
}
