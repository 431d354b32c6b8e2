package cfwatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfsite"
	"currantford/io/cfwatch"
	"currantford/testbed/cfstandin"
)

const (
	service cf.ServiceName = "s"
	// drainTime is how long after the removal of its entry a target may receive requests.
	drainTime = 2 * time.Second
)

// watchStore is a store whose watches wait. It can cut off waiting watches, turn calls away, and be
// unavailable.
type watchStore struct {
	*cfstandin.MemStore

	mu      sync.Mutex
	rev     cf.Revision
	log     []cf.Record // the changes of the targets
	changed chan struct{}
	cut     chan struct{}
	// waiting is the number of watches of targets that wait.
	waiting int
	// failing is the number of watches of targets that are turned away. down makes all calls fail.
	failing int
	down    bool
}

func newWatchStore(targets ...string) *watchStore {
	s := &watchStore{MemStore: cfstandin.NewMemStore(), changed: make(chan struct{}), cut: make(chan struct{})}
	for _, name := range targets {
		s.put(name)
	}
	return s
}

func (s *watchStore) append(name string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	r := cfstandin.Record(name, s.rev, cf.Target{ID: cf.InstanceID(name), Service: service})
	r.Deleted = deleted
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *watchStore) put(name string)    { s.append(name, false) }
func (s *watchStore) remove(name string) { s.append(name, true) }

