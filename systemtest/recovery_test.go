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

// restartAll kills all processes and starts them again.
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

// TestCoordinatorKilledDuringStep guards against a step that is lost, or an item that is listed
// twice, if the coordinator dies during the step.
//
// A batch is accepted and half of it has started when the coordinator is killed with SIGKILL;
// another entry instance acquires the lease and runs the items that are not listed yet. The fault
// occurs if results exist only in memory, or if the successor lists items before it has read the
// existing chunks.
func TestCoordinatorKilledDuringStep(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 3, eventInterval: 30 * time.Millisecond})
	b := newStep("b1", "m0", 14, 4, 20)
	s.submitUntilAccepted(b)
	// Results are listed in chunks, so the started runs show the progress of the step.
	begun := func() int { return len(s.engineRuns()) }
	eventually(t, "start of half of the items", func() bool { return begun() >= len(b.Items)/2 })
	killed := s.coordinator()
	killed.kill()
	if n := begun(); n >= len(b.Items) {
		t.Fatalf("all %d items had started when the coordinator was killed", n)
	}
	s.readAll(b)
	if c := s.coordinator(); c == killed {
		t.Errorf("the killed entry still holds the lease")
	}
}

// TestLongTextsSurviveCoordinatorCrash guards against long texts that start again after a crash of
// the coordinator, which delays their step by all the time spent on them.
//
// Items with many events are running when the coordinator is killed. Its successor gets the copies
// that another instance keeps and resumes from them.
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

// TestFrozenCoordinatorSendsNoStaleOrders guards against orders of two coordinators that reach one
// engine without the required time between them, or with decreasing fencing numbers.
//
// The coordinator is frozen by SIGSTOP while versions are announced; another entry instance takes
// over and sends orders; the frozen one continues. The fault occurs if a coordinator trusts its own
// clock after a pause, or if its successor sends orders immediately.
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

// TestAllInstancesKilledAfterAcceptance guards against the loss of batches if all processes die at
// once: all entry instances are killed right after an acceptance and start again.
func TestAllInstancesKilledAfterAcceptance(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 2})
	b := newStep("b1", "m0", 3, 4, 10)
	s.submitUntilAccepted(b)
	s.restartAll()
	s.readAll(b)
}

// TestStoreOutageDuringStep guards against a step that makes no progress during a store outage and
// starts again after it.
//
// The store is down for 4 s during a step, longer than the lease is valid, and then recovers; the
// results that engines complete meanwhile are listed afterwards. The fault occurs if a coordinator
// that cannot renew its lease drops its runs and their results, although no other instance can
// acquire the lease either.
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

// TestLongTextsSurviveLossOfAllInstances guards against long texts that start again after the loss
// of all instances, which delays their step by all the time spent on them.
//
// Items with many events are running when all processes are killed, including the instance that
// keeps the copies; then they start again.
func TestLongTextsSurviveLossOfAllInstances(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 2, plainTargets: 2, eventInterval: 20 * time.Millisecond})
	b := withRewards(newStep("b1", "m0", 1, 2, 200))
	s.submitUntilAccepted(b)
	eventually(t, "copies of both texts in the store", func() bool { return len(s.store.Names("currantford-texts-b1")) >= 2 })
	s.restartAll()
	s.readAll(b)
	s.checkResumed(30)
}

// TestLeaseMovesToMostCapableInstance guards against the loss of nine in ten steps in a deployment
// of machines with different capacity, although no machine fails.
//
// An instance of low capacity acquires the lease first, or after the loss of the most capable one,
// while that one is running or comes back. The fault occurs if the first instance that writes the
// lease keeps it regardless of its capacity.
func TestLeaseMovesToMostCapableInstance(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 2, cores: []float64{0.1, 0.1, 0.8}})
	strong := s.entries[2]
	eventually(t, "lease at the most capable instance", func() bool { return s.coordinator() == strong })
	strong.kill()
	s.awaitCoordinator(strong.id)
	b := newStep("b1", "m0", 2, 4, 10)
	s.submitUntilAccepted(b)
	s.readAll(b)
	strong.start()
	eventually(t, "lease back at the most capable instance", func() bool { return s.coordinator() == strong })
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
		t.Errorf("the lease was handed over %d times, want at most 2: once at the start and once after the kill", handovers)
	}
}

// resolvedAddrs returns the answer of an instance's directory with the addresses for callers.
func resolvedAddrs(e *entry) string {
	resp, err := http.Get("http://" + e.directoryAddr + "/currantford/resolve?zone=domain-a")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return string(raw)
}

// TestDirectoryDropsDeadInstanceWhenLeaseReturns guards against callers that are sent to a machine
// which has been down for seconds.
//
// An instance is lost, and the coordinator's lease moves to another instance and back. The fault
// occurs if an instance that becomes coordinator again starts from the list of its previous term
// and treats every instance in it as recently seen.
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
	eventually(t, "complete list of instances", func() bool { return strings.Contains(resolvedAddrs(next), dead.callerAddr) })
	first.signal(syscall.SIGSTOP)
	holder := s.awaitCoordinator(first.id)
	first.signal(syscall.SIGCONT)
	if holder == dead {
		next, dead = dead, next
	}
	dead.kill()
	eventually(t, "list without the dead instance", func() bool { return !strings.Contains(resolvedAddrs(next), dead.callerAddr) })
	next.signal(syscall.SIGSTOP)
	s.awaitCoordinator(next.id)
	next.signal(syscall.SIGCONT)
	first.signal(syscall.SIGSTOP)
	s.awaitCoordinator(first.id)
	for range 20 {
		if strings.Contains(resolvedAddrs(next), dead.callerAddr) {
			t.Fatal("the dead instance is listed again")
		}
		time.Sleep(50 * time.Millisecond)
	}
	first.signal(syscall.SIGCONT)
}

// TestFrozenInstanceDropsDeadInstance guards against a dead instance that is listed again by a
// coordinator which was frozen when the instance was dropped, and by the next coordinator, which
// adopts that list.
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
	eventually(t, "complete list of instances", func() bool { return strings.Contains(resolvedAddrs(frozen), dead.callerAddr) })
	frozen.signal(syscall.SIGSTOP)
	dead.kill()
	eventually(t, "list without the dead instance", func() bool { return !strings.Contains(resolvedAddrs(next), dead.callerAddr) })
	next.signal(syscall.SIGSTOP)
	frozen.signal(syscall.SIGCONT)
	s.awaitCoordinator(next.id)
	next.signal(syscall.SIGCONT)
	time.Sleep(700 * time.Millisecond) // the list reaches the other instances within this time
	for _, e := range []*entry{frozen, next} {
		if strings.Contains(resolvedAddrs(e), dead.callerAddr) {
			t.Errorf("%s lists the dead instance again", e.id)
		}
	}
}

// TestEngineEntriesExpireDuringRuns guards against a crash of the coordinator's process when an
// engine's entry in the instance list expires and returns while the engine has runs.
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
				t.Error("the coordinator lost its lease")
			}
			return
		default:
			s.engines[n%len(s.engines)].ExpireEntry(60 * time.Millisecond)
		}
	}
}
