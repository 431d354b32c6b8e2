package cfrollout

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
)

func lifeTarget(id cf.InstanceID, service cf.ServiceName, born cf.Millis) cf.Target {
	return cf.Target{ID: id, Service: service, Slots: 3, Born: born, Models: []cf.ModelState{{Name: cf.ModelName("m-" + service), Version: 1}}}
}

var lifeModels = map[cf.ServiceName][]cf.ModelName{"a": {"m-a"}, "b": {"m-b"}}

func lifeStep(id cf.BatchID, service cf.ServiceName, items int) (*cfbatch.Batch, Terms) {
	sub := cf.Submission{ID: id, Model: cf.ModelName("m-" + service), MinVersion: 1, TargetGroups: items}
	for i := range items {
		sub.Items = append(sub.Items, cf.Item{ID: cf.ItemID(fmt.Sprintf("%s-%d", id, i)), Group: cf.GroupID(fmt.Sprintf("%s-%d", id, i/4))})
	}
	return cfbatch.New(sub), Terms{Service: service, MaxAttempts: 100}
}

// A run that ends at an engine which has left the list and come back ends the coordinator.
func TestRunEndsAtAnEngineThatLeftAndCameBack(t *testing.T) {
	target := lifeTarget("e", "a", 1)
	p := New(DefaultLimits)
	p.SetEngines([]cf.Target{target}, lifeModels)
	p.AddBatch(lifeStep("s", "a", 1))
	runs := p.Place(0)
	p.ChangeEngines(nil, []cf.InstanceID{"e"})
	p.ChangeEngines([]cf.Target{target}, nil)
	if e, _ := p.Engine("e"); e.Running != 1 {
		t.Errorf("%d runs at an engine that is back, and has one", e.Running)
	}
	p.Finished(runs[0], OutcomeBroken, 100)
	if e, _ := p.Engine("e"); e.Running != 0 {
		t.Errorf("%d runs after the only one has ended", e.Running)
	}
}