// awaitWatch waits until a watch of the targets waits.
func (s *watchStore) awaitWatch() {
	for {
		s.mu.Lock()
		waiting := s.waiting
		s.mu.Unlock()
		if waiting > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// cutWatches cuts off the waiting watches and turns away the next ones.
func (s *watchStore) cutWatches(turnAway int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = turnAway
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *watchStore) setDown(down bool) {
	s.cutWatches(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *watchStore) available() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return cf.ErrUnavailable
	}
	return nil
}

// Replace implements currantford.Store. It writes whatever the revision is.
func (s *watchStore) Replace(_ context.Context, _, name string, _ cf.Revision, _ any) (cf.Record, error) {
	if err := s.available(); err != nil {
		return cf.Record{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	return cf.Record{Name: name, Rev: s.rev}, nil
}

// Get implements currantford.Store.
func (s *watchStore) Get(ctx context.Context, kind, name string) (cf.Record, error) {
	if err := s.available(); err != nil {
		return cf.Record{}, err
	}
	return s.MemStore.Get(ctx, kind, name)
}

// List implements currantford.Store.
func (s *watchStore) List(_ context.Context, kind string) (cf.Records, error) {
	if err := s.available(); err != nil {
		return cf.Records{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := cf.Records{Rev: s.rev}
	if kind != (cfstandin.Codec{}).Kinds().Targets {
		return out, nil
	}
	last := map[string]cf.Record{}
	for _, r := range s.log {
		last[r.Name] = r
	}
	for _, r := range last {
		if !r.Deleted {
			out.Items = append(out.Items, r)
		}
	}
	return out, nil
}

// Watch implements currantford.Store.
func (s *watchStore) Watch(ctx context.Context, kind string, since cf.Revision, wait cf.Millis) (cf.Records, error) {
	if err := s.available(); err != nil {
		return cf.Records{}, err
	}
	ofTargets := kind == (cfstandin.Codec{}).Kinds().Targets
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		s.mu.Lock()
		if ofTargets && s.failing > 0 {
			s.failing--
			s.mu.Unlock()
			return cf.Records{}, cf.ErrRefused
		}
		out := cf.Records{Rev: s.rev}
		for _, r := range s.log {
			if ofTargets && r.Rev > since {
				out.Items = append(out.Items, r)
			}
		}
		changed, cut := s.changed, s.cut
		if len(out.Items) > 0 {
			s.mu.Unlock()
			return out, nil
		}
		if ofTargets {
			s.waiting++
		}
		s.mu.Unlock()
		again := false
		var err error
		select {
		case <-changed:
			again = true
		case <-cut:
			out, err = cf.Records{}, cf.ErrUnavailable
		case <-timer.C:
		case <-ctx.Done():
			out, err = cf.Records{}, ctx.Err()
		}
		if ofTargets {
			s.mu.Lock()
			s.waiting--
			s.mu.Unlock()
		}
		if !again {
			return out, err
		}
	}
}

// watchSite runs the watchers of a site against the store until the test ends.
func watchSite(t *testing.T, store *watchStore, heartbeat cf.Millis) (*cfsite.Site, cf.Store) {
	t.Helper()
	site := cfsite.New(cfstandin.Codec{})
	site.SetHeartbeat(heartbeat)
	monitored := cfwatch.MonitorStore(store, site, zap.NewNop())
	config, targets := cfwatch.NewSiteWatchers(monitored, site, cfstandin.Codec{}, nil, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { config.Run(ctx) })
	wg.Go(func() { targets.Run(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			site.DropLapsed(cf.Uptime())
			time.Sleep(5 * time.Millisecond)
		}
	})
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return site, monitored
}

// renewLease writes to the store all the time, as the coordinator does, until the test ends.
func renewLease(t *testing.T, store cf.Store) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for ; ctx.Err() == nil; cf.Sleep(ctx, 100*time.Millisecond) {
			_, _ = store.Replace(ctx, cf.KindLease, "coordinator", 0, nil)
		}
	})
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

func usable(site *cfsite.Site) string {
	ids := ""
	for _, t := range site.Usable(service) {
		ids += string(t.ID)
	}
	return ids
}

// await waits until the targets of the site are those wanted, and returns how long that took.
func await(t *testing.T, site *cfsite.Site, want string) time.Duration {
	t.Helper()
	began := time.Now()
	for usable(site) != want {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("usable targets %q, want %q", usable(site), want)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// TestFailedWatchKeepsNoTargetThatLeft guards against requests to a target that has left: its entry
// is removed after a watch of the targets failed, while the store served all the time.
func TestFailedWatchKeepsNoTargetThatLeft(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		turnAway int // watches that are turned away after the one that is cut
		// between is the time from the cut to the removal. With calls, other calls are answered.
		between time.Duration
		calls   bool
	}{
		{"cut once, removed at once", 0, 0, false},
		{"cut once, removed before the next watch", 0, 50 * time.Millisecond, false},
		{"cut once, removed after the next watch", 0, 400 * time.Millisecond, false},
		{"cut and turned away once", 1, 300 * time.Millisecond, false},
		{"turned away for long while other calls are answered", 4, 2500 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			store := newWatchStore("a", "b")
			site, calls := watchSite(t, store, 1200)
			await(t, site, "ab")
			if c.calls {
				renewLease(t, calls)
			}
			store.awaitWatch()
			store.cutWatches(c.turnAway)
			time.Sleep(c.between)
			store.remove("a")
			if took := await(t, site, "b"); took > drainTime {
				t.Errorf("the target was used for %v after its removal", took)
			}
		})
	}
}

// TestTargetsAreKeptAfterOutage guards against services without targets after an outage of the store
// in which the entries of all targets lapsed, and against the use of those that left.
func TestTargetsAreKeptAfterOutage(t *testing.T) {
	t.Parallel()
	const heartbeat cf.Millis = 200
	store := newWatchStore("a", "b", "c", "d")
	site, calls := watchSite(t, store, heartbeat)
	renewLease(t, calls)
	await(t, site, "abcd")
	store.setDown(true)
	time.Sleep(3 * heartbeat.Duration())
	for _, name := range []string{"a", "b", "c"} {
		store.remove(name)
	}
	store.setDown(false)
	for i, returned := 0, time.Now(); time.Since(returned) < time.Second; i++ {
		if got := usable(site); got != "abcd" {
			t.Fatalf("usable targets after the outage: %q, want all", got)
		}
		if i == 100 { // two of the live targets are listed again, and one that did not lapse renews its entry
			store.put("a")
			store.put("b")
			store.put("d")
		}
		time.Sleep(5 * time.Millisecond)
	}
	store.remove("b")
	if took := await(t, site, "acd"); took > time.Second {
		t.Errorf("a target that lapsed, came back and left was used for %v", took)
	}
	store.remove("d")
	if took := await(t, site, "ac"); took > time.Second {
		t.Errorf("a target that had not lapsed was used for %v after it left", took)
	}
	await(t, site, "a") // c is not listed again
}

// TestOutageIsSeenByAllCalls guards against targets that are dropped after an outage that other calls
// than the watch have noticed, or whose end they have noticed first.
func TestOutageIsSeenByAllCalls(t *testing.T) {
	t.Parallel()
	for _, callFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("other call first %t", callFirst), func(t *testing.T) {
			t.Parallel()
			store := newWatchStore("a", "b")
			site, calls := watchSite(t, store, 200)
			await(t, site, "ab")
			store.setDown(true)
			time.Sleep(600 * time.Millisecond)
			store.remove("a")
			store.setDown(false)
			if callFirst {
				_, _ = calls.Get(t.Context(), cf.KindLease, "any")
			}
			time.Sleep(time.Second)
			if got := usable(site); got != "ab" {
				t.Errorf("usable targets after the outage: %q, want both", got)
			}
			await(t, site, "b")
		})
	}
}
