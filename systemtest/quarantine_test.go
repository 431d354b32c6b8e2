package systemtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"currantford/platform/standin"
)

// startWithCrashes starts a deployment whose targets can crash.
func startWithCrashes(t *testing.T, entries, engines, plains int) *deployment {
	t.Helper()
	return startDeployment(t, options{entries: entries, engines: engines, plainTargets: plains, crashDowntime: crashDowntime})
}

// awaitMembership waits until each entry instance lists all entry instances.
func (s *deployment) awaitMembership() {
	s.t.Helper()
	eventually(s.t, "complete membership at each entry", func() bool {
		for _, e := range s.entries {
			resp, err := http.Get("http://" + e.directoryAddr + "/currantford/resolve?name=" + host + "&zone=domain-a")
			if err != nil {
				return false
			}
			var known struct {
				Addrs []string `json:"addrs"`
			}
			err = json.NewDecoder(resp.Body).Decode(&known)
			resp.Body.Close()
			if err != nil || len(known.Addrs) < len(s.entries) {
				return false
			}
		}
		return true
	})
}

// quarantine sends a request until it has crashed three targets, so that it is quarantined ("held"
// in answers and logs).
func (s *deployment) quarantine(body string) {
	s.t.Helper()
	eventually(s.t, "third crash", func() bool {
		n := len(s.crashesOf(body))
		if n < 3 {
			s.entries[n%len(s.entries)].post(plainPrefix+"bids", fmt.Sprintf("hold-%s-%d", body, n), body)
		}
		return n >= 3
	})
	s.awaitTargets(s.plainTargets)
}

// checkRefusedAt checks that an instance refuses a quarantined request immediately, with the true
// reason and a Retry-After, and does not send it to a target.
func (s *deployment) checkRefusedAt(e *entry, body string) {
	s.t.Helper()
	s.checkRefusedPath(e, plainPrefix+"bids", body)
}

// checkRefusedPath does the checks of checkRefusedAt for any path.
func (s *deployment) checkRefusedPath(e *entry, path, body string) {
	s.t.Helper()
	before := len(s.runStartTimes(body))
	began := time.Now()
	r := e.post(path, "held-"+e.id+"-"+strconv.Itoa(int(began.UnixNano())), body)
	if n := len(s.runStartTimes(body)); n != before {
		s.t.Errorf("%s sent a quarantined request to targets: %d more runs", e.id, n-before)
	}
	after, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if r.status != http.StatusServiceUnavailable || after < 60 || !strings.Contains(string(r.body), "held") {
		s.t.Errorf("%s answered a quarantined request with status %d, Retry-After %q: %s", e.id, r.status, r.header.Get("Retry-After"), r.body)
	}
}

// TestQuarantineSurvivesRestarts guards against a quarantined request that crashes targets again
// after a restart.
//
// The instances that observed its crashes are stopped and started one after another, then all are
// killed at once; the request is sent to each instance that has just started. The fault occurs if
// the quarantine exists only in the memory of the instances that observed the crashes.
func TestQuarantineSurvivesRestarts(t *testing.T) {
	t.Parallel()
	s := startWithCrashes(t, 3, 1, 3)
	const body = standin.CrashingBody + " outlives"
	s.quarantine(body)
	before := len(s.runStartTimes(body))
	for _, e := range s.entries {
		e.signal(syscall.SIGTERM)
		<-e.done
		e.start()
		e.awaitReady()
		s.checkRefusedAt(e, body)
	}
	s.awaitCoordinator("")
	eventually(t, "quarantine in the store", func() bool { return s.store.Spec("currantford-quarantine", "held") != nil })
	for _, e := range s.entries {
		e.kill()
	}
	for _, e := range s.entries {
		e.start()
	}
	for _, e := range s.entries {
		e.awaitReady()
		s.checkRefusedAt(e, body)
	}
	if n := len(s.runStartTimes(body)); n != before {
		t.Errorf("%d runs after the restarts, %d before", n, before)
	}
}

// TestQuarantineDuringStoreOutage guards against a quarantined request that crashes targets again
// during a store outage.
//
// The store is down while the request crashes its targets, one instance is frozen meanwhile, and
// then the coordinator is killed. The fault occurs if an observation reaches other instances only
// through the store or only through the coordinator.
func TestQuarantineDuringStoreOutage(t *testing.T) {
	t.Parallel()
	s := startWithCrashes(t, 4, 1, 6)
	const body = standin.CrashingBody + " outage"
	s.awaitMembership()
	c := s.coordinator()
	var frozen, first *entry
	for _, e := range s.entries {
		switch {
		case e == c:
		case frozen == nil:
			frozen = e
		default:
			first = e
		}
	}
	s.store.SetFaults(standin.StoreFaults{Down: true})
	frozen.signal(syscall.SIGSTOP)
	for n := 0; len(s.crashesOf(body)) < 3; n++ {
		first.post(plainPrefix+"bids", fmt.Sprintf("outage-%d", n), body)
	}
	time.Sleep(propagationTime)
	for _, e := range s.entries {
		if e != frozen {
			s.checkRefusedAt(e, body)
		}
	}
	c.kill()
	frozen.signal(syscall.SIGCONT)
	time.Sleep(propagationTime)
	for _, e := range s.entries {
		if e != c {
			s.checkRefusedAt(e, body)
		}
	}
	s.store.SetFaults(standin.StoreFaults{})
}

