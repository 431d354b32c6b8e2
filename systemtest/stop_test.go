package systemtest

import (
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

const streamPrefix = "/write/"

// withStreams adds a route for streams that must not run twice.
func withStreams(config map[string]any) {
	config["routes"] = append(config["routes"].([]map[string]any), map[string]any{
		"name": "r-write", "host": host, "path-prefix": streamPrefix, "kind": "stream", "timeout-ms": 10000, "slo-ms": 2000,
		"priority": 1, "service": engineService, "max-attempts": 3,
	})
}

// leaveTime is the time of a stop in which an instance surely still listens.
const leaveTime = 5 * time.Second

// usualDeadline is the deadline that streams state unless a test needs another.
const usualDeadline = 9 * time.Second

// stream requests a stream of the given number of events. It reports whether the stream was
// complete.
func (e *entry) stream(id string, events int) (r reply, complete bool, err error) {
	return e.sizedStream(id, events, 58*events, usualDeadline)
}

// sizedStream is stream with the number of tokens and the deadline that the request states.
func (e *entry) sizedStream(id string, events, tokens int, deadline time.Duration) (r reply, complete bool, err error) {
	body := fmt.Appendf(nil, "%s%d", standin.EventsBody, events)
	r, err = e.do(http.MethodPost, streamPrefix+"a", id, body, "Currantford-Model", "m0", "Currantford-Tokens-Used", fmt.Sprintf("10,%d", tokens),
		"Currantford-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	complete = err == nil && r.status == http.StatusOK && strings.Count(string(r.body), "id: ") == events
	return r, complete, err
}

// TestPlannedStopBreaksOffNoStream guards against streams that a stopping instance accepts and
// breaks off when its grace period ends.
//
// Callers that have kept an old address list start streams of 0.3 and 5 s at the stopping instance,
// up to the end of its listener. Some streams of 0.3 s have a deadline that lies before the end of the
// instance.
func TestPlannedStopBreaksOffNoStream(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 10, eventInterval: 100 * time.Millisecond, config: withStreams})
	other := s.awaitCoordinator("")
	e := s.nonCoordinator()
	const (
		short, long   = 3, 50
		shortDeadline = 1500 * time.Millisecond
		// estimated is the time of a stop in which streams like those before are accepted.
		estimated = 2500 * time.Millisecond
	)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			if r, ok, err := e.stream(fmt.Sprintf("early-%d", i), short); !ok {
				t.Errorf("stream before the stop: status %d, error %v", r.status, err)
			}
		})
	}
	wg.Wait()
	type stream struct {
		id       string
		events   int
		deadline time.Duration
	}
	var served, refused, shortServed, sentOn atomic.Int64
	// send requests a stream at a time of the stop. A short one may be refused, unless it must be served
	// here; another instance then serves it at once.
	send := func(x stream, after time.Duration, mustServe bool) {
		r, complete, err := e.sizedStream(x.id, x.events, 58*x.events, x.deadline)
		ran := countRuns(s.engines, x.id)
		switch {
		case complete && x.events == short:
			shortServed.Add(1)
		case complete:
			served.Add(1)
		case ran > 0:
			t.Errorf("%s ran and was not complete: status %d, %d bytes, error %v", x.id, r.status, len(r.body), err)
		case err != nil && after >= leaveTime:
			// The listener may be closed.
		case err != nil || r.status != http.StatusServiceUnavailable || mustServe:
			t.Errorf("%s: status %d, error %v; want a complete stream, or 503 unless it is to end in time (%t)", x.id, r.status, err, mustServe)
		case x.events == long:
			refused.Add(1)
		default:
			if r.header.Get("Retry-After") == "" {
				t.Errorf("%s was refused without a Retry-After: %v", x.id, r.header)
			}
			if r, complete, err := other.sizedStream(x.id, x.events, 58*x.events, x.deadline); !complete {
				t.Errorf("%s at another instance: status %d, error %v", x.id, r.status, err)
			}
			sentOn.Add(1)
		}
	}
	var stopAt time.Time
	began := time.Now()
	for i := 0; time.Since(began) < 6500*time.Millisecond; i++ {
		if i == 10 {
			e.signal(syscall.SIGTERM)
			stopAt = time.Now()
		}
		after := time.Duration(0)
		if i >= 10 {
			after = time.Since(stopAt)
		}
		wg.Go(func() { send(stream{fmt.Sprintf("short-%d", i), short, usualDeadline}, after, after < estimated) })
		wg.Go(func() { send(stream{fmt.Sprintf("due-%d", i), short, shortDeadline}, after, after < leaveTime) })
		if i%2 == 0 {
			wg.Go(func() { send(stream{fmt.Sprintf("long-%d", i), long, usualDeadline}, after, false) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	<-e.done
	t.Logf("long streams: %d served, %d refused; short ones: %d served, %d sent to another instance", served.Load(), refused.Load(), shortServed.Load(), sentOn.Load())
	if served.Load() == 0 || refused.Load() == 0 || shortServed.Load() == 0 {
		t.Error("want long streams served before the stop and refused later, and short streams served")
	}
}

// TestPlannedStopBreaksOffNoUnseenStream guards against streams that a stopping instance accepts late
// and breaks off, because they take longer than any that it has seen, whatever size they state.
func TestPlannedStopBreaksOffNoUnseenStream(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name                string
		usual, long, tokens int // streams of both lengths state the same number of tokens
	}{
		{"2,000 tokens", 18, 35, 2000},
		{"150 tokens", 3, 50, 150},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			checkUnseenStreams(t, c.usual, c.long, c.tokens)
		})
	}
}

