package systemtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"currantford/platform/standin"
)

// TestStepIsCompleted checks that, without faults, a step that is accepted at one entry instance
// runs on the engines and can be read at every entry instance.
func TestStepIsCompleted(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 3})
	b := newStep("b1", "m0", 4, 4, 10)
	s.submitUntilAccepted(b)
	s.readAll(b)
	body, err := s.nonCoordinator().do(http.MethodGet, "/currantford/items/b1?id="+b.Items[0].ID, "", nil)
	if err != nil || string(body.body) != "prompt" {
		t.Errorf("body of an item: %q, want \"prompt\"; error %v", body.body, err)
	}
}

// TestLostAndDelayedWriteResponses guards against a batch that is accepted and never runs.
//
// The store executes writes and loses their answers, or executes them 700 ms late. The entry
// instance that received the batch retries, and the caller submits the batch again at another one.
// The fault occurs if a lost answer is taken for a refusal, or if a late duplicate write of a chunk
// of results lists items twice.
func TestLostAndDelayedWriteResponses(t *testing.T) {
	for _, delay := range []time.Duration{0, 700 * time.Millisecond} {
		t.Run(fmt.Sprint("late_", delay), func(t *testing.T) {
			t.Parallel()
			s := startDeployment(t, options{entries: 3, engines: 3})
			s.store.SetFaults(standin.StoreFaults{DropResponseEvery: 2, DroppedWriteDelay: delay})
			batches := []batch{newStep("b1", "m0", 4, 4, 15), newStep("b2", "m0", 4, 4, 25)}
			for _, b := range batches {
				s.submitUntilAccepted(b)
			}
			time.Sleep(time.Second)
			s.store.SetFaults(standin.StoreFaults{})
			for _, b := range batches {
				s.readAll(b)
			}
		})
	}
}

// TestLargeStep guards against a step that is never accepted because it is larger than one object
// of the store.
func TestLargeStep(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 4, valueBytes: 80 << 10, eventInterval: time.Millisecond})
	b := newStep("b1", "m0", 60, 4, 3)
	s.submitUntilAccepted(b)
	old := s.coordinator()
	old.kill()
	s.awaitCoordinator(old.id) // the new coordinator reads the parts from the store
	s.readAll(b)
	body, err := s.coordinator().do(http.MethodGet, "/currantford/items/b1?id="+b.Items[200].ID, "", nil)
	if err != nil || string(body.body) != "prompt" {
		t.Errorf("body of an item: %q, want \"prompt\"; error %v", body.body, err)
	}
}

// TestDuplicateSubmission guards against a step that is accepted twice and whose items are listed
// twice.
//
// The submitter gets no answer and submits the step at another entry instance while the first one
// is still processing it. The fault occurs if each entry instance decides on acceptance alone.
func TestDuplicateSubmission(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 2})
	b := newStep("b1", "m0", 3, 4, 10)
	statuses := make(chan int, 6)
	for i := range 6 {
		go func() { statuses <- s.entries[i%3].submit(b).status }()
	}
	for range 6 {
		if st := <-statuses; st != http.StatusAccepted {
			t.Errorf("submit: status %d, want 202", st)
		}
	}
	s.readAll(b)
	if n := len(s.store.Names("currantford-batches")); n != 1 {
		t.Errorf("%d batches in the store, want 1", n)
	}
}

// TestRefusedBatchNeverRuns guards against a batch that is refused with 503 and runs later.
//
// The store answers 503 to every call, a batch is submitted and refused, and the store recovers.
// The fault occurs if a batch is refused while a write may still take effect.
func TestRefusedBatchNeverRuns(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 2})
	s.store.SetFaults(standin.StoreFaults{Busy: true})
	b := newStep("b1", "m0", 2, 2, 5)
	r := s.nonCoordinator().submit(b)
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
		t.Errorf("submit during the outage: status %d, Retry-After %q; want 503 and a Retry-After", r.status, r.header.Get("Retry-After"))
	}
	s.store.SetFaults(standin.StoreFaults{})
	time.Sleep(1500 * time.Millisecond)
	if runs := s.engineRuns(); len(runs) != 0 {
		t.Errorf("%d items of a refused batch ran, want 0", len(runs))
	}
	if _, r, _ := s.nonCoordinator().readResults("b1", 0, 0); r.status != http.StatusNotFound {
		t.Errorf("read of a refused batch: status %d, want 404", r.status)
	}
}

