package cfscale

import (
	"testing"

	cf "currantford"
)

// Symptom: an order of the holder before takes effect after the repeat of a successor's that
// had no answer, and the platform keeps the old count. The exploration has no repeat so soon.
func TestRepeatedFirstOrderIsConfirmed(t *testing.T) {
	k := NewKeeper(2, 0)
	order := cf.EngineOrder{EnginePool: explorePool, Count: 2}
	k.Found(Kept{Term: 2, Orders: []cf.EngineOrder{order}}, 1)
	next := func(now cf.Millis) StepKind {
		return k.Next(now, Kept{}, func(cf.ServiceName) bool { return true }).Kind
	}
	k.InDoubtGiven(order, 0)
	k.Given(order, retryFirst)
	if next(retryFirst) != Wait {
		t.Error("given again at once")
	}
	if next(lateMost) != Give {
		t.Error("not given again once no order of the holder before may take effect")
	}
	k.Given(order, lateMost)
	if next(lateMost+retryMost) != Wait {
		t.Error("given without end")
	}
}