// checkUnseenStreams sends streams of the usual number of events before and early in a stop, and long ones
// late in it. All state the same number of tokens.
func checkUnseenStreams(t *testing.T, usual, long, tokens int) {
	s := startDeployment(t, options{entries: 2, engines: 10, eventInterval: 100 * time.Millisecond, config: withStreams})
	e := s.nonCoordinator()
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			if r, ok, err := e.sizedStream(fmt.Sprintf("before-%d", i), usual, tokens, usualDeadline); !ok {
				t.Errorf("stream before the stop: status %d, error %v", r.status, err)
			}
		})
	}
	wg.Wait()
	var served, refused atomic.Int64
	e.signal(syscall.SIGTERM)
	for began := time.Now(); time.Since(began) < 4900*time.Millisecond; time.Sleep(100 * time.Millisecond) {
		after := time.Since(began)
		events := usual
		if after > 3*time.Second {
			events = long
		}
		id := fmt.Sprintf("after-%d-ms", after.Milliseconds())
		wg.Go(func() {
			r, complete, err := e.sizedStream(id, events, tokens, usualDeadline)
			switch {
			case complete:
				served.Add(1)
			case countRuns(s.engines, id) > 0:
				t.Errorf("%s ran and was not complete: status %d, %d bytes, error %v", id, r.status, len(r.body), err)
			case err == nil && r.status == http.StatusServiceUnavailable && after > 2500*time.Millisecond:
				refused.Add(1)
			default:
				t.Errorf("%s: status %d, error %v; want a complete stream, or 503 after 2.5 s", id, r.status, err)
			}
		})
	}
	wg.Wait()
	<-e.done
	t.Logf("%d served, %d refused", served.Load(), refused.Load())
	if served.Load() == 0 || refused.Load() == 0 {
		t.Error("want streams served early and refused late")
	}
}

// TestStoppedHostHandsItsStreamsBack guards against items that wait for a silent instance, or lose
// events, when an instance that holds streams for the coordinator stops.
//
// Instances of low capacity hold streams that take longer than the grace period.
func TestStoppedHostHandsItsStreamsBack(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 4, engines: 4, eventInterval: 20 * time.Millisecond, cores: weakCores})
	s.awaitCoordinatorMembership()
	b := newStep("b1", "m0", 1, 4, 500)
	s.submitUntilAccepted(b)
	eventually(t, "runs with streams at other entries", func() bool { return len(s.engineRuns()) == 4 && len(s.streamHosts()) > 0 })
	c, stopped := s.coordinator(), s.streamHosts()[0]
	stopped.signal(syscall.SIGTERM)
	<-stopped.done
	s.readAll(b)
	if lost := c.logField("runner_lost", "runs"); lost != "" && lost != "0" {
		t.Errorf("the coordinator lost %s runs with the instance that was stopped", lost)
	}
	moved := 0
	for id, runs := range s.engineRuns() {
		for i := 1; i < len(runs); i++ {
			moved++
			if missing := runs[i-1].LastEvent - runs[i].ResumeAfter; missing > 3 {
				t.Errorf("item %s: %d events of the run before were lost", id, missing)
			}
		}
	}
	if moved == 0 {
		t.Error("no run went on elsewhere")
	}
}
