package cfscale

import (
	"testing"

	cf "currantford"
)

// Symptom: an order of the holder before takes effect after the repeat of a successor's that
// had no answer, and the platform keeps the old count. The exploration has no repeat so soon.
func TestRepeatedFirstOrderIsConfirmed(t *testing.T) {
	r := NewReconciler(2, 0)
	order := cf.EngineOrder{EnginePool: modelPool, Count: 2}
	r.Loaded(StoredState{Term: 2, Orders: []cf.EngineOrder{order}}, 1)
	next := func(now cf.Millis) ActionKind {
		return r.Next(now, StoredState{}, func(cf.ServiceName) bool { return true }).Kind
	}
	r.OrderInDoubt(order, 0)
	r.OrderAccepted(order, initialRetryPause)
	if next(initialRetryPause) != ActionWait {
		t.Error("given again at once")
	}
	if next(maxOrderDelay) != ActionOrder {
		t.Error("not given again once no order of the holder before may take effect")
	}
	r.OrderAccepted(order, maxOrderDelay)
	if next(maxOrderDelay+maxRetryPause) != ActionWait {
		t.Error("given without end")
	}
}
