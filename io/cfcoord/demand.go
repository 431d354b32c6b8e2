package cfcoord

import (
	cf "currantford"
	"currantford/core/cfscale"
)

// Demand returns the demand of open steps for the engines of a service, or false while this
// instance does not know all steps yet.
func (c *Coordinator) Demand(service cf.ServiceName) (cfscale.Demand, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	config := c.Site.Config()
	if config == nil || !c.takeover.done {
		return cfscale.Demand{}, false
	}
	d := cfscale.Demand{Demand: c.planner.Demand(service), Engines: map[cf.EnginePool]int{}}
	for _, t := range c.Site.Usable(service) {
		d.Engines[cf.EnginePool{Service: service, Domain: t.Domain, Spot: t.Spot}]++
	}
	wall := cf.Now()
	for _, s := range d.Steps {
		open := cfscale.OpenStep{StepDemand: s, Age: max(wall-s.Accepted, 0)}
		if st := c.batches[s.Batch]; st != nil {
			if route, ok := config.Match(st.batch.Sub.Host, st.batch.Sub.Path); ok {
				open.Due = route.ResultsSLO
			}
		}
		d.OpenSteps = append(d.OpenSteps, open)
	}
	return d, true
}