// TestUnansweredWriteReturnsGatewayTimeout guards against a batch that is reported as not run (503)
// although its write was not answered and may take effect.
//
// The store accepts connections and answers no call.
func TestUnansweredWriteReturnsGatewayTimeout(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 2})
	s.store.SetFaults(standin.StoreFaults{Down: true})
	if r := s.nonCoordinator().submit(newStep("b1", "m0", 2, 2, 5)); r.status != http.StatusGatewayTimeout {
		t.Errorf("submit: status %d, want 504, since the write may still take effect", r.status)
	}
}

// TestInterruptedStreamsAreResumed guards against an item's text that lacks an event or has one
// twice.
//
// Each run of an item is interrupted in the middle of an event after 4 complete events, and the
// item is resumed at any engine until its text is complete. The fault occurs if an incomplete event
// is counted, or if two runs are joined without Last-Event-Id.
func TestInterruptedStreamsAreResumed(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 3})
	for _, e := range s.engines {
		e.SetFaults(standin.EngineFaults{AbortAfterEvents: 4})
	}
	b := newStep("b1", "m0", 1, 3, 11)
	s.submitUntilAccepted(b)
	s.readAll(b)
	for id, runs := range s.engineRuns() {
		last := 0
		for _, r := range runs {
			if r.ResumeAfter != 0 && r.ResumeAfter <= last {
				t.Errorf("item %s resumed after event %d, its previous run after event %d", id, r.ResumeAfter, last)
			}
			last = r.ResumeAfter
		}
		if len(runs) < 3 {
			t.Errorf("item %s of 11 events ran %d times with 4 events per run, want 3 or more", id, len(runs))
		}
	}
}

// TestFailingItemsStopAfterMaxAttempts guards against an item that cannot succeed and is retried
// forever, or that is abandoned after one failure.
//
// Every engine answers 500 (the attempt failed) or 422 (the item can never succeed).
func TestFailingItemsStopAfterMaxAttempts(t *testing.T) {
	for status, want := range map[int]int{http.StatusInternalServerError: 3, http.StatusUnprocessableEntity: 1} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			s := startDeployment(t, options{entries: 2, engines: 4})
			for _, e := range s.engines {
				e.SetFaults(standin.EngineFaults{Status: status})
			}
			b := newStep("b1", "m0", 1, 2, 5)
			s.submitUntilAccepted(b)
			for _, r := range s.readAll(b) {
				if r.State != "down" {
					t.Errorf("item %s has state %s, want down", r.ID, r.State)
				}
			}
			for id, runs := range s.engineRuns() {
				if len(runs) != want {
					t.Errorf("item %s reached engines %d times, want %d", id, len(runs), want)
				}
			}
		})
	}
}

// TestDeletedBatchStartsNoItems guards against an item that runs after its batch was deleted.
//
// A batch with more items than slots is deleted while most items are waiting. Then the coordinator
// is killed, and its successor reads the batch from the store. The fault occurs if only one process
// knows of the deletion.
func TestDeletedBatchStartsNoItems(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 1, eventInterval: 50 * time.Millisecond})
	b := newStep("b1", "m0", 5, 4, 40)
	s.submitUntilAccepted(b)
	eventually(t, "runs", func() bool { return len(s.engineRuns()) > 0 })
	eventually(t, "acknowledgement of the deletion", func() bool {
		r, err := s.nonCoordinator().do(http.MethodDelete, "/currantford/lots/b1", "", nil)
		return err == nil && r.status == http.StatusOK
	})
	time.Sleep(300 * time.Millisecond)
	before := len(s.engineRuns())
	old := s.coordinator()
	old.kill()
	s.awaitCoordinator(old.id)
	next := newStep("b2", "m0", 1, 2, 3)
	s.submitUntilAccepted(next)
	s.readAll(next)
	if after := len(s.engineRuns()); after != before+2 {
		t.Errorf("%d items of the batch ran after its deletion", after-before-2)
	}
}

