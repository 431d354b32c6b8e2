package cfrollout_test

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
)

// BenchmarkSwaps measures one call of Swaps after a version was announced that no engine holds,
// while as many engines load as are allowed. Each planning pass costs this until the whole fleet
// has loaded the version.
func BenchmarkSwaps(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3000} {
		b.Run(fmt.Sprint(n, "_engines"), func(b *testing.B) {
			p := cfrollout.New(cfrollout.DefaultLimits)
			names := []cf.ModelName{"a", "b", "c"}
			var held []cf.ModelState
			for _, m := range names {
				held = append(held, cf.ModelState{Name: m, Version: 1})
			}
			p.SetEngines(fleet(n, held...), models(names...))
			for _, m := range names {
				p.SetVersion(m, 2)
			}
			for b.Loop() {
				p.Swaps(0)
			}
		})
	}
}

// newSameWorkPlanner returns a planner with n engines and six trainers, each of which has a running
// step of 208 items and has announced the version of its next step.
func newSameWorkPlanner(n int) (*cfrollout.Planner, []cf.Target) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	var names []cf.ModelName
	var held []cf.ModelState
	for i := range 6 {
		m := cf.ModelName(fmt.Sprint("m", i))
		names = append(names, m)
		held = append(held, cf.ModelState{Name: m, Version: 1})
	}
	targets := make([]cf.Target, n)
	for i := range targets {
		targets[i] = cf.Target{ID: cf.InstanceID(fmt.Sprintf("e%05d", i)), Service: service, Slots: 6, Models: held, Domain: cf.FailureDomain(fmt.Sprint(i % 6))}
	}
	p.SetEngines(targets, models(names...))
	for _, m := range names {
		p.AddBatch(step(cf.BatchID(m), m, 1, 13, 16), defaultTerms)
	}
	p.Place(0)
	for _, m := range names {
		p.SetVersion(m, 2)
	}
	return p, targets
}

// BenchmarkSameWork measures a planning pass, the change of a target and a new step, with the same
// work on more and more engines.
func BenchmarkSameWork(b *testing.B) {
	for _, n := range []int{1000, 10_000, 20_000} {
		p, targets := newSameWorkPlanner(n)
		now := cf.Millis(1000)
		b.Run(fmt.Sprint("look/", n, "_engines"), func(b *testing.B) {
			for b.Loop() {
				now += 20
				p.Place(now)
				p.Swaps(now)
				p.Moves(now)
				p.EnginesToQuery(now)
			}
		})
		b.Run(fmt.Sprint("change/", n, "_engines"), func(b *testing.B) {
			for b.Loop() {
				p.ChangeEngines(targets[7:8], nil)
			}
		})
		b.Run(fmt.Sprint("step/", n, "_engines"), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				now += 20
				id := cf.BatchID(fmt.Sprint("s", i))
				p.AddBatch(step(id, "m0", 1, 13, 16), defaultTerms)
				for _, w := range p.Place(now) {
					p.Finished(w, cfrollout.OutcomeDone, now)
				}
				p.EndBatch(id)
			}
		})
	}
}

// BenchmarkMoves measures a call of Moves with 480 running items on 10,000 engines, one in seven of
// which is temporarily slow.
func BenchmarkMoves(b *testing.B) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	var names []cf.ModelName
	var held []cf.ModelState
	for i := range 6 {
		m := cf.ModelName(fmt.Sprint("m", i))
		names = append(names, m)
		held = append(held, cf.ModelState{Name: m, Version: 1})
	}
	targets := fleet(10_000, held...)
	slow := map[cf.InstanceID]bool{}
	for i, t := range targets {
		slow[t.ID] = i%7 == 0
	}
	p.SetEngines(targets, models(names...))
	for _, m := range names {
		b := step(cf.BatchID(m), m, 1, 81, 1)
		for i := range b.Sub.Items {
			b.Sub.Items[i].LengthHint = 1000
		}
		b.Sub.Items[0].LengthHint = 100
		p.AddBatch(b, defaultTerms)
	}
	for _, w := range p.Place(0) {
		if w.Item.LengthHint == 100 {
			w.Text.Last = 10
			p.Finished(w, cfrollout.OutcomeDone, 400)
		}
	}
	const now = 20_000
	p.SimulatePeriods(func(id cf.InstanceID) bool { return slow[id] }, now)
	moves := 0
	for b.Loop() {
		out := p.Moves(now)
		moves += len(out)
		p.UndoMoves(out)
	}
	b.ReportMetric(float64(moves)/float64(b.N), "moves/op")
}
