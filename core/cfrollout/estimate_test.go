package cfrollout_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
)

// TestOnlyInfeasibleStepsAreRefused guards against refusing a step that has a group that fits or
// that continues texts of the previous step, and against accepting infeasible steps.
func TestOnlyInfeasibleStepsAreRefused(t *testing.T) {
	p := newSlowEnginePlanner(t) // engines take about 40 ms per event, one of them 160 ms
	began := hintedBatch("began", 20)
	p.AddBatch(began, defaultTerms)
	works := p.Place(4000)
	generate(t, works[0], 4010, 4400, 40)
	p.EndBatch("began")
	p.Finished(works[0], cfrollout.OutcomeStopped, 4400)
	for _, c := range []struct {
		name       string
		sub        cf.Submission
		due        cf.Millis
		span       cf.Millis
		infeasible bool
	}{
		{"20 events in 10 s", hintedBatch("a", 20, 20).Sub, 15_000, 10_000, false},
		{"20 events in 0.8 s", hintedBatch("b", 20, 20).Sub, 5800, 800, false},
		{"20 events in 0.1 s", hintedBatch("c", 20, 20).Sub, 5100, 100, true},
		{"one of several texts is short", hintedBatch("d", 20, 20, 1).Sub, 5100, 100, false},
		{"20 events in 0.1 s, clock 8 s behind", hintedBatch("e", 20).Sub, 4000, 100, true},
		{"20 events in 7.5 s, clock 8 s behind", hintedBatch("h", 20).Sub, 4500, 7500, false},
		{"without a due time", hintedBatch("f", 20).Sub, 0, 0, false},
		{"with a text of the previous step", began.Sub, 5100, 100, false},
	} {
		due := defaultTerms
		due.Due, due.Span = c.due, c.span
		h := p.EstimateStep(c.sub, due, 5000)
		if h.Infeasible != c.infeasible || h.Infeasible && h.RetryAfter < 2000 {
			t.Errorf("%s: %+v", c.name, h)
		}
	}
	if h := cfrollout.New(cfrollout.DefaultLimits).EstimateStep(hintedBatch("g", 20).Sub, cfrollout.Terms{Service: service, Due: 1}, 5000); h.Infeasible {
		t.Error("infeasible although no text length is known")
	}
}
