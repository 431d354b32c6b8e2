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

// bootTime is the delay between an order and the start of the ordered engines.
const bootTime = 500 * time.Millisecond

// orderHandler returns the handler of the control plane's engine orders. It starts the engines that
// are missing to reach the ordered count, and stops none when the ordered count is lower.
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

// enableScaling adds the scaling settings of the engine service to a configuration.
func enableScaling(config map[string]any) {
	for _, svc := range config["services"].([]map[string]any) {
		if svc["name"] == engineService {
			svc["scaling"] = map[string]any{"min": 1, "max": 12, "boot-s": bootTime.Seconds(), "spot-price": 0.18, "zone-prices": map[string]any{"domain-a": 1.0}}
		}
	}
}

// storedOrders returns the engine counts that the coordinator has stored as its orders, by whether
// the engines are spot engines.
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

// TestAutoscalerOrdersEngines guards against a step that waits for engines which are never ordered,
// or whose order was lost with the previous coordinator, and against two coordinators that send
// orders alternately.
//
// The step needs several times the engines' slots. In separate cases the control plane's API
// accepts the orders, has no spot capacity, loses its answers, or gives no answer until the
// coordinator that has stored its order is killed; in another case the coordinator is frozen after
// an order and continues after its successor's first one.
func TestAutoscalerOrdersEngines(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		inject func(s *deployment)
	}{
		{"calm", func(*deployment) {}},
		{"no spot capacity", func(s *deployment) { s.control.SetFaults(standin.ControlPlaneFaults{NoSpotCapacity: true}) }},
		{"answers lost", func(s *deployment) { s.control.SetFaults(standin.ControlPlaneFaults{DropResponseEvery: 2}) }},
		{"coordinator lost before the answer", func(s *deployment) {
			s.control.SetFaults(standin.ControlPlaneFaults{Down: true})
			eventually(s.t, "stored order", func() bool { return len(s.storedOrders()) > 0 })
			c := s.coordinator()
			c.kill()
			s.awaitCoordinator(c.id)
			s.control.SetFaults(standin.ControlPlaneFaults{})
		}},
		{"coordinator frozen", func(s *deployment) {
			eventually(s.t, "order", func() bool { return len(s.control.Orders()) > 0 })
			c := s.coordinator()
			c.signal(syscall.SIGSTOP)
			s.awaitCoordinator(c.id)
			eventually(s.t, "order of the successor", func() bool {
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
			eventually(t, "agreement of received and stored orders", func() bool {
				last := map[bool]int{}
				for _, o := range s.control.Orders() {
					last[o.Spot] = o.Count
				}
				stored := s.storedOrders()
				return len(stored) > 0 && (last[true] == stored[true] || c.name == "no spot capacity") && last[false] == stored[false]
			})
			for _, fault := range s.control.Violations() {
				t.Error(fault)
			}
		})
	}
}
