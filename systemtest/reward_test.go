package systemtest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"currantford/platform/standin"
)

// TestScoredStepIsCompleted checks that, without faults, each result of a step with rewards has the
// score of its own text.
func TestScoredStepIsCompleted(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 3, plainTargets: 3})
	b := withRewards(newStep("b1", "m0", 6, 4, 10))
	s.submitUntilAccepted(b)
	s.readAll(b)
	for id, calls := range s.rewardRuns() {
		if len(calls) != 1 {
			t.Errorf("reward call %s ran %d times without faults, want once", id, len(calls))
		}
	}
}

// TestCompleteTextsSurviveCoordinatorCrash guards against complete texts that are generated again
// after the loss of a coordinator.
//
// The reward service is at capacity, so complete texts wait for their scores; the coordinator is
// killed; the service recovers. The fault occurs if a text counts as complete only once it is
// listed.
func TestCompleteTextsSurviveCoordinatorCrash(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 3, plainTargets: 2})
	s.setPlainFaults(standin.EngineFaults{AtCapacity: true})
	b := withRewards(newStep("b1", "m0", 3, 4, 10))
	s.submitUntilAccepted(b)
	eventually(t, "complete texts of all items", func() bool {
		complete := 0
		for _, runs := range s.engineRuns() {
			if runs[len(runs)-1].LastEvent == 10 {
				complete++
			}
		}
		return complete == len(b.Items)
	})
	time.Sleep(time.Second) // the instance that keeps the copies receives them within this time
	old := s.coordinator()
	old.kill()
	s.awaitCoordinator(old.id)
	s.setPlainFaults(standin.EngineFaults{})
	s.readAll(b)
	s.checkRanOnce()
}

// TestFailingRewardStopsAfterMaxAttempts guards against a step that makes no progress because one
// of its reward calls always fails, and against an item that is abandoned after a single failure.
//
// The reward call of one item fails at every target; those of the other items succeed.
func TestFailingRewardStopsAfterMaxAttempts(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 2, plainTargets: 3})
	b := withRewards(newStep("b1", "m0", 2, 4, 5))
	bad := b.Items[3]
	bad.Reward.Body = []byte(standin.FailingBody)
	s.submitUntilAccepted(b)
	for _, r := range s.readAll(b) {
		if want := map[bool]string{true: "down", false: "done"}[r.ID == bad.ID]; r.State != want {
			t.Errorf("item %s has state %s, want %s", r.ID, r.State, want)
		}
	}
	if n := len(s.rewardRuns()[bad.Reward.ID]); n != 4 {
		t.Errorf("the failing reward call ran %d times, want the 4 attempts of its route", n)
	}
}

// TestScoreMatchesItsRewardCall guards against a sample with the score of another sample, or with a
// score that no answer contains.
//
// While a batch waits for its rewards, the targets answer with the ids of other requests, do not
// answer, answer with 502, or are at capacity, one fault after the other. The fault occurs if an
// answer is attributed by its connection alone.
func TestScoreMatchesItsRewardCall(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 3, plainTargets: 3})
	faults := []standin.EngineFaults{{WrongRequestID: true}, {Unresponsive: true}, {Status: http.StatusBadGateway}, {AtCapacity: true}}
	for i, f := range faults {
		s.setPlainFaults(f)
		b := withRewards(newStep(fmt.Sprint("b", i), "m0", 3, 4, 5))
		s.submitUntilAccepted(b)
		time.Sleep(700 * time.Millisecond)
		if p, _, err := s.nonCoordinator().readResults(b.id, 0, 0); err == nil && len(p.Results) > 0 {
			t.Errorf("%d results without a successful answer to their reward calls", len(p.Results))
		}
		s.setPlainFaults(standin.EngineFaults{})
		s.readAll(b)
	}
}

