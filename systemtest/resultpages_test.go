package systemtest

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"currantford/platform/standin"
)

// TestResultPagesBypassCoordinatorLink guards against late result chunks and lease renewals on
// machines with slow links while other callers read results.
//
// A step is listed and read by many callers, each from the first result on, and the coordinator's
// link cannot carry all these pages. Above a share of its link, the coordinator therefore answers
// with the location of the results in the store, and the instance that was asked reads them there.
// While the store is down, the coordinator sends the results itself.
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
			t.Fatalf("page of %d results, status %d: %v", len(p.Results), r.status, err)
		}
	}
	raw, err := os.ReadFile(e.logPath)
	if err != nil || !strings.Contains(string(raw), `"results_read_apart"`) {
		t.Errorf("no page was read from the store: %v", err)
	}
	s.store.SetFaults(standin.StoreFaults{Down: true})
	p, r, err := e.readResults(b.id, 0, 0)
	if err != nil || len(p.Results) == 0 || !reflect.DeepEqual(p.Results, want[:len(p.Results)]) {
		t.Errorf("while the store is down: page of %d results, status %d: %v", len(p.Results), r.status, err)
	}
}
