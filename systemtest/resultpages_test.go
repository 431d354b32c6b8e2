package systemtest

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"currantford/platform/standin"
)

// Symptom: on machines with weak links a step's chunks and the lease's renewals are
// late while other callers read results.
// Sequence: a step is listed and read by many, from its beginning each time; the
// coordinator's link has no room for all these pages.
// Cause: every page passed the coordinator. Beyond a part of its link it says where
// the results lie in the store, and whoever was asked reads them there; while the
// store is away it gives them itself.
func TestResultPagesBypassCoordinatorLink(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 3, linkMbps: 0.01})
	b := newStep("b1", "m0", 8, 6, 150)
	s.submitUntilAccepted(b)
	want := s.readAll(b)
	e := s.nonCoordinator()
	for range 3 {
		p, r, err := e.readResults(b.id, 0, 0)
		if err != nil || len(p.Results) == 0 || !reflect.DeepEqual(p.Results, want[:len(p.Results)]) {
			t.Fatalf("a page of %d results, status %d: %v", len(p.Results), r.status, err)
		}
	}
	raw, err := os.ReadFile(e.logPath)
	if err != nil || !strings.Contains(string(raw), `"results_read_apart"`) {
		t.Errorf("no page was read from the store: %v", err)
	}
	s.store.SetFaults(standin.StoreFaults{Down: true})
	p, r, err := e.readResults(b.id, 0, 0)
	if err != nil || len(p.Results) == 0 || !reflect.DeepEqual(p.Results, want[:len(p.Results)]) {
		t.Errorf("while the store is away: a page of %d results, status %d: %v", len(p.Results), r.status, err)
	}
}
