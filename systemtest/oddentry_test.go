package systemtest

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// oddEntries are entries of the instance list that name no sound target, by what is odd about them.
func oddEntries() map[string]string {
	entry := func(service, more string) string {
		return fmt.Sprintf(`{"service":%q,"addr":"127.0.0.1:1","zone":"domain-a","slots":4,"state":"ready","seq":1%s}`, service, more)
	}
	nested := strings.Repeat("[", 500_000) + strings.Repeat("]", 500_000)
	out := map[string]string{}
	for _, service := range []string{plainService, engineService} {
		out[service+"-nested"] = entry(service, `,"x":`+nested)
		out[service+"-large-number"] = entry(service, `,"x":1e400,"slots":1e400`)
		out[service+"-large-integer"] = entry(service, `,"slots":9223372036854775807`)
		out[service+"-many-digits"] = entry(service, `,"slots":`+strings.Repeat("9", 5000))
		out[service+"-large-start"] = entry(service, `,"born":9223372036854775807,"models":[{"name":"m0","version":9223372036854775807}]`)
		out[service+"-large-notice"] = entry(service, `,"state":"draining","spot":true,"leaves_ms":1e300`)
		out[service+"-large-port"] = entry(service, `,"addr":"127.0.0.1:70000"`)
		out[service+"-negative-port"] = entry(service, `,"addr":"127.0.0.1:-1"`)
		out[service+"-no-port"] = entry(service, `,"addr":"127.0.0.1"`)
		out[service+"-large-address"] = entry(service, `,"addr":"127.0.0.256:1"`)
	}
	out["nested-as-a-whole"] = nested
	out["text"] = `"x"`
	return out
}

// TestOddEntriesEndNoProcess guards against processes that end, or stop following the list of
// targets, because of an odd entry among the targets.
func TestOddEntriesEndNoProcess(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 2, plainTargets: 2, memoryMB: 134})
	pids := map[*entry]int{}
	note := func(e *entry) { pids[e] = e.cmd.Process.Pid }
	for _, e := range s.entries {
		note(e)
	}
	check := func(when string) {
		t.Helper()
		for _, e := range s.entries {
			peak, err := peakMemory(pids[e])
			if err != nil {
				t.Fatalf("%s: %s has ended: %v", when, e.id, err)
			}
			if t.Logf("%s: peak memory of %s: %d MB", when, e.id, peak>>20); peak > 134<<20 {
				t.Errorf("%s: peak memory of %s is %d MB", when, e.id, peak>>20)
			}
		}
		for i := range 20 {
			id := fmt.Sprintf("%s-%d", when, i)
			r := s.entries[i%2].post(plainPrefix+"a", id, "x")
			for try := 0; try < 20 && r.status == http.StatusServiceUnavailable; try++ {
				time.Sleep(50 * time.Millisecond) // an instance that has just started may refuse
				r = s.entries[i%2].post(plainPrefix+"a", id, "x")
			}
			if r.status != http.StatusOK {
				t.Errorf("%s: status %d", id, r.status)
			}
		}
	}
	check("before")
	for name, spec := range oddEntries() {
		s.store.PutRaw("servers", "i-odd-"+name, spec)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	check("with the entries")
	b := newStep("b1", "m0", 2, 4, 10)
	s.submitUntilAccepted(b)
	s.readAll(b)
	// A process that starts reads the whole list.
	for _, e := range s.entries {
		e.signal(syscall.SIGTERM)
		<-e.done
		e.start()
		e.awaitReady()
		note(e)
	}
	s.awaitCoordinator("")
	check("after a start")
	// Later changes of the list are followed: the targets so far leave, and another one comes.
	late := s.newTarget("i-plain-late", plainService, nil, options{})
	for _, e := range s.plainTargets {
		e.Drain()
	}
	eventually(t, "a request at the new target", func() bool {
		s.entries[0].post(plainPrefix+"a", fmt.Sprintf("late-%d", time.Now().UnixNano()), "x")
		return len(late.Runs()) > 0
	})
	b = newStep("b2", "m0", 2, 4, 10)
	s.submitUntilAccepted(b)
	s.readAll(b)
	check("at the end")
}

// TestNestedBatchesEndNoProcess guards against a process that runs out of memory because callers send
// deeply nested batches.
func TestNestedBatchesEndNoProcess(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 1, engines: 1, plainTargets: 1, memoryMB: 134})
	body := []byte(`{"step":1,"model":"m0","min-version":1,"target-groups":1,"items":[],"x":` + strings.Repeat("[", 400_000) + strings.Repeat("]", 400_000) + `}`)
	done := make(chan int)
	for i := range 20 {
		go func() {
			r, err := s.entries[0].do(http.MethodPost, batchPrefix+"nested", fmt.Sprintf("nested-%d", i), body)
			if err != nil {
				t.Logf("batch %d: %v", i, err)
			}
			done <- r.status
		}()
	}
	for range 20 {
		if status := <-done; status != http.StatusBadRequest && status != http.StatusServiceUnavailable {
			t.Errorf("status %d for a nested batch, want 400", status)
		}
	}
	peak, err := peakMemory(s.entries[0].cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	if t.Logf("peak memory: %d MB", peak>>20); peak > 134<<20 {
		t.Errorf("peak memory is %d MB", peak>>20)
	}
	if r := s.entries[0].post(plainPrefix+"a", "after", "x"); r.status != http.StatusOK {
		t.Errorf("status %d after the batches", r.status)
	}
}
