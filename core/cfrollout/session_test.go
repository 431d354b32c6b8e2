package cfrollout_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfrollout"
)

// session simulates a trainer's step from its submission to the next version, without engines or
// network.
type session struct {
	planner *cfrollout.Planner
	batches map[cf.BatchID]*cfbatch.Batch
	pending map[cf.BatchID]*cfbatch.PendingResults
	running map[cf.ItemID]*cfrollout.Work
	now     cf.Millis
}

// TestSession runs the sessions in testdata. Their commands are:
//
//	engines n=2 model=a version=1    engines that are up
//	submit id=s model=a least=1 groups=2 size=2 want=2
//	place                            lists the items that start, with their engines
//	events item=s-0-0 n=5 pace=40    a run generates events
//	finish item=s-0-0 outcome=done   a run ends
//	list                             lists the chunks that are written now
//	end id=s                         the trainer ends its batch
//	name model=a version=2           the trainer announces a version
//	swaps, swapped engine=e00 model=a version=2
//	wait ms=100
func TestSession(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{
			planner: cfrollout.New(cfrollout.DefaultLimits), batches: map[cf.BatchID]*cfbatch.Batch{},
			pending: map[cf.BatchID]*cfbatch.PendingResults{}, running: map[cf.ItemID]*cfrollout.Work{},
		}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	arg := func(name string) string {
		var v string
		d.ScanArgs(t, name, &v)
		return v
	}
	num := func(name string) int {
		var v int
		d.ScanArgs(t, name, &v)
		return v
	}
	switch d.Cmd {
	case "engines":
		held := cf.ModelState{Name: cf.ModelName(arg("model")), Version: cf.WeightVersion(num("version"))}
		s.planner.SetEngines(fleet(num("n"), held), models(held.Name))
		return ""
	case "submit":
		return s.submit(cf.BatchID(arg("id")), cf.ModelName(arg("model")), cf.WeightVersion(num("least")), num("groups"), num("size"), num("want"))
	case "place":
		return s.place()
	case "events":
		w := s.running[cf.ItemID(arg("item"))]
		generate(t, w, s.now, s.now+cf.Millis((num("n")-1)*num("pace")), cf.Millis(num("pace")))
		return fmt.Sprintf("%s has %d events of versions %v\n", w.Item.ID, w.Text.Last, w.Text.Versions)
	case "finish":
		return s.finish(cf.ItemID(arg("item")), arg("outcome"))
	case "list":
		return s.list()
	case "end":
		var out []string
		for _, w := range s.planner.EndBatch(cf.BatchID(arg("id"))) {
			out = append(out, fmt.Sprintf("stop %s at %s\n", w.Item.ID, w.Engine))
		}
		return sorted(out)
	case "name":
		s.planner.SetVersion(cf.ModelName(arg("model")), cf.WeightVersion(num("version")))
		return ""
	case "swaps":
		var out []string
		for _, w := range s.planner.Swaps(s.now) {
			out = append(out, fmt.Sprintf("%s loads %s version %d, runs kept: %v\n", w.Target.ID, w.Model, w.Version, w.KeepRuns))
		}
		return sorted(out)
	case "swapped":
		s.planner.SwapDone(cf.InstanceID(arg("engine")), cf.ModelName(arg("model")), cf.WeightVersion(num("version")))
		return ""
	case "wait":
		s.now += cf.Millis(num("ms"))
		return ""
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

func sorted(lines []string) string {
	sort.Strings(lines)
	return strings.Join(lines, "")
}

func (s *session) submit(id cf.BatchID, m cf.ModelName, least cf.WeightVersion, groups, size, want int) string {
	b := step(id, m, least, groups, size)
	b.Sub.TargetGroups = want
	s.batches[id], s.pending[id] = b, &cfbatch.PendingResults{}
	ready := s.planner.AddBatch(b, defaultTerms)
	return fmt.Sprintf("%d items, %d ready\n", len(b.Sub.Items), len(ready))
}

func (s *session) place() string {
	var out []string
	for _, w := range s.planner.Place(s.now) {
		s.running[w.Item.ID] = w
		out = append(out, fmt.Sprintf("%s starts at %s with version %d after event %d\n", w.Item.ID, w.Engine, w.Version, w.Text.Last))
	}
	return sorted(out)
}

func (s *session) finish(id cf.ItemID, outcome string) string {
	w := s.running[id]
	outcomes := map[string]cfrollout.Outcome{
		"done": cfrollout.OutcomeDone, "failed": cfrollout.OutcomeFailed, "never": cfrollout.OutcomePermanentFailure,
		"not_run": cfrollout.OutcomeNotRun, "broken": cfrollout.OutcomeBroken,
	}
	if !s.planner.Finished(w, outcomes[outcome], s.now) {
		return fmt.Sprintf("%s waits again with %d events\n", id, w.Text.Last)
	}
	r := cf.Result{ID: id, State: cf.ItemDone, Output: strings.Join(w.Text.Data, "\n"), Versions: w.Text.Versions}
	if outcome != "done" {
		r = cf.Result{ID: id, State: cf.ItemFailed}
	}
	s.pending[w.Batch.Sub.ID].Add(r, s.now)
	return fmt.Sprintf("%s is %s\n", id, r.State)
}

func (s *session) list() string {
	var out []string
	for id, p := range s.pending {
		b := s.batches[id]
		if !p.Due(b, s.now) {
			continue
		}
		at, name := b.Page(0).Next, b.NextChunk()
		results := p.BeginWrite(s.now)
		b.Apply(name, results)
		p.EndWrite(b, s.now)
		for i, r := range results {
			out = append(out, fmt.Sprintf("%s position %d: %s %s with versions %v\n", id, at+i, r.ID, r.State, r.Versions))
		}
		out = append(out, fmt.Sprintf("%s: %d groups complete\n", id, b.CompleteGroups()))
	}
	return sorted(out)
}
