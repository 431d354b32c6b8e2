package cfnode

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	cf "currantford"
	"currantford/core/cfscale"
	"currantford/io/cfautoscale"
	"currantford/io/cfcoord"
)

// autoscale runs the duty of ordering engines while this instance is the coordinator. A nil
// autoscale orders nothing.
type autoscale struct {
	node       *Node
	metrics    *cfautoscale.Metrics
	controller atomic.Pointer[cfautoscale.Controller]
}

// newAutoscale returns nil if no engines are to be ordered.
func newAutoscale(n *Node, reg prometheus.Registerer) *autoscale {
	if n.adapter.Scaling == nil || !n.settings.autoscales() {
		return nil
	}
	return &autoscale{node: n, metrics: cfautoscale.NewMetrics(reg)}
}

// begin starts the duty under the coordinator's term. succeeds reports that the duty was held
// before, by another instance or by this one before a restart.
func (a *autoscale) begin(c *cfcoord.Coordinator, succeeds bool) {
	if a == nil {
		return
	}
	n := a.node
	term, _ := n.candidate.MayOrder()
	controller := cfautoscale.New(cfautoscale.Options{
		Lease: cf.LeaseToken{Holder: n.settings.Entry, Fence: term}, HasPredecessor: succeeds, Store: n.adapter.Store, Scaling: n.adapter.Scaling,
		MayAct: func() bool {
			current, ok := n.candidate.MayOrder()
			return ok && current == term
		},
		NoteOrder: n.candidate.Ordered, Demand: c.Demand, Policies: a.policies, Metrics: a.metrics, Log: n.log,
	})
	a.controller.Store(controller)
	controller.Start()
}

// policies returns the scaling policies of the configuration in force, by service.
func (a *autoscale) policies() map[cf.ServiceName]cfscale.Policy {
	out := map[cf.ServiceName]cfscale.Policy{}
	config := a.node.site.Config()
	if config == nil {
		return out
	}
	for _, s := range config.Services {
		if s.Scaling == nil || len(s.Models) == 0 {
			continue
		}
		out[s.Name] = cfscale.Policy{
			Service: s.Name, Min: s.Scaling.Min, Max: s.Scaling.Max, BootTime: s.Scaling.BootTime, SpotPrice: s.Scaling.SpotPrice,
			DomainPrices: s.Scaling.DomainPrices,
			EnginePrice:  a.node.settings.Scaling.EnginePrice, GroupValue: a.node.settings.Scaling.GroupValue,
		}
	}
	return out
}

// end stops the duty and waits for its call in progress.
func (a *autoscale) end() {
	if a == nil {
		return
	}
	if controller := a.controller.Swap(nil); controller != nil {
		_ = controller.Close()
	}
}
