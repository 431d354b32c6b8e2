package cfscale

import (
	"testing"

	cf "currantford"
)

// Symptom: an order of the holder before takes effect after the repeat of a successor's that
// had no answer, and the platform keeps the old count. The exploration has no repeat so soon.
func TestRepeatedFirstOrderIsConfirmed(t *testing.T) {
	k := NewReconciler(2, 0)
	order := cf.EngineOrder{EnginePool: explorePool, Count: 2}
	k.Loaded(StoredState{Term: 2, Orders: []cf.EngineOrder{order}}, 1)
	next := func(now cf.Millis) ActionKind {
		return k.Next(now, StoredState{}, func(cf.ServiceName) bool { return true }).Kind
	}
	k.OrderInDoubt(order, 0)
	k.OrderAccepted(order, retryFirst)
	if next(retryFirst) != ActionWait {
		t.Error("given again at once")
	}
	if next(lateMost) != ActionOrder {
		t.Error("not given again once no order of the holder before may take effect")
	}
	k.OrderAccepted(order, lateMost)
	if next(lateMost+retryMost) != ActionWait {
		t.Error("given without end")
	}
}
