package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"currantford/platform/standin"
)

// firstStreamSeed is the first seed in which callers request streams that must not run twice and
// readings that may be rejected, plain targets send answers twice, and instances are stopped in
// series.
const firstStreamSeed = 8000

// streamOutcome is what a caller saw of a stream.
type streamOutcome struct {
	events, status int
	text           string
	err            error
}

// sendStreams sends streams and readings to all instances, also to those that are stopping, on
// connections that are kept.
func (s *soak) sendStreams(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		e, events := s.entries[n%len(s.entries)], 5+s.intN(60)
		wg.Go(func() {
			id := fmt.Sprintf("stream-%d-%d", seed, n)
			r, _, err := e.stream(id, events)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.streams[id] = streamOutcome{events, r.status, string(r.body), err}
		})
		wg.Go(func() {
			id, body := fmt.Sprintf("reading-%d-%d", seed, n), fmt.Sprintf("reading %d", n)
			if n%2 == 0 {
				body = standin.RejectedBody + " " + body
			}
			r, err := e.do(http.MethodPost, plainPrefix+"a", id, []byte(body))
			if err == nil && (r.status == http.StatusOK || r.status == http.StatusBadRequest) && !isOwnAnswer(r, id, body) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.foreign = append(s.foreign, fmt.Sprintf("%s: status %d, answer to %q, %.80q", id, r.status, r.header.Get("Currantford-Request-Id"), r.body))
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
}

// isOwnAnswer reports whether an answer to a reading belongs to it. The answer of a target that sends
// without end has the ID of the reading, and looks complete if the connection ends.
func isOwnAnswer(r reply, id, body string) bool {
	got := string(r.body)
	return r.header.Get("Currantford-Request-Id") == id && (got == "echo "+body || !strings.HasPrefix(got, "echo "))
}

// repeatAnswers lets plain targets send some of their answers twice for a while.
func (s *soak) repeatAnswers() {
	for _, l := range s.repeats {
		l.SetShare(0.05)
	}
	time.Sleep(s.duration(1000, 3000))
	for _, l := range s.repeats {
		l.SetShare(0)
	}
}

// failWithPromise lets a plain target run requests and fail them with a status that promises the
// opposite, for a while.
func (s *soak) failWithPromise() {
	statuses := []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	e := s.plainTargets[s.intN(len(s.plainTargets))]
	s.disturbTarget(e, standin.EngineFaults{Status: statuses[s.intN(len(statuses))]})
}

// stopSeries stops two instances one after the other, so that their stops overlap.
func (s *soak) stopSeries() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for range 2 {
		wg.Go(s.stopOne)
		time.Sleep(s.duration(200, 2000))
	}
}

// checkStreams checks that no stream ran twice or after a refusal, that a stream that looks complete
// has all its events, and that nobody got another caller's answer.
func (s *soak) checkStreams(t *testing.T) {
	t.Helper()
	if len(s.streams) == 0 {
		return // a seed below firstStreamSeed
	}
	complete, refused := 0, 0
	for id, o := range s.streams {
		n := countRuns(s.engines, id)
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
		switch {
		case o.status == http.StatusServiceUnavailable:
			refused++
			if n > 0 {
				t.Errorf("%s was refused as not run, but ran", id)
			}
		case o.status == http.StatusOK && o.err == nil:
			complete++
			var want strings.Builder
			for i := 1; i <= o.events; i++ {
				fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", i, standin.EventData(id, i))
			}
			if got := withoutVersions(o.text); got != want.String() {
				t.Errorf("%s looks complete with %d bytes, want %d events", id, len(got), o.events)
			}
		}
	}
	for _, f := range s.foreign {
		t.Errorf("another caller's answer: %s", f)
	}
	t.Logf("%d streams, %d complete, %d refused", len(s.streams), complete, refused)
}

// withoutVersions removes the lines in which a stream names a new version of the weights.
func withoutVersions(stream string) string {
	var out strings.Builder
	for line := range strings.Lines(stream) {
		if !strings.HasPrefix(line, "currantford-weight-versions:") {
			out.WriteString(line)
		}
	}
	return out.String()
}
