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
	// targets answer checks of their addresses as they are told.
	targets struct {
		cf.Targets
		mu     sync.Mutex
		reach  error
		checks int
		// ending is how many connections the target takes before reach holds.
		ending int
	}

	// listed shows targets as the instance list does.
	listed map[cf.InstanceID]cf.Target
)

func (t *targets) Reach(context.Context, cf.Target) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checks++
	if t.checks <= t.ending {
		return nil
	}
	return t.reach
}

func (l listed) Target(id cf.InstanceID) (cf.Target, bool) {
	t, ok := l[id]
	return t, ok
}

// Losses of three targets, each by what the guard can learn of it. Held is right only
// where the targets themselves have ended.
func TestWhatIsACrash(t *testing.T) {
	all := listed{}
	for n := range 3 {
		id := cf.InstanceID(fmt.Sprint("t", n))
		all[id] = cf.Target{ID: id, Started: 1}
	}
	draining, later := listed{}, listed{}
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
		site    listed
		held    bool
	}{
		{"processes have ended", cf.ErrNoProcess, false, all, true},
		{"machines are silent", cf.ErrUnavailable, false, all, true},
		{"reached again at once", nil, false, all, false},
		{"links cut here alone, by resets", cf.ErrNoProcess, true, all, false},
		{"links cut here alone, silently", cf.ErrUnavailable, true, all, false},
		{"ended as planned", cf.ErrNoProcess, false, draining, false},
		{"started again under their ids meanwhile", nil, false, later, true},
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
					t.Fatalf("not sent to %s: %+v", id, v)
				}
				g.Lost("r", key, target, true)
				// The next waits for the check of the last.
				if v := g.Evaluate(context.Background(), "r", key); v.Wait {
					t.Errorf("still waits: %+v", v)
				}
			}
			for deadline := time.Now().Add(20 * time.Second); g.busy(); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the checks do not end")
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

// Guards against: a fourth target crashed by a request, because the check of the one before was
// made while its process was ending and still took connections.
func TestTargetThatIsEndingIsNotTakenForAlive(t *testing.T) {
	g := New(Options{
		Self: "e", Targets: &targets{reach: cf.ErrNoProcess, ending: 1}, Site: listed{"t": {ID: "t"}}, Share: func([]cfquarantine.Strike) {},
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
			t.Fatal("the check does not end")
		}
	}
	if strikes := g.Table.StrikesByPriority(0, 8, cf.Uptime()); len(strikes) != 1 {
		t.Errorf("%d strikes of a target that has ended", len(strikes))
	}
}

// Many requests that one target loses at once cost it one check.
func TestLossesOfOneMomentShareACheck(t *testing.T) {
	to := &targets{reach: cf.ErrNoProcess}
	target := cf.Target{ID: "t"}
	g := New(Options{
		Self: "e", Targets: to, Site: listed{"t": target}, Share: func([]cfquarantine.Strike) {},
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
		t.Errorf("%d checks for the losses of one moment, want two at most", to.checks)
	}
}