// checkRetryDelays checks that work which crashes every target was retried as often as its backoff
// allows: three attempts without delay, then after 1, 2, 4, 4, ... s until its deadline.
func (s *deployment) checkRetryDelays(body string, minRuns, maxRuns int) {
	s.t.Helper()
	runs, crashes := s.runStartTimes(body), s.crashesOf(body)
	if n := len(crashes); n < minRuns || n > maxRuns || len(runs) != n {
		s.t.Errorf("%d targets crashed in %d runs of %q, want %d to %d, one crash per run", n, len(runs), body, minRuns, maxRuns)
	}
	for i := 3; i < min(len(runs), len(crashes)); i++ {
		pause := []time.Duration{time.Second, 2 * time.Second, 4 * time.Second}[min(i-3, 2)]
		if waited := runs[i].Sub(crashes[i-1].At); waited < pause {
			s.t.Errorf("run %d of %q started %s after the previous crash, want %s or more", i+1, body, waited, pause)
		}
	}
}

// TestCrashingItemsAreRetriedWithBackoff guards against an item, or its reward call, that crashes
// target after target without a delay, and against one that is not retried for as long as its batch
// waits for it. A caller's request with the same body must still be quarantined.
func TestCrashingItemsAreRetriedWithBackoff(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 4, plainTargets: 4, crashDowntime: crashDowntime, config: func(c map[string]any) {
		c["routes"].([]map[string]any)[0]["max-wait-s"] = 9.0 // the allowance for clock differences between instances adds 5 s
	}})
	b := withRewards(newStep("b-crash", "m0", 4, 3, 12))
	item, call := standin.CrashingBody+" item", standin.CrashingBody+" reward"
	b.Items[1].Body = []byte(item)
	b.Items[7].Reward.Body = []byte(call)
	s.submitUntilAccepted(b)
	results := s.readAll(b)
	for _, r := range results {
		crashes := r.ID == b.Items[1].ID || r.ID == b.Items[7].ID
		if done := r.State == "done"; done == crashes {
			t.Errorf("item %s has state %s, want done unless it crashes targets", r.ID, r.State)
		}
	}
	s.checkRetryDelays(item, 6, 7)
	s.checkRetryDelays(call, 6, 7)

	// One crash under a caller's own request shows that the content crashes targets regardless of
	// who sends it; from then on it is quarantined for every caller.
	before := len(s.crashesOf(call))
	s.awaitTargets(s.plainTargets)
	s.entries[0].post(b.Items[7].Reward.Path, "call-of-a-caller", call)
	if n := len(s.crashesOf(call)) - before; n > 1 {
		t.Errorf("%d targets crashed under a caller's request, want at most one", n)
	}
	s.awaitTargets(s.plainTargets)
	s.awaitMembership()
	for _, e := range s.entries {
		s.checkRefusedPath(e, b.Items[7].Reward.Path, call)
	}
}

// TestIdenticalRequestsAreNotQuarantined guards against the refusal of a request that many callers
// send.
//
// Most targets crash at once, each while it runs many identical requests, and this happens three
// times. The fault occurs if the crashes are attributed to the request.
func TestIdenticalRequestsAreNotQuarantined(t *testing.T) {
	t.Parallel()
	s := startWithCrashes(t, 3, 1, 6)
	answers := s.sendIdentical(func() {
		for range 3 {
			time.Sleep(300 * time.Millisecond)
			for _, p := range s.plainTargets[:5] {
				p.ForceCrash()
			}
			s.awaitTargets(s.plainTargets)
		}
	})
	if answers.held > 0 || answers.statuses[http.StatusOK] == 0 {
		t.Errorf("%d of the answers %v report a quarantined request, want none, and some with 200", answers.held, answers.statuses)
	}
}

