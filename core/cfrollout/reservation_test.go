package cfrollout_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
)

// TestSlotIsReservedForAMovingRun guards against a run that was stopped to move and then waits for
// seconds because other items have taken its slot, and against a slot that stays reserved forever
// for a run that does not arrive.
func TestSlotIsReservedForAMovingRun(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(2, cf.ModelState{Name: "a", Version: 1}), models("a"))
	p.AddBatch(step("s", "a", 1, 1, 1), defaultTerms)
	w := p.Place(0)[0]
	other := cf.InstanceID("e00")
	if w.Engine == other {
		other = "e01"
	}
	p.ReserveSlot(w, other, 100)
	p.AddBatch(step("t", "a", 1, 2, 4), defaultTerms)
	if n := len(p.Place(200)); n != 6 {
		t.Fatalf("%d items take the 6 free slots that are not reserved", n)
	}
	p.Finished(w, cfrollout.OutcomeStopped, 210)
	again := p.Place(220)
	if len(again) != 2 || again[0] != w && again[1] != w || w.Engine != other {
		t.Errorf("%d items start, the moved run at %s instead of %s, where its slot is reserved", len(again), w.Engine, other)
	}

	q := cfrollout.New(cfrollout.DefaultLimits)
	q.SetEngines(fleet(2, cf.ModelState{Name: "a", Version: 1}), models("a"))
	q.AddBatch(step("s", "a", 1, 1, 1), defaultTerms)
	lost := q.Place(0)[0]
	q.ReserveSlot(lost, other, 100)
	q.Finished(lost, cfrollout.OutcomeDone, 200)
	q.AddBatch(step("t", "a", 1, 2, 4), defaultTerms)
	q.Moves(5000)
	if n := len(q.Place(5000)); n != 8 {
		t.Errorf("%d items take the 8 slots after the reservation of a run that did not arrive has expired", n)
	}
}
