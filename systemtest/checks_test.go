package systemtest

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"currantford/platform/standin"
)

// readAll reads all results of a batch, from each entry instance in turn, and checks what holds for
// every batch: the result at a position never changes, no item occurs twice, and each text is
// complete.
func (s *deployment) readAll(b batch) []result {
	s.t.Helper()
	var out []result
	n := 0
	eventually(s.t, "all results of "+b.id, func() bool {
		n++
		p, _, err := s.entries[n%len(s.entries)].readResults(b.id, len(out), 300*time.Millisecond, keyHeader(b.key)...)
		if err == nil {
			out = append(out, p.Results...)
		}
		return len(out) >= len(b.Items)
	})
	s.checkResults(b, out)
	for _, e := range s.entries {
		p, _, err := e.readResults(b.id, 0, 0, keyHeader(b.key)...)
		if err != nil || p.Total == 0 {
			continue // the entry instance is stopped or cannot answer reliably
		}
		for i, r := range p.Results {
			if fmt.Sprint(r) != fmt.Sprint(out[i]) {
				s.t.Errorf("position %d of %s at %s: %v, read before: %v", i, b.id, e.id, r, out[i])
			}
		}
	}
	return out
}

func (s *deployment) checkResults(b batch, results []result) {
	s.t.Helper()
	if len(results) != len(b.Items) {
		s.t.Errorf("%s has %d results for %d items", b.id, len(results), len(b.Items))
	}
	items := map[string]item{}
	for _, it := range b.Items {
		items[it.ID] = it
	}
	seen := map[string]bool{}
	for _, r := range results {
		if seen[r.ID] {
			s.t.Errorf("item %s stands twice", r.ID)
		}
		seen[r.ID] = true
		if r.State != "done" {
			continue
		}
		if want := expectedText(items[r.ID]); r.Output != want {
			s.t.Errorf("item %s: text %.80q, want %.80q", r.ID, r.Output, want)
		}
		s.checkScore(items[r.ID], r)
		for _, v := range r.Versions {
			if v < b.MinVersion {
				s.t.Errorf("item %s made by version %d, under %d", r.ID, v, b.MinVersion)
			}
		}
	}
}

// checkScore checks that a result's score comes from a successful answer to the item's reward call,
// and that the call was sent after the text was complete.
func (s *deployment) checkScore(it item, r result) {
	s.t.Helper()
	if it.Reward == nil {
		if r.Score != "" {
			s.t.Errorf("item %s has a score and asked for none", r.ID)
		}
		return
	}
	for _, call := range s.rewardRuns()[it.Reward.ID] {
		if call.Stamp != r.Score || call.Status != http.StatusOK {
			continue
		}
		for _, run := range s.engineRuns()[it.ID] {
			if run.LastEvent == standin.EventCount(it.Headers["Currantford-Tokens-Used"]) && !run.LastEventAt.After(call.StartedAt) {
				return
			}
		}
		s.t.Errorf("item %s: its reward call ran before its text was complete", r.ID)
		return
	}
	s.t.Errorf("item %s: score %q is of no good answer to its reward call", r.ID, r.Score)
}

// rewardRuns returns the runs at the plain targets by the id of their reward call.
func (s *deployment) rewardRuns() map[string][]standin.Run {
	out := map[string][]standin.Run{}
	for _, e := range s.plainTargets {
		for _, r := range e.Runs() {
			if strings.HasPrefix(r.ID, "reward-") {
				out[r.ID] = append(out[r.ID], r)
			}
		}
	}
	return out
}

// withRewards adds a reward call to each item of a batch.
func withRewards(b batch) batch {
	for i := range b.Items {
		b.Items[i].Reward = standin.NewRewardCall(b.Items[i].ID)
	}
	return b
}

func expectedText(it item) string {
	var lines []string
	for n := 1; n <= standin.EventCount(it.Headers["Currantford-Tokens-Used"]); n++ {
		lines = append(lines, standin.EventData(it.ID, n))
	}
	return strings.Join(lines, "\n")
}

// announceVersion puts a weight version of a model into the store, as the model's trainer does.
func (s *deployment) announceVersion(model string, version int) {
	s.store.Put("versions", model, map[string]any{"model": model, "version": version})
}

// engineRuns returns the runs at all engines by item id, each item's in the order of their start.
func (s *deployment) engineRuns() map[string][]standin.Run {
	out := map[string][]standin.Run{}
	for _, e := range s.engines {
		for _, r := range e.Runs() {
			out[r.ID] = append(out[r.ID], r)
		}
	}
	for _, runs := range out {
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.StartedAt.Compare(b.StartedAt) })
	}
	return out
}

// awaitRuns waits until every item of a batch has started on an engine.
func (s *deployment) awaitRuns(b batch) {
	s.t.Helper()
	eventually(s.t, "runs", func() bool { return len(s.engineRuns()) == len(b.Items) })
}

// checkRanOnce checks that each item ran on exactly one engine, exactly once.
func (s *deployment) checkRanOnce() {
	s.t.Helper()
	for id, runs := range s.engineRuns() {
		if len(runs) != 1 {
			s.t.Errorf("item %s reached engines %d times, want once", id, len(runs))
		}
	}
}

// checkResumed checks that the last run of each item resumed after at least minEvents events.
func (s *deployment) checkResumed(minEvents int) {
	s.t.Helper()
	for id, runs := range s.engineRuns() {
		if last := runs[len(runs)-1]; last.ResumeAfter < minEvents {
			s.t.Errorf("item %s began again after event %d", id, last.ResumeAfter)
		}
	}
}
