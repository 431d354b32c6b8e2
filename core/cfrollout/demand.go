package cfrollout

import (
	"slices"

	cf "currantford"
)

type (
	// Demand is what the open steps of a service require of its engines.
	Demand struct {
		Service cf.ServiceName
		// Slots is the number of slots of one engine. Pace is the time of an event at an engine
		// with all slots in use, in ms, zero until it was observed.
		Slots int
		Pace  float64
		// Models is the number of models that the service serves.
		Models int
		// Reclaimed counts the engines that the platform takes back and that have not left yet.
		Reclaimed map[cf.EnginePool]int
		// Loading is the number of engines in service that load weights.
		Loading int
		Steps   []StepDemand
	}

	// StepDemand is the work of an open step.
	StepDemand struct {
		Batch    cf.BatchID
		Model    cf.ModelName
		Accepted cf.Millis
		// Groups is the number of incomplete groups that the trainer still waits for.
		Groups  int
		Waiting int
		Running int
		// Events is the expected number of events of all items, Remaining the number of those that
		// are still to come, and Longest the highest expected number of a single item. They are
		// zero while no lengths are known.
		Events    float64
		Remaining float64
		Longest   float64
	}
)

// Demand returns what the open steps of a service require.
func (p *Planner) Demand(service cf.ServiceName) Demand {
	d := Demand{Service: service, Models: len(p.models[service]), Reclaimed: map[cf.EnginePool]int{}}
	var paces []float64
	for _, e := range p.engines {
		if e.Service != service {
			continue
		}
		if e.Draining {
			if e.Spot && e.ReclaimNotice > 0 {
				d.Reclaimed[cf.EnginePool{Service: service, Domain: e.Domain, Spot: true}]++
			}
			continue
		}
		d.Slots = max(d.Slots, e.Slots)
		if e.loading > 0 {
			d.Loading++
		}
		if e.pace > 0 {
			paces = append(paces, p.fullPace(e))
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		d.Pace = paces[len(paces)/2]
	}
	for _, o := range p.sortedBatches() {
		if o.terms.Service != service || o.paused || len(o.waiting)+len(o.running) == 0 {
			continue
		}
		d.Steps = append(d.Steps, p.stepDemand(o))
	}
	return d
}

func (p *Planner) stepDemand(o *openBatch) StepDemand {
	sub := &o.batch.Sub
	s := StepDemand{
		Batch: sub.ID, Model: sub.Model, Accepted: sub.Accepted, Groups: max(sub.TargetGroups-o.batch.CompleteGroups(), 0),
		Waiting: len(o.waiting), Running: len(o.running),
	}
	for _, it := range sub.Items {
		n := p.lengths.expected(it)
		s.Events += n
		s.Longest = max(s.Longest, n)
	}
	for _, w := range o.waiting {
		s.Remaining += p.remaining(w)
	}
	for _, w := range o.running {
		s.Remaining += p.remaining(w)
	}
	return s
}
