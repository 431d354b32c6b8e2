package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"currantford/platform/standin"
)

func startForRequests(t *testing.T, plains int) *deployment {
	t.Helper()
	return startDeployment(t, options{entries: 2, engines: 1, plainTargets: plains})
}

func (e *entry) post(path, id, body string) reply {
	e.t.Helper()
	r, err := e.do(http.MethodPost, path, id, []byte(body), "Currantford-Deadline-Ms", "1500")
	if err != nil {
		e.t.Logf("%s: %v", id, err)
	}
	return r
}

func countRuns(es []*standin.Engine, id string) int {
	n := 0
	for _, e := range es {
		for _, r := range e.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// responseStamp returns the stamp of a target's answer to a request that ran once.
func responseStamp(es []*standin.Engine, id string) string {
	for _, e := range es {
		for _, r := range e.Runs() {
			if r.ID == id {
				return r.Stamp
			}
		}
	}
	return ""
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	t.Parallel()
	s := startForRequests(t, 2)
	r := s.entries[0].post(plainPrefix+"a%2Fb?x=1%20", "r1", "reading")
	if r.status != http.StatusOK || string(r.body) != "echo reading" || r.header.Get("Currantford-Response-Stamp") != responseStamp(s.plainTargets, "r1") {
		t.Errorf("answer with status %d %q, stamp %q", r.status, r.body, r.header.Get("Currantford-Response-Stamp"))
	}
	if r := s.entries[0].post("/nowhere/", "r2", "x"); r.status != http.StatusNotFound {
		t.Errorf("no route: status %d, want 404", r.status)
	}
	if r := s.entries[0].post(plainPrefix+"a", "r3", strings.Repeat("x", 1<<20+1)); r.status != http.StatusRequestEntityTooLarge {
		t.Errorf("body over the limit: status %d, want 413", r.status)
	}
	for _, run := range s.plainTargets[0].Runs() {
		if run.DeadlineMs == "" {
			t.Error("a request without a deadline reached a target")
		}
	}
}

// TestMissingConfigurationReturnsUnavailable guards against 404 answers for routes that exist, from
// an instance that has just started and has no configuration yet because the store is down.
func TestMissingConfigurationReturnsUnavailable(t *testing.T) {
	t.Parallel()
	s := startForRequests(t, 1)
	s.store.SetFaults(standin.StoreFaults{Busy: true})
	for _, e := range s.entries {
		e.kill()
	}
	e := s.entries[0]
	e.start()
	eventually(t, "answer", func() bool {
		r, err := e.do(http.MethodPost, plainPrefix+"a", "r1", []byte("x"))
		if err == nil && r.status != http.StatusServiceUnavailable {
			t.Fatalf("status %d before any configuration is known, want 503", r.status)
		}
		return err == nil
	})
	if r, err := http.Get("http://" + e.readyAddr + "/currantford/ready"); err != nil || r.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness without a configuration: %v %v, want 503", r, err)
	} else {
		r.Body.Close()
	}
}

// TestBidRunsAtMostOnce guards against a bid that is recorded twice, or refused although it was
// recorded.
//
// Targets accept the bid and answer with the id of another request, or are at capacity. The fault
// occurs if a bid that may have run is retried, or is answered with 503.
func TestBidRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	s := startForRequests(t, 3)
	for _, e := range s.plainTargets {
		e.SetFaults(standin.EngineFaults{WrongRequestID: true})
	}
	r := s.entries[0].post("/bids/a", "bid1", "100")
	if n := countRuns(s.plainTargets, "bid1"); n != 1 {
		t.Errorf("the bid ran %d times, want once", n)
	}
	if r.status != http.StatusBadGateway {
		t.Errorf("status %d for a bid that may have run, want 502", r.status)
	}
	for _, e := range s.plainTargets {
		e.SetFaults(standin.EngineFaults{AtCapacity: true})
	}
	r = s.entries[0].post("/bids/a", "bid2", "100")
	if n := countRuns(s.plainTargets, "bid2"); n != 0 || r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
		t.Errorf("targets at capacity: status %d, Retry-After %q, ran %d times; want 503, a Retry-After and no run", r.status, r.header.Get("Retry-After"), n)
	}
}

// TestFailedBidIsNotRefused guards against a bid that is sent again after it was recorded, because the
// target failed with a status that promises the opposite.
func TestFailedBidIsNotRefused(t *testing.T) {
	t.Parallel()
	s := startForRequests(t, 2)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, e := range s.plainTargets {
			e.SetFaults(standin.EngineFaults{Status: status})
		}
		id := fmt.Sprintf("bid-%d", status)
		r := s.entries[0].post("/bids/a", id, "100")
		if n := countRuns(s.plainTargets, id); n != 1 || r.status != http.StatusBadGateway || r.header.Get("Currantford-Response-Stamp") != "" {
			t.Errorf("target failed with %d: status %d, stamp %q, ran %d times; want 502 without a stamp, and one run",
				status, r.status, r.header.Get("Currantford-Response-Stamp"), n)
		}
	}
}