// TestStepsUseAnnouncedVersions guards against a sample that names weights other than those that
// generated it, or weights older than its step allows, and against an engine that never gets the
// new weights.
//
// A trainer announces one version after another and submits steps that require at least the
// previous version.
func TestStepsUseAnnouncedVersions(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 4, models: []string{"m0", "m1"}})
	for v := 1; v <= 4; v++ {
		for _, m := range []string{"m0", "m1"} {
			if v > 1 {
				s.announceVersion(m, v)
			}
			b := newStep(fmt.Sprintf("%s-s%d", m, v), m, 2, 4, 6)
			b.Step, b.MinVersion = v, max(v-1, 1)
			s.submitUntilAccepted(b)
			results := s.readAll(b)
			ranWith := map[string]map[int64]bool{}
			for id, runs := range s.engineRuns() {
				ranWith[id] = map[int64]bool{}
				for _, r := range runs {
					ranWith[id][r.Version] = true
				}
			}
			for _, r := range results {
				if len(r.Versions) == 0 || !ranWith[r.ID][int64(r.Versions[0])] {
					t.Errorf("item %s reports versions %v, but engines ran it with %v", r.ID, r.Versions, ranWith[r.ID])
				}
			}
			if r, err := s.entries[0].do(http.MethodDelete, "/currantford/lots/"+b.id, "", nil); err != nil || r.status != http.StatusOK {
				t.Errorf("delete: status %d, error %v", r.status, err)
			}
		}
	}
	for _, e := range s.engines {
		for _, o := range e.Orders() {
			if o.Fence == 0 {
				t.Errorf("order without a fencing number: %+v", o)
			}
		}
	}
}

// checkWeightOrders checks the weight orders that each engine received: fencing numbers never
// decrease, each number has one owner, and the orders of two owners arrive at least 3 s apart. The
// arrival time counts, because an engine may execute an order late.
func checkWeightOrders(t *testing.T, s *deployment) {
	t.Helper()
	for n, e := range s.engines {
		orders := e.Orders()
		for i := 1; i < len(orders); i++ {
			a, b := orders[i-1], orders[i]
			if b.Fence < a.Fence {
				t.Errorf("%s: fencing number %d after %d", e.ID, b.Fence, a.Fence)
			}
			if a.Owner != b.Owner && (a.Fence == b.Fence || b.ReceivedAt.Sub(a.ReceivedAt) < 3*time.Second) {
				healed := time.Duration(0)
				if n < len(s.engineLinks) {
					healed = s.engineLinks[n].sinceHeal(a.ReceivedAt)
				}
				t.Errorf("%s: orders %+v and %+v: %s between executions, %s between arrivals; the first one came %s after its link healed (0s: no heal before)",
					e.ID, a, b, b.ExecutedAt.Sub(a.ExecutedAt), b.ReceivedAt.Sub(a.ReceivedAt), healed)
			}
		}
	}
}

// TestDelayedOrderDoesNotRestoreOldWeights guards against an order that its engine executes late
// and that restores old weights.
//
// The engine leaves an order unanswered and executes it 1.5 s later, when a newer version has been
// ordered. The fault occurs if an order does not carry the engine's order count.
func TestDelayedOrderDoesNotRestoreOldWeights(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 1, weightLoadTime: 50 * time.Millisecond})
	s.engines[0].SetFaults(standin.EngineFaults{OrderDelay: 1500 * time.Millisecond})
	s.announceVersion("m0", 2)
	time.Sleep(500 * time.Millisecond)
	s.engines[0].SetFaults(standin.EngineFaults{})
	s.announceVersion("m0", 3)
	eventually(t, "version 3", func() bool { return s.engines[0].Version("m0") == 3 })
	time.Sleep(2 * time.Second)
	if v := s.engines[0].Version("m0"); v != 3 {
		t.Errorf("version %d after a delayed order, want 3", v)
	}
	last := int64(0)
	for _, o := range s.engines[0].Orders() {
		if o.Version < last {
			t.Errorf("version %d ordered after %d", o.Version, last)
		}
		last = o.Version
	}
}

