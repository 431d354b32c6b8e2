package systemtest

import (
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"currantford/platform/standin"
)

// restartAll kills every process and starts them again.
func (s *deployment) restartAll() {
	s.t.Helper()
	for _, e := range s.entries {
		e.kill()
	}
	for _, e := range s.entries {
		e.start()
	}
	for _, e := range s.entries {
		e.awaitReady()
	}
}

// Symptom: a step is lost, or an item is listed twice, when the coordinator
// dies in mid-step.
// Sequence: a batch is accepted and half run; the coordinator is killed with
// SIGKILL; another entry takes the lease and runs what is not listed.
// Cause guarded against: results kept in memory alone, or a successor that
// lists items without having read the chunks before.
func TestCoordinatorKilledDuringStep(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 3, eventInterval: 30 * time.Millisecond})
	b := newStep("b1", "m0", 14, 4, 20)
	s.submitUntilAccepted(b)
	// Results are listed together, so what has run tells that the step is halfway.
	begun := func() int { return len(s.engineRuns()) }
	eventually(t, "half of the step", func() bool { return begun() >= len(b.Items)/2 })
	killed := s.coordinator()
	killed.kill()
	if n := begun(); n >= len(b.Items) {
		t.Fatalf("all %d items had begun when the coordinator was killed", n)
	}
	s.readAll(b)
	if c := s.coordinator(); c == killed {
		t.Errorf("the killed entry still has the lease")
	}
}

// Symptom: after a crash of the coordinator a long text begins anew, and its
// step is late by all the time it had taken.
// Sequence: items of many events run; the coordinator is killed in mid-text;
// its successor finds what a neighbour has copied and resumes there.
func TestLongTextsSurviveCoordinatorCrash(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 2, eventInterval: 20 * time.Millisecond})
	b := newStep("b1", "m0", 1, 2, 150)
	s.submitUntilAccepted(b)
	eventually(t, "runs", func() bool { return len(s.engineRuns()) == 2 })
	time.Sleep(1500 * time.Millisecond)
	s.coordinator().kill()
	s.readAll(b)
	s.checkResumed(20)
}

// Symptom: two holders' orders reach one engine within the time that must lie
// between them, or with falling numbers.
// Sequence: the coordinator is frozen by SIGSTOP while versions are named;
// another entry takes over and orders; the frozen one wakes up.
// Cause guarded against: a holder that trusts its own clock after a pause, and
// a successor that orders at once.
func TestFrozenCoordinatorSendsNoStaleOrders(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 2, weightLoadTime: 50 * time.Millisecond})
	s.announceVersion("m0", 2)
	eventually(t, "version 2", func() bool { return s.engines[0].Version("m0") == 2 && s.engines[1].Version("m0") == 2 })
	old := s.coordinator()
	old.signal(syscall.SIGSTOP)
	s.announceVersion("m0", 3)
	s.awaitCoordinator(old.id)
	eventually(t, "version 3", func() bool { return s.engines[0].Version("m0") == 3 && s.engines[1].Version("m0") == 3 })
	old.signal(syscall.SIGCONT)
	s.announceVersion("m0", 4)
	eventually(t, "version 4", func() bool { return s.engines[0].Version("m0") == 4 && s.engines[1].Version("m0") == 4 })
	checkWeightOrders(t, s)
}

// Symptom: batches are lost when every process dies at once.
// Sequence: all entries are killed right after an acceptance, and start again.
func TestAllInstancesKilledAfterAcceptance(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 2})
	b := newStep("b1", "m0", 3, 4, 10)
	s.submitUntilAccepted(b)
	s.restartAll()
	s.readAll(b)
}

// Symptom: a step waits for the whole of a store's outage and then begins anew.
// Sequence: the store is down for 4 s in mid-step, longer than the lease is
// valid, and then back; what the engines finish meanwhile is listed afterwards.
// Cause: a coordinator that could not renew its lease dropped its runs and what
// they had finished, though nobody else could take the lease either.
func TestStoreOutageDuringStep(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 2, eventInterval: 30 * time.Millisecond})
	b := newStep("b1", "m0", 4, 4, 15)
	s.submitUntilAccepted(b)
	eventually(t, "runs", func() bool { return len(s.engineRuns()) > 0 })
	s.store.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(4 * time.Second)
	if n := len(s.engineRuns()); n != len(b.Items) {
		t.Errorf("%d of %d items ran during the outage", n, len(b.Items))
	}
	s.store.SetFaults(standin.StoreFaults{})
	s.readAll(b)
	s.checkRanOnce()
}

// Symptom: after the loss of all instances at once a step is late by all the time
// that its long texts had taken.
// Sequence: items of many events run; every process is killed in mid-text, the
// neighbour's copies with them; they start again.
func TestLongTextsSurviveLossOfAllInstances(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 2, plainTargets: 2, eventInterval: 20 * time.Millisecond})
	b := withRewards(newStep("b1", "m0", 1, 2, 200))
	s.submitUntilAccepted(b)
	eventually(t, "copies in the store", func() bool { return len(s.store.Names("currantford-texts-b1")) >= 2 })
	s.restartAll()
	s.readAll(b)
	s.checkResumed(30)
}

