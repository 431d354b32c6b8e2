package cfrollout_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
)

// TestItemsThatWaitAreReportedWithTheirReason checks that each way in which an item waits despite
// free slots has its reason, and that reports follow after 2 s, 4 s and 8 s.
func TestItemsThatWaitAreReportedWithTheirReason(t *testing.T) {
	held := cf.ModelState{Name: "m", Version: 1}
	// relist sets the list of engines again after changing each target.
	relist := func(change func(t *cf.Target)) func(*cfrollout.Planner, []cf.Target, *bool) {
		return func(p *cfrollout.Planner, targets []cf.Target, _ *bool) {
			for i := range targets {
				change(&targets[i])
			}
			p.SetEngines(targets, models("m"))
		}
	}
	scenarios := map[cfrollout.WaitReason]func(p *cfrollout.Planner, targets []cf.Target, pass *bool){
		cfrollout.WaitRunSilent: func(*cfrollout.Planner, []cf.Target, *bool) {},
		cfrollout.WaitNoRoute:   func(p *cfrollout.Planner, _ []cf.Target, _ *bool) { p.SetTerms("b", cfrollout.Terms{}, false) },
		cfrollout.WaitRefused:   func(_ *cfrollout.Planner, _ []cf.Target, pass *bool) { *pass = false },
		cfrollout.WaitNoEngines: func(p *cfrollout.Planner, targets []cf.Target, _ *bool) {
			other := fleet(4, cf.ModelState{Name: "other", Version: 1})
			for i := range other {
				other[i].ID += "-new"
			}
			p.SetEngines(other, models("other"))
		},
		cfrollout.WaitNoWeights: relist(func(t *cf.Target) { t.Started, t.Models = t.Started+1000, []cf.ModelState{{Name: "m"}} }),
	}
	for reason, scenario := range scenarios {
		t.Run(string(reason), func(t *testing.T) {
			pass, limits := true, cfrollout.DefaultLimits
			limits.Admit = func(*cfrollout.Work, cf.Target, bool) cfrollout.Admission { return cfrollout.Admission{Allowed: pass} }
			p := cfrollout.New(limits)
			targets := fleet(4, held)
			for i := range targets {
				targets[i].Started = 1
			}
			p.SetEngines(targets, models("m"))
			p.AddBatch(step("b", "m", 1, 1, 4), defaultTerms)
			begun := p.Place(1000)
			if len(begun) != 4 {
				t.Fatalf("%d items start", len(begun))
			}
			for _, w := range begun[1:] {
				p.Finished(w, cfrollout.OutcomeDone, 1500)
			}
			if reason != cfrollout.WaitRunSilent {
				begun[0].Progress.RecordEvent(1400)
				p.Finished(begun[0], cfrollout.OutcomeStopped, 1500)
			}
			scenario(p, targets, &pass)
			var reportedAt []cf.Millis
			for now := cf.Millis(2000); now <= 14_000; now += 1000 {
				if reason != cfrollout.WaitRunSilent {
					p.Place(now)
				}
				x := p.WaitingItems(now)
				if now >= 4000 && x.Counts[reason] != 1 {
					t.Errorf("at %d: counts %v", now, x.Counts)
				}
				for _, item := range x.Items {
					if item.Reason != reason {
						t.Errorf("at %d: reason %s", now, item.Reason)
					}
					reportedAt = append(reportedAt, now)
				}
			}
			if len(reportedAt) != 3 {
				t.Errorf("reported at %v, want three reports", reportedAt)
			}
		})
	}
}
