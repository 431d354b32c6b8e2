package cftrial_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"currantford/platform/standin"
	"currantford/testbed/cftrial"
)

// Every plan that the project ships is valid.
func TestShippedPlansAreValid(t *testing.T) {
	for _, name := range []string{"slow-engine", "store-outage", "on-call"} {
		if _, err := cftrial.ReadPlan(filepath.Join("..", "..", "scripts", "plans", name+".json")); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestPlanFaultsNameTheirPath(t *testing.T) {
	p := cftrial.Plan{Faults: []cftrial.Fault{{Kind: "rain"}}}
	err := p.Check()
	for _, path := range []string{"$.seconds", "$.seeds", "$.site.models", "$.faults[0].kind", "$.faults[0].for_ms"} {
		if err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s is not named in %v", path, err)
		}
	}
}

// The report compares the groups' figures and draws them.
func TestReportShowsBothGroups(t *testing.T) {
	r := cftrial.Report{Plan: cftrial.Plan{Name: "a plan"}}
	for i, name := range []string{"now", "other"} {
		g := cftrial.GroupReport{Name: name, StoreCalls: map[string]int{"GET x": 3}}
		for n := range 10 {
			g.Steps = append(g.Steps, standin.StepReport{TookMs: float64(100 * (n + 1 + i)), IdleMs: 10, Completed: n > 0, MeanStaleness: 0.5})
			g.Calls = append(g.Calls, standin.CallReport{TookMs: float64(n), Status: 200})
		}
		r.Groups = append(r.Groups, g)
	}
	s := r.Summaries()
	if len(s) != 2 || s[0].StepsCompleted != 9 || s[0].StepP50 != 600 || s[1].StepP50 != 700 || s[0].StoreCalls != 3 || s[0].CallsOK != 10 {
		t.Errorf("summaries: %+v", s)
	}
	path := filepath.Join(t.TempDir(), "report.html")
	if err := r.WriteHTML(path); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a plan", "<th>now</th>", "<th>other</th>", "<svg"} {
		if !strings.Contains(string(raw), want) {
			t.Errorf("the report lacks %q", want)
		}
	}
	if n := strings.Count(string(raw), "<svg"); n != 3 {
		t.Errorf("%d plots, want 3", n)
	}
}