// Symptom: on a site of unlike machines nine steps of ten are lost, though none of
// its machines fails.
// Sequence: a weak instance takes the duty first, or after the loss of the strong
// one; the strong one is there, or comes back.
// Cause: whoever wrote first kept the coordinator's duty, whatever it can carry.
func TestLeaseMovesToMostCapableInstance(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 2, cores: []float64{0.1, 0.1, 0.8}})
	strong := s.entries[2]
	eventually(t, "duty at the strong instance", func() bool { return s.coordinator() == strong })
	strong.kill()
	s.awaitCoordinator(strong.id)
	b := newStep("b1", "m0", 2, 4, 10)
	s.submitUntilAccepted(b)
	s.readAll(b)
	strong.start()
	eventually(t, "duty back at the strong instance", func() bool { return s.coordinator() == strong })
	next := newStep("b2", "m0", 2, 4, 10)
	s.submitUntilAccepted(next)
	s.readAll(next)
	checkWeightOrders(t, s)
	handovers := 0
	for _, e := range s.entries {
		raw, err := os.ReadFile(e.logPath)
		if err != nil {
			t.Fatal(err)
		}
		handovers += strings.Count(string(raw), `"duty_handed_over"`)
	}
	if handovers > 2 {
		t.Errorf("the duty was handed over %d times: once at the start and once after the kill are enough", handovers)
	}
}

// resolvedAddrs returns the addresses that an instance names to callers.
func resolvedAddrs(e *entry) string {
	resp, err := http.Get("http://" + e.directoryAddr + "/currantford/resolve?zone=domain-a")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return string(raw)
}

// Symptom: callers are sent to a machine that has been off for seconds.
// Sequence: an instance is lost; the coordinator's duty moves to another one and
// back.
// Cause: an instance that took the duty again began with the list that the first
// coordinator had told it, and counted everyone in it as just heard of.
func TestDirectoryDropsDeadInstanceWhenLeaseReturns(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 1})
	var others []*entry
	first := s.coordinator()
	for _, e := range s.entries {
		if e != first {
			others = append(others, e)
		}
	}
	next, dead := others[0], others[1]
	eventually(t, "all named", func() bool { return strings.Contains(resolvedAddrs(next), dead.callerAddr) })
	first.signal(syscall.SIGSTOP)
	holder := s.awaitCoordinator(first.id)
	first.signal(syscall.SIGCONT)
	if holder == dead {
		next, dead = dead, next
	}
	dead.kill()
	eventually(t, "the dead dropped", func() bool { return !strings.Contains(resolvedAddrs(next), dead.callerAddr) })
	next.signal(syscall.SIGSTOP)
	s.awaitCoordinator(next.id)
	next.signal(syscall.SIGCONT)
	first.signal(syscall.SIGSTOP)
	s.awaitCoordinator(first.id)
	for range 20 {
		if strings.Contains(resolvedAddrs(next), dead.callerAddr) {
			t.Fatal("the dead instance is named again")
		}
		time.Sleep(50 * time.Millisecond)
	}
	first.signal(syscall.SIGCONT)
}

// Guards against: an instance that has ended named again by a coordinator that was frozen when
// it was dropped, and by the next one, which adopts that one's list.
func TestFrozenInstanceDropsDeadInstance(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 1})
	next := s.coordinator()
	var others []*entry
	for _, e := range s.entries {
		if e != next {
			others = append(others, e)
		}
	}
	frozen, dead := others[0], others[1]
	eventually(t, "all named", func() bool { return strings.Contains(resolvedAddrs(frozen), dead.callerAddr) })
	frozen.signal(syscall.SIGSTOP)
	dead.kill()
	eventually(t, "the dead dropped", func() bool { return !strings.Contains(resolvedAddrs(next), dead.callerAddr) })
	next.signal(syscall.SIGSTOP)
	frozen.signal(syscall.SIGCONT)
	s.awaitCoordinator(next.id)
	next.signal(syscall.SIGCONT)
	time.Sleep(700 * time.Millisecond) // the list is told
	for _, e := range []*entry{frozen, next} {
		if strings.Contains(resolvedAddrs(e), dead.callerAddr) {
			t.Errorf("%s names the dead instance again", e.id)
		}
	}
}

// An engine whose entry lapses and comes back while its runs are under way ends the
// coordinator's process.
func TestEngineEntriesExpireDuringRuns(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 3, eventInterval: 20 * time.Millisecond})
	initial := s.coordinator()
	b := newStep("b1", "m0", 14, 4, 20)
	s.submitUntilAccepted(b)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.readAll(b)
	}()
	for n := 0; ; n++ {
		select {
		case <-done:
			if c := s.coordinator(); c != initial {
				t.Error("the coordinator has lost its duty")
			}
			return
		default:
			s.engines[n%len(s.engines)].ExpireEntry(60 * time.Millisecond)
		}
	}
}
