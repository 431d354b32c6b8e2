package cfnode

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	cf "currantford"
	"currantford/core/cfscale"
	"currantford/io/cfautoscale"
	"currantford/io/cfcoord"
)

// autoscale is an instance's part in ordering engines: the duty, while it is the
// coordinator. A nil one orders nothing.
type autoscale struct {
	node    *Node
	metrics *cfautoscale.Metrics
	duty    atomic.Pointer[cfautoscale.Controller]
}

// newAutoscale returns nil where no engines are to be ordered.
func newAutoscale(n *Node, reg prometheus.Registerer) *autoscale {
	if n.adapter.Scaling == nil || !n.settings.autoscales() {
		return nil
	}
	return &autoscale{node: n, metrics: cfautoscale.NewMetrics(reg)}
}

// begin begins the duty under the coordinator's term; follows says that another instance, or
// this one before it started again, had it.
func (a *autoscale) begin(c *cfcoord.Coordinator, follows bool) {
	if a == nil {
		return
	}
	n := a.node
	term, _ := n.candidate.MayOrder()
	d := cfautoscale.New(cfautoscale.Options{
		Lease: cf.LeaseToken{Holder: n.settings.Entry, Fence: term}, HasPredecessor: follows, Store: n.adapter.Store, Scaling: n.adapter.Scaling,
		MayAct: func() bool {
			now, ok := n.candidate.MayOrder()
			return ok && now == term
		},
		NoteOrder: n.candidate.Ordered, Demand: c.Demand, Policies: a.terms, Metrics: a.metrics, Log: n.log,
	})
	a.duty.Store(d)
	d.Start()
}

// terms returns what the configuration in force says of the services whose engines may be
// ordered.
func (a *autoscale) terms() map[cf.ServiceName]cfscale.Policy {
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

// end ends the duty and waits for the call under way.
func (a *autoscale) end() {
	if a == nil {
		return
	}
	if d := a.duty.Swap(nil); d != nil {
		_ = d.Close()
	}
}