// TestDeletedBatchSendsNoRewardCalls guards against reward calls of a batch that run after its
// deletion was acknowledged.
//
// Complete texts wait for a service that is at capacity; the trainer deletes the batch; the service
// recovers, and the coordinator is killed.
func TestDeletedBatchSendsNoRewardCalls(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 3, plainTargets: 2})
	s.setPlainFaults(standin.EngineFaults{AtCapacity: true})
	b := withRewards(newStep("b1", "m0", 3, 4, 5))
	s.submitUntilAccepted(b)
	s.awaitRuns(b)
	eventually(t, "acknowledgement of the deletion", func() bool {
		r, err := s.nonCoordinator().do(http.MethodDelete, "/currantford/lots/b1", "", nil)
		return err == nil && r.status == http.StatusOK
	})
	time.Sleep(500 * time.Millisecond)
	s.setPlainFaults(standin.EngineFaults{})
	old := s.coordinator()
	old.kill()
	s.awaitCoordinator(old.id)
	next := withRewards(newStep("b2", "m0", 1, 2, 3))
	s.submitUntilAccepted(next)
	s.readAll(next)
	if n := len(s.rewardRuns()); n != 2 {
		t.Errorf("%d reward calls ran, want the 2 of the second batch", n)
	}
}

// TestCompleteTextsAreReusedInNextStep guards against a group that is generated and scored again
// when a later step contains it again.
//
// A batch is deleted while complete texts wait for their rewards, and the next batch contains the
// same items.
func TestCompleteTextsAreReusedInNextStep(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 3, plainTargets: 2})
	s.setPlainFaults(standin.EngineFaults{AtCapacity: true})
	b := withRewards(newStep("b1", "m0", 2, 4, 5))
	s.submitUntilAccepted(b)
	s.awaitRuns(b)
	time.Sleep(300 * time.Millisecond)
	if r, err := s.coordinator().do(http.MethodDelete, "/currantford/lots/b1", "", nil); err != nil || r.status != http.StatusOK {
		t.Fatalf("delete: status %v, error %v", r.status, err)
	}
	s.setPlainFaults(standin.EngineFaults{})
	b.id = "b2"
	s.submitUntilAccepted(b)
	s.readAll(b)
	s.checkRanOnce()
}

// TestRewardCallsFollowRouteChanges guards against reward calls that go to a service which their
// route no longer names, or that stop.
//
// The route of reward calls is removed while texts wait for their rewards, and is added again with
// another path.
func TestRewardCallsFollowRouteChanges(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 3, plainTargets: 2})
	routes := s.config["routes"].([]map[string]any)
	var others []map[string]any
	var rewards map[string]any
	for _, r := range routes {
		if r["name"] == "r-rewards" {
			rewards = r
			continue
		}
		others = append(others, r)
	}
	s.config["routes"], s.config["version"] = others, 2
	s.store.Put("config", "main", s.config)
	time.Sleep(2 * time.Second)
	b := withRewards(newStep("b1", "m0", 2, 4, 5))
	s.submitUntilAccepted(b)
	s.awaitRuns(b)
	time.Sleep(500 * time.Millisecond)
	if n := len(s.rewardRuns()); n != 0 {
		t.Errorf("%d reward calls ran without a route", n)
	}
	rewards["path-prefix"] = "/"
	s.config["routes"], s.config["version"] = append(others, rewards), 3
	s.store.Put("config", "main", s.config)
	s.readAll(b)
}

// TestMalformedRewardIsRejected checks that a batch with a reward call that could not be sent is
// refused.
func TestMalformedRewardIsRejected(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 1, engines: 1, plainTargets: 1})
	for _, bad := range []standin.RewardCall{{}, {ID: "r", Host: host}, {ID: "r", Path: "/rewards/x"}, {ID: "r", Host: host, Path: "x"}} {
		b := newStep("b1", "m0", 1, 2, 3)
		b.Items[1].Reward = &bad
		if r := s.entries[0].submit(b); r.status != http.StatusBadRequest {
			t.Errorf("reward call %+v: status %d, want 400", bad, r.status)
		}
	}
}

func (s *deployment) setPlainFaults(f standin.EngineFaults) {
	for _, e := range s.plainTargets {
		e.SetFaults(f)
	}
}
