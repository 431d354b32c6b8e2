package systemtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"currantford/core/cfscale"
	"currantford/platform/standin"
)

// boot is how long after its order an engine is in service.
const boot = 500 * time.Millisecond

// startOrdered returns what starts the engines that an order asks for beyond those that are
// there; an order for fewer ends none.
func (s *site) startOrdered(o options) func(standin.EngineOrder) {
	var mu sync.Mutex
	started := map[bool]int{}
	return func(order standin.EngineOrder) {
		time.Sleep(boot)
		mu.Lock()
		defer mu.Unlock()
		if !order.Spot && started[false] == 0 {
			started[false] = o.engines
		}
		for ; started[order.Spot] < order.Count; started[order.Spot]++ {
			var e *standin.Engine
			addr := listen(s.t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.ServeHTTP(w, r) }))
			e = standin.NewEngine(standin.EngineSettings{
				ID: fmt.Sprintf("i-ordered-%v-%d", order.Spot, started[order.Spot]), Service: service, Domain: order.Zone, Addr: addr, Slots: slots,
				Models: o.models, EventInterval: o.event, WeightLoadTime: o.load, Spot: order.Spot,
			}, s.store)
		}
	}
}

// scalable lets engines of the stand-in deployment be ordered.
func scalable(config map[string]any) {
	for _, svc := range config["services"].([]map[string]any) {
		if svc["name"] == service {
			svc["scaling"] = map[string]any{"min": 1, "max": 12, "boot-s": boot.Seconds(), "spot-price": 0.18, "zone-prices": map[string]any{"domain-a": 1.0}}
		}
	}
}

// wantedEngines returns what the store holds of wanted engines.
func (s *site) wantedEngines() map[bool]int {
	var kept cfscale.StoredState
	out := map[bool]int{}
	if raw := s.store.Spec("currantford-scaling", "engines"); raw != nil {
		_ = json.Unmarshal(raw, &kept)
	}
	for _, o := range kept.Orders {
		out[o.Spot] = o.Count
	}
	return out
}

// Symptom: a step waits for engines that nobody orders, or that a lost holder wanted; two
// holders order in turn.
// Sequence: a step several times the engines' slots; the API takes orders, or gives no answer
// until the holder that has kept its order is killed.
func TestEnginesAreOrdered(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		cause func(s *site)
	}{
		{"calm", func(*site) {}},
		{"none reclaimable", func(s *site) { s.control.SetFaults(standin.ControlPlaneFaults{NoSpotCapacity: true}) }},
		{"answers lost", func(s *site) { s.control.SetFaults(standin.ControlPlaneFaults{DropResponseEvery: 2}) }},
		{"holder lost before the answer", func(s *site) {
			s.control.SetFaults(standin.ControlPlaneFaults{Down: true})
			eventually(s.t, "a kept order", func() bool { return len(s.wantedEngines()) > 0 })
			c := s.coordinator()
			c.kill()
			s.waitCoordinator(c.id)
			s.control.SetFaults(standin.ControlPlaneFaults{})
		}},
		{"holder frozen", func(s *site) {
			eventually(s.t, "an order", func() bool { return len(s.control.Orders()) > 0 })
			c := s.coordinator()
			c.signal(syscall.SIGSTOP)
			s.waitCoordinator(c.id)
			eventually(s.t, "an order of the successor", func() bool {
				orders := s.control.Orders()
				return orders[len(orders)-1].Holder != c.id
			})
			c.signal(syscall.SIGCONT)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, options{entries: 3, engines: 2, autoscale: true, config: scalable, models: []string{"m0"}, event: 30 * time.Millisecond, load: 100 * time.Millisecond})
			b := step("b1", "m0", 16, 8, 40)
			s.accept(b)
			c.cause(s)
			s.readAll(b)
			eventually(t, "what is kept to be ordered", func() bool {
				last := map[bool]int{}
				for _, o := range s.control.Orders() {
					last[o.Spot] = o.Count
				}
				kept := s.wantedEngines()
				return len(kept) > 0 && (last[true] == kept[true] || c.name == "none reclaimable") && last[false] == kept[false]
			})
			for _, fault := range s.control.Violations() {
				t.Error(fault)
			}
		})
	}
}
