package cfguard

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfquarantine"
)

type (
	// targets returns the configured result for connection checks.
	targets struct {
		cf.Targets
		mu     sync.Mutex
		reach  error
		checks int
		// acceptedFirst is the number of connections accepted before reach applies.
		acceptedFirst int
	}

	// instanceList returns targets like the instance list.
	instanceList map[cf.InstanceID]cf.Target
)

func (t *targets) Reach(context.Context, cf.Target) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checks++
	if t.checks <= t.acceptedFirst {
		return nil
	}
	return t.reach
}

func (l instanceList) Target(id cf.InstanceID) (cf.Target, bool) {
	t, ok := l[id]
	return t, ok
}

// TestOnlyCrashesHoldRequests loses three targets, for each cause that the guard can distinguish,
// and checks that the request is held only if the targets themselves have ended.
func TestOnlyCrashesHoldRequests(t *testing.T) {
	all := instanceList{}
	for n := range 3 {
		id := cf.InstanceID(fmt.Sprint("t", n))
		all[id] = cf.Target{ID: id, Started: 1}
	}
	draining, later := instanceList{}, instanceList{}
	for id, target := range all {
		target.Draining = true
		draining[id] = target
		target.Draining, target.Started = false, 2
		later[id] = target
	}
	for _, c := range []struct {
		name    string
		reach   error
		witness bool
		site    instanceList
		held    bool
	}{
		{"processes ended", cf.ErrNoProcess, false, all, true},
		{"machines unreachable", cf.ErrUnavailable, false, all, true},
		{"reachable again at once", nil, false, all, false},
		{"links cut only here, with resets", cf.ErrNoProcess, true, all, false},
		{"links cut only here, silently", cf.ErrUnavailable, true, all, false},
		{"ended as planned", cf.ErrNoProcess, false, draining, false},
		{"restarted with the same ids meanwhile", nil, false, later, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			to := &targets{reach: c.reach}
			g := New(Options{
				Self: "e", Targets: to, Site: c.site, Share: func([]cfquarantine.Strike) {},
				ReachableElsewhere: func(context.Context, cf.Target) bool { return c.witness },
				Metrics:            NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
			})
			g.Sync("store", nil)
			key := cfquarantine.KeyOf("POST", "h", "/", "caller", []byte("x"))
			for id, target := range all {
				if v := g.Admit(key, target); !v.Pass {
					t.Fatalf("request not admitted to %s: %+v", id, v)
				}
				g.Lost("r", key, target, true)
				// The next one waits for the check of the previous loss.
				if v := g.Evaluate(context.Background(), "r", key); v.Wait {
					t.Errorf("the request still waits: %+v", v)
				}
			}
			for deadline := time.Now().Add(20 * time.Second); g.busy(); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the checks did not end")
				}
			}
			v := g.Evaluate(context.Background(), "r", key)
			if held := v.RetryAt > 0; held != c.held {
				t.Errorf("held %v, want %v: %+v", held, c.held, v)
			}
			if err := g.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

func (g *Guard) busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.checking) > 0
}

// TestTerminatingTargetIsNotTakenForAlive guards against a request that crashes a fourth target
// because the check of the previous one was made while its process was terminating and still
// accepted connections.
func TestTerminatingTargetIsNotTakenForAlive(t *testing.T) {
	g := New(Options{
		Self: "e", Targets: &targets{reach: cf.ErrNoProcess, acceptedFirst: 1}, Site: instanceList{"t": {ID: "t"}}, Share: func([]cfquarantine.Strike) {},
		ReachableElsewhere: func(context.Context, cf.Target) bool { return false },
		Metrics:            NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
	})
	t.Cleanup(func() { _ = g.Close() })
	g.Sync("store", nil)
	key := cfquarantine.KeyOf("POST", "h", "/", "caller", []byte("x"))
	g.Admit(key, cf.Target{ID: "t"})
	g.Lost("r", key, cf.Target{ID: "t"}, true)
	for deadline := time.Now().Add(20 * time.Second); g.busy(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the check did not end")
		}
	}
	if strikes := g.Table.StrikesByPriority(0, 8, cf.Uptime()); len(strikes) != 1 {
		t.Errorf("%d strikes of a target that has ended, want 1", len(strikes))
	}
}

// TestConcurrentLossesShareACheck checks that many requests lost by one target at the same time
// cause only one check.
func TestConcurrentLossesShareACheck(t *testing.T) {
	to := &targets{reach: cf.ErrNoProcess}
	target := cf.Target{ID: "t"}
	g := New(Options{
		Self: "e", Targets: to, Site: instanceList{"t": target}, Share: func([]cfquarantine.Strike) {},
		ReachableElsewhere: func(context.Context, cf.Target) bool {
			time.Sleep(50 * time.Millisecond)
			return false
		},
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
	})
	g.Sync("store", nil)
	for n := range 40 {
		key := cfquarantine.KeyOf("POST", "h", "/", "caller", []byte{byte(n)})
		g.Admit(key, target)
		g.Lost("r", key, target, true)
	}
	for g.busy() {
		time.Sleep(time.Millisecond)
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	if to.checks > 2 {
		t.Errorf("%d checks for concurrent losses, want at most 2", to.checks)
	}
}
