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

// bootTime is how long after its order an engine is in service.
const bootTime = 500 * time.Millisecond

// orderHandler returns what starts the engines that an order asks for beyond those that are
// there; an order for fewer ends none.
func (s *deployment) orderHandler(o options) func(standin.EngineOrder) {
	var mu sync.Mutex
	started := map[bool]int{}
	return func(order standin.EngineOrder) {
		time.Sleep(bootTime)
		mu.Lock()
		defer mu.Unlock()
		if !order.Spot && started[false] == 0 {
			started[false] = o.engines
		}
		for ; started[order.Spot] < order.Count; started[order.Spot]++ {
			var e *standin.Engine
			addr := serve(s.t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.ServeHTTP(w, r) }))
			e = standin.NewEngine(standin.EngineSettings{
				ID: fmt.Sprintf("i-ordered-%v-%d", order.Spot, started[order.Spot]), Service: engineService, Domain: order.Zone, Addr: addr, Slots: slots,
				Models: o.models, EventInterval: o.eventInterval, WeightLoadTime: o.weightLoadTime, Spot: order.Spot,
			}, s.store)
		}
	}
}

// enableScaling lets engines of the stand-in deployment be ordered.
func enableScaling(config map[string]any) {
	for _, svc := range config["services"].([]map[string]any) {
		if svc["name"] == engineService {
			svc["scaling"] = map[string]any{"min": 1, "max": 12, "boot-s": bootTime.Seconds(), "spot-price": 0.18, "zone-prices": map[string]any{"domain-a": 1.0}}
		}
	}
}

// storedOrders returns what the store holds of wanted engines.
func (s *deployment) storedOrders() map[bool]int {
	var stored cfscale.StoredState
	out := map[bool]int{}
	if raw := s.store.Spec("currantford-scaling", "engines"); raw != nil {
		_ = json.Unmarshal(raw, &stored)
	}
	for _, o := range stored.Orders {
		out[o.Spot] = o.Count
	}
	return out
}

// Symptom: a step waits for engines that nobody orders, or that a lost holder wanted; two
// holders order in turn.
// Sequence: a step several times the engines' slots; the API takes orders, or gives no answer
// until the holder that has kept its order is killed.
func TestAutoscalerOrdersEngines(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		inject func(s *deployment)
	}{
		{"calm", func(*deployment) {}},
		{"none reclaimable", func(s *deployment) { s.control.SetFaults(standin.ControlPlaneFaults{NoSpotCapacity: true}) }},
		{"answers lost", func(s *deployment) { s.control.SetFaults(standin.ControlPlaneFaults{DropResponseEvery: 2}) }},
		{"holder lost before the answer", func(s *deployment) {
			s.control.SetFaults(standin.ControlPlaneFaults{Down: true})
			eventually(s.t, "a kept order", func() bool { return len(s.storedOrders()) > 0 })
			c := s.coordinator()
			c.kill()
			s.awaitCoordinator(c.id)
			s.control.SetFaults(standin.ControlPlaneFaults{})
		}},
		{"holder frozen", func(s *deployment) {
			eventually(s.t, "an order", func() bool { return len(s.control.Orders()) > 0 })
			c := s.coordinator()
			c.signal(syscall.SIGSTOP)
			s.awaitCoordinator(c.id)
			eventually(s.t, "an order of the successor", func() bool {
				orders := s.control.Orders()
				return orders[len(orders)-1].Holder != c.id
			})
			c.signal(syscall.SIGCONT)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startDeployment(t, options{entries: 3, engines: 2, autoscale: true, config: enableScaling, models: []string{"m0"}, eventInterval: 30 * time.Millisecond, weightLoadTime: 100 * time.Millisecond})
			b := newStep("b1", "m0", 16, 8, 40)
			s.submitUntilAccepted(b)
			c.inject(s)
			s.readAll(b)
			eventually(t, "what is kept to be ordered", func() bool {
				last := map[bool]int{}
				for _, o := range s.control.Orders() {
					last[o.Spot] = o.Count
				}
				stored := s.storedOrders()
				return len(stored) > 0 && (last[true] == stored[true] || c.name == "none reclaimable") && last[false] == stored[false]
			})
			for _, fault := range s.control.Violations() {
				t.Error(fault)
			}
		})
	}
}