// TestMismatchedAnswersAreNotForwarded guards against a caller that gets another caller's answer.
//
// One of two targets answers with the ids of other requests. Log readings may be repeated, so each
// caller gets its own answer from the other target.
func TestMismatchedAnswersAreNotForwarded(t *testing.T) {
	t.Parallel()
	s := startForRequests(t, 2)
	s.plainTargets[0].SetFaults(standin.EngineFaults{WrongRequestID: true})
	for i := range 20 {
		id, body := fmt.Sprintf("r%d", i), fmt.Sprintf("reading %d", i)
		r := s.entries[i%2].post(plainPrefix+"a", id, body)
		if r.status != http.StatusOK || string(r.body) != "echo "+body {
			t.Errorf("%s: status %d %q", id, r.status, r.body)
		}
	}
}

// TestRepeatedAnswersReachNoOtherCaller guards against a caller that gets the answer to another
// caller's request.
//
// Targets send some of their answers twice, the second time as the answer to the next request on
// the connection. Half of the requests are answered with 400.
func TestRepeatedAnswersReachNoOtherCaller(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 1, plainTargets: 2, repeatAnswers: true})
	for _, l := range s.repeats {
		l.SetShare(0.05)
	}
	var wg sync.WaitGroup
	var failed atomic.Int64
	for c := range 4 {
		wg.Go(func() {
			for i := range 100 {
				body, want := fmt.Sprintf("reading %d-%d", c, i), http.StatusOK
				if i%2 == 0 {
					body, want = standin.RejectedBody+" "+body, http.StatusBadRequest
				}
				r, tries := s.entries[i%2].postUntilAnswered(fmt.Sprintf("r%d-%d", c, i), body)
				failed.Add(int64(tries - 1))
				if r.status != want || string(r.body) != "echo "+body {
					t.Errorf("%s: status %d %q after %d tries, want %d and its own body", body, r.status, r.body, tries, want)
				}
			}
		})
	}
	wg.Wait()
	repeats := int64(0)
	for _, l := range s.repeats {
		repeats += l.Repeats()
	}
	t.Logf("%d answers sent twice, %d tries failed", repeats, failed.Load())
	if repeats == 0 {
		t.Error("no answer was sent twice")
	}
}

// postUntilAnswered sends a reading until it is answered by a target, each try with an ID of its own,
// and comes back when a refusal says so.
func (e *entry) postUntilAnswered(id, body string) (r reply, tries int) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		tries++
		r = e.post(plainPrefix+"a", fmt.Sprintf("%s-%d", id, tries), body)
		if r.status > 0 && r.status < http.StatusInternalServerError {
			return r, tries
		}
		after, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64) // a failure names no time
		time.Sleep(time.Duration(after * float64(time.Second)))
	}
	return r, tries
}

// TestDrainingTargetGetsNoNewWork guards against new work for a target that is draining.
func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	s := startForRequests(t, 2)
	s.plainTargets[0].Drain()
	time.Sleep(1500 * time.Millisecond)
	before := len(s.plainTargets[0].Runs())
	for i := range 20 {
		s.entries[i%2].post(plainPrefix+"a", fmt.Sprintf("r%d", i), "x")
	}
	if after := len(s.plainTargets[0].Runs()); after != before {
		t.Errorf("%d requests reached a draining target", after-before)
	}
}

// TestReusedAddressRunsNoRequest guards against a request that runs at another service whose target
// has taken over an address.
//
// A target is gone and its address belongs to a target of another service, while the instance list
// still shows the old target.
func TestReusedAddressRunsNoRequest(t *testing.T) {
	t.Parallel()
	s := startForRequests(t, 1)
	s.store.Put("servers", "i-ghost", map[string]any{
		"service": plainService, "addr": s.engines[0].Addr, "zone": "domain-a", "slots": 4, "state": "ready",
	})
	time.Sleep(time.Second)
	for i := range 10 {
		if r := s.entries[i%2].post(plainPrefix+"a", fmt.Sprintf("r%d", i), "x"); r.status != http.StatusOK {
			t.Errorf("status %d, want 200", r.status)
		}
	}
	if n := len(s.engines[0].Runs()); n != 0 {
		t.Errorf("%d requests ran at another service, want 0", n)
	}
}