// TestIdenticalRequestsAreNotQuarantinedAfterRestart guards against the refusal of a request that
// many callers send, by an instance that has restarted since the request last succeeded.
func TestIdenticalRequestsAreNotQuarantinedAfterRestart(t *testing.T) {
	t.Parallel()
	s := startWithCrashes(t, 3, 1, 3)
	answers := s.sendIdentical(func() {
		for n := range 6 {
			time.Sleep(300 * time.Millisecond)
			e := s.entries[n%len(s.entries)]
			e.kill()
			for _, p := range s.plainTargets {
				p.SetFaults(standin.EngineFaults{SlowFactor: 100}) // the target then has unfinished runs and no completed one
			}
			e.start()
			e.awaitReady()
			time.Sleep(200 * time.Millisecond)
			for _, p := range s.plainTargets {
				p.ForceCrash()
				p.SetFaults(standin.EngineFaults{})
				time.Sleep(30 * time.Millisecond)
			}
			s.awaitTargets(s.plainTargets)
		}
	})
	if answers.held > 0 || answers.statuses[http.StatusOK] == 0 {
		t.Errorf("%d of the answers %v report a quarantined request, want none, and some with 200", answers.held, answers.statuses)
	}
}

// identicalAnswers counts the answers to identical requests by status, and those that report a
// quarantined request.
type identicalAnswers struct {
	mu       sync.Mutex
	statuses map[int]int
	held     int
}

// sendIdentical sends identical requests to all instances while during runs.
func (s *deployment) sendIdentical(during func()) *identicalAnswers {
	stop := make(chan struct{})
	a := &identicalAnswers{statuses: map[int]int{}}
	var wg sync.WaitGroup
	for i := range 12 {
		e := s.entries[i%len(s.entries)]
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				r, err := e.do(http.MethodPost, plainPrefix+"popular", fmt.Sprintf("popular-%d-%d", i, n), []byte("the same"), "Currantford-Deadline-Ms", "1500")
				if err != nil {
					time.Sleep(probeInterval) // the instance is down
				}
				a.mu.Lock()
				if err == nil {
					a.statuses[r.status]++
				}
				if strings.Contains(string(r.body), "held") {
					a.held++
				}
				a.mu.Unlock()
			}
		})
	}
	during()
	close(stop)
	wg.Wait()
	return a
}

// TestOperatorReleasesQuarantinedRequest checks that an operator can release a quarantined request
// by its digest at any instance.
func TestOperatorReleasesQuarantinedRequest(t *testing.T) {
	t.Parallel()
	s := startWithCrashes(t, 2, 1, 3)
	const body = standin.CrashingBody + " freed"
	s.awaitMembership()
	s.quarantine(body)
	time.Sleep(propagationTime)
	digest := s.entries[0].logField("request_lost", "request_digest")
	if digest == "" {
		digest = s.entries[1].logField("request_lost", "request_digest")
	}
	s.entries[1].run("free", "--digest", digest)
	time.Sleep(propagationTime)
	before := len(s.runStartTimes(body))
	s.entries[0].post(plainPrefix+"bids", "freed", body)
	if n := len(s.runStartTimes(body)); n == before {
		t.Error("a released request was not sent")
	}
}

// TestCrashingStreamIsQuarantined checks that a stream that crashes each engine is quarantined like
// other requests, and that other streams are complete.
func TestCrashingStreamIsQuarantined(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 4, plainTargets: 1, crashDowntime: crashDowntime, config: func(c map[string]any) {
		c["routes"] = append(c["routes"].([]map[string]any), map[string]any{
			"name": "r-chat", "host": host, "path-prefix": "/chat/", "kind": "stream", "timeout-ms": 4000, "slo-ms": 400,
			"priority": 2, "service": engineService, "max-attempts": 2, "can-resume": true, "sticky": true,
		})
	}})
	s.awaitMembership()
	n := 0
	send := func(e *entry, body string) reply {
		n++
		r, err := e.do(http.MethodPost, "/chat/x", fmt.Sprintf("chat-%d", n), []byte(body),
			"Currantford-Deadline-Ms", "3000", "Currantford-Model", "m0", "Currantford-Tokens-Used", "100,580")
		if err != nil {
			t.Logf("stream %d: %v", n, err)
		}
		return r
	}
	const body = standin.CrashingBody + " stream"
	for began := time.Now(); time.Since(began) < 2*propagationTime; {
		s.awaitTargets(s.engines)
		send(s.entries[n%2], body)
	}
	if n := len(s.crashesOf(body)); n != 3 {
		t.Errorf("%d engines crashed under the stream, want 3", n)
	}
	s.awaitTargets(s.engines)
	if r := send(s.entries[0], "sound"); r.status != http.StatusOK || strings.Count(string(r.body), "data: ") != 10 {
		t.Errorf("harmless stream: status %d with %d events, want 200 with 10", r.status, strings.Count(string(r.body), "data: "))
	}
}