// TestRetirementCompletesAtOnce guards against a retirement that never completes. Instances hold
// nothing that has to outlive them, so a retirement completes at once.
func TestRetirementCompletesAtOnce(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 1})
	s.store.Put("retirements", "disk-1", map[string]any{"over-s": 10})
	eventually(t, "completion of the retirement", func() bool {
		var st struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal(s.store.Status("retirements", "disk-1"), &st)
		return st.State == "done"
	})
}

// TestEnginesRestartWithSameIDs guards against an engine that gets no work and no weights after a
// restart.
//
// Engines restart under the same ids, with older weights and with order counts that start from
// zero, one of them while it loads weights; steps continue meanwhile. The fault occurs if the
// versions and order counts of the previous process are taken for those of the new one.
func TestEnginesRestartWithSameIDs(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 2, weightLoadTime: 300 * time.Millisecond})
	for v := 2; v <= 3; v++ {
		s.announceVersion("m0", v)
		eventually(t, "version", func() bool { return s.engines[0].Version("m0") == int64(v) && s.engines[1].Version("m0") == int64(v) })
	}
	s.engines[0].Restart(1)
	s.engines[1].Restart(2)
	b := newStep("b1", "m0", 3, 4, 5)
	b.MinVersion = 3
	s.submitUntilAccepted(b)
	s.readAll(b)
	s.announceVersion("m0", 4)
	eventually(t, "order of version 4", func() bool {
		o := s.engines[0].Orders()
		return o[len(o)-1].Version == 4
	})
	s.engines[0].Restart(3)
	eventually(t, "version 4 at all engines", func() bool { return s.engines[0].Version("m0") == 4 && s.engines[1].Version("m0") == 4 })
	next := newStep("b2", "m0", 3, 4, 5)
	next.MinVersion = 4
	s.submitUntilAccepted(next)
	s.readAll(next)
}

// TestMalformedInstanceListEntriesAreIgnored guards against calls to an address that no target has,
// and against the loss of a whole service.
//
// Another writer puts entries into the instance list that lack fields, have fields of the wrong
// type or unknown values, or replace a target's own entry.
func TestMalformedInstanceListEntriesAreIgnored(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 2, plainTargets: 2})
	for name, spec := range map[string]any{
		"x-text":    "not an entry",
		"x-null":    nil,
		"x-list":    []int{1, 2},
		"x-missing": map[string]any{"service": engineService},
		"x-types":   map[string]any{"service": 7, "addr": true, "slots": "many", "state": "ready", "models": "none"},
		"x-state":   map[string]any{"service": engineService, "addr": "127.0.0.1:9", "zone": "domain-a", "slots": 4, "state": "resting", "models": []any{}},
		"x-addr":    map[string]any{"service": engineService, "addr": "nowhere", "zone": "domain-a", "slots": 4, "state": "ready"},
		"x-service": map[string]any{"service": "unknown", "addr": "127.0.0.1:9", "zone": "domain-a", "slots": 4, "state": "ready"},
		"x-born":    map[string]any{"service": plainService, "addr": "127.0.0.1:9", "zone": "domain-a", "slots": 4, "state": "ready", "born": "today"},
		"i-plain-1": map[string]any{"service": plainService, "state": "ready"},
	} {
		s.store.Put("servers", name, spec)
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 12 {
		id := fmt.Sprint("r", i)
		if r := s.entries[i%2].post(plainPrefix+"a", id, "x"); r.status != http.StatusOK {
			t.Errorf("request %s: status %d, want 200", id, r.status)
		}
	}
	b := newStep("b1", "m0", 3, 4, 5)
	s.submitUntilAccepted(b)
	old := s.coordinator()
	old.kill()
	s.awaitCoordinator(old.id) // the new coordinator reads the whole instance list
	s.readAll(b)
	if n := len(s.plainTargets[1].Runs()); n != 0 {
		t.Errorf("%d requests went to a target whose entry is malformed", n)
	}
}