// TestCallerDisconnectCancelsTarget guards against a target that keeps working for a caller that
// has disconnected.
func TestCallerDisconnectCancelsTarget(t *testing.T) {
	t.Parallel()
	s := startForRequests(t, 1)
	s.plainTargets[0].SetFaults(standin.EngineFaults{Unresponsive: true})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entries[0].callerAddr+"/bids/a", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = host
	req.Header.Set("Currantford-Request-Id", "r1")
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
	}()
	eventually(t, "run at the target", func() bool { return countRuns(s.plainTargets, "r1") == 1 })
	cancel()
	eventually(t, "idle target", func() bool { return s.plainTargets[0].Running() == 0 })
}

// TestConfigurationReachesAllInstances guards against a configuration that does not come into
// force, or an older one that returns.
//
// The route is removed, and the store drops its history; then the coordinator is frozen, so that
// the other instances have to watch the store themselves, and the route is added again.
func TestConfigurationReachesAllInstances(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 1, plainTargets: 1})
	putConfig := func(version int, keepRoutes bool) {
		c := map[string]any{}
		raw, _ := json.Marshal(s.config)
		_ = json.Unmarshal(raw, &c)
		c["version"] = version
		if !keepRoutes {
			c["routes"] = c["routes"].([]any)[:1]
		}
		s.store.Put("config", "main", c)
	}
	inForce := func(e *entry, want int) bool {
		r, err := e.do(http.MethodPost, plainPrefix+"a", "r", []byte("x"))
		return err == nil && r.status == want
	}
	s.store.DropHistory()
	putConfig(5, false)
	s.store.DropHistory()
	for _, e := range s.entries {
		eventually(t, "removal of the route at "+e.id, func() bool { return inForce(e, http.StatusNotFound) })
	}
	frozen := s.coordinator()
	frozen.signal(syscall.SIGSTOP)
	putConfig(9, true)
	for _, e := range s.entries {
		if e == frozen {
			continue
		}
		eventually(t, "added route at "+e.id, func() bool { return inForce(e, http.StatusOK) })
	}
	frozen.signal(syscall.SIGCONT)
	eventually(t, "added route at the frozen entry", func() bool { return inForce(frozen, http.StatusOK) })
	for range 20 {
		for _, e := range s.entries {
			if !inForce(e, http.StatusOK) {
				t.Errorf("%s returned to an older configuration", e.id)
			}
		}
	}
}

// TestGracefulShutdownInterruptsNothing guards against a graceful shutdown that interrupts requests
// or loses the coordinator's work.
//
// The coordinator gets SIGTERM while requests keep arriving on persistent connections and a step is
// running.
func TestGracefulShutdownInterruptsNothing(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 2, plainTargets: 2, eventInterval: 20 * time.Millisecond})
	b := newStep("b1", "m0", 2, 4, 60)
	s.submitUntilAccepted(b)
	e := s.coordinator()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("r%d-%d", i, n)
				r, err := e.do(http.MethodPost, "/bids/a", id, []byte("x"))
				if err != nil {
					if countRuns(s.plainTargets, id) > 0 {
						t.Errorf("%s was interrupted: %v", id, err)
					}
					return // the instance does not listen any more
				}
				if r.status != http.StatusOK {
					t.Errorf("%s: status %d, want 200", id, r.status)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	e.signal(syscall.SIGTERM)
	eventually(t, "unready state", func() bool {
		r, err := http.Get("http://" + e.readyAddr + "/currantford/ready")
		if err != nil {
			return true
		}
		r.Body.Close()
		return r.StatusCode == http.StatusServiceUnavailable
	})
	s.readAll(b)
	<-e.done
	close(stop)
	wg.Wait()
	for id, runs := range s.engineRuns() {
		if last := runs[len(runs)-1]; len(runs) > 1 && last.ResumeAfter == 0 {
			t.Errorf("item %s started again after the graceful shutdown", id)
		}
	}
}

// TestIdleDeploymentMakesFewStoreCalls checks that an idle deployment makes few store calls,
// however many entry instances run.
func TestIdleDeploymentMakesFewStoreCalls(t *testing.T) {
	t.Parallel()
	calls := func(entries int) int {
		s := startDeployment(t, options{entries: entries, engines: 1})
		time.Sleep(2 * time.Second)
		count := func() int {
			n := 0
			for _, c := range s.store.Calls() {
				n += c
			}
			return n
		}
		before := count()
		time.Sleep(3 * time.Second)
		return count() - before
	}
	two, six := calls(2), calls(6)
	t.Logf("calls to the store in 3 s: 2 entries %d, 6 entries %d", two, six)
	if six > 2*two {
		t.Errorf("calls grow with the number of entries: %d for 2, %d for 6", two, six)
	}
}
