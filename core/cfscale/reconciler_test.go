package cfscale

import (
	"testing"

	cf "currantford"
)

// TestRepeatedFirstOrderIsConfirmed guards against a platform that keeps an old count, because an
// order of the previous holder takes effect after its successor has repeated an order that was not
// answered. The state exploration of TestPlatformCountMatchesStore contains no repeat as early as
// this one.
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
		t.Error("order sent again at once")
	}
	if next(maxOrderDelay) != ActionOrder {
		t.Error("order not sent again once no order of the previous holder can take effect")
	}
	r.OrderAccepted(order, maxOrderDelay)
	if next(maxOrderDelay+maxRetryPause) != ActionWait {
		t.Error("order sent again after it was confirmed")
	}
}
