package cfrollout

import (
	"fmt"
	"testing"

	cf "currantford"
)

// loadTime returns the duration of a load from a weight store that serves some loads at full speed,
// while each further one makes all of them longer.
func loadTime(serves, concurrent int) cf.Millis {
	over := max(concurrent-serves, 0)
	return cf.Millis(1000 + 300*over)
}

// TestLoadLimitFollowsTheWeightStore loads versions continuously from a weight store of unknown
// size. The limit must be found, and a higher one tried only rarely.
func TestLoadLimitFollowsTheWeightStore(t *testing.T) {
	for _, serves := range []int{2, 3, 9} {
		l := newLoadLimiter(2, 0)
		slow, rounds := 0, 0
		now := cf.Millis(0)
		for now < 120_000 {
			concurrent := l.limit
			took := loadTime(serves, concurrent)
			if l.limit > serves {
				slow++
			}
			rounds++
			now += took
			for range concurrent {
				l.observe(concurrent, took, now)
			}
		}
		t.Logf("%d served at full speed: limit %d, %d of %d rounds slow", serves, l.limit, slow, rounds)
		if l.limit < serves || l.limit > serves+1 {
			t.Errorf("limit %d although %d loads are served at full speed", l.limit, serves)
		}
		if slow > 5 {
			t.Errorf("%d of %d rounds were slow", slow, rounds)
		}
	}
}

// TestOutlierLoadsDoNotChangeTheLimit checks that one slow engine, an order that is carried out
// late, and loads with few others do not change the limit.
func TestOutlierLoadsDoNotChangeTheLimit(t *testing.T) {
	l := newLoadLimiter(2, 0)
	l.observe(2, 1000, 0)
	l.observe(2, 4000, 0) // carried out late
	l.observe(1, 1000, 0)
	l.observe(1, 1000, 0)
	if l.limit != 2 {
		t.Errorf("limit %d, want 2", l.limit)
	}
	l.observe(2, 1000, 0)
	if l.limit != 3 {
		t.Errorf("limit %d after a complete round, want 3", l.limit)
	}
	l.observe(3, 1400, 0) // a single slow load
	l.observe(3, 1000, 0)
	l.observe(3, 1000, 0)
	l.observe(3, 1000, 0)
	if l.limit != 4 {
		t.Errorf("limit %d after one slow load in a good round, want 4", l.limit)
	}
}

// TestUsualTimeIgnoresConcurrentLoads guards against a limit that stays at three where the store
// serves two at full speed, so that each load takes twice as long. If one load too many runs, the
// loads end 0.15 s apart, some of them hardly later than usual. If such loads counted, each would
// raise the usual time slightly.
func TestUsualTimeIgnoresConcurrentLoads(t *testing.T) {
	l := newLoadLimiter(2, 0)
	l.observe(1, 910, 0)
	for now := cf.Millis(0); now < 20_000; now += 1000 {
		for _, ms := range []cf.Millis{1010, 1130} {
			l.observe(2, ms, now)
		}
	}
	if l.usualTime > 1000 {
		t.Errorf("usual time %f ms after concurrent loads, want 910", l.usualTime)
	}
}

// TestLearnedLimitAppliesAtOnce announces a version for 20 engines right after a change of the
// coordinator. The previous one has learned that nine may load at once.
func TestLearnedLimitAppliesAtOnce(t *testing.T) {
	limits := DefaultLimits
	limits.LearnedLoads = 9
	p := New(limits)
	var engines []cf.Target
	for i := range 20 {
		engines = append(engines, cf.Target{
			ID: cf.InstanceID(fmt.Sprintf("e%02d", i)), Service: "s", Slots: 4, Models: []cf.ModelState{{Name: "m", Version: 1}},
		})
	}
	p.SetEngines(engines, map[cf.ServiceName][]cf.ModelName{"s": {"m"}})
	p.SetVersion("m", 2)
	if n := len(p.Swaps(0)); n != 9 {
		t.Errorf("%d engines load at once, want 9", n)
	}
}

// TestLoadLimitIsBounded loads versions from a weight store that serves all loads at full speed, to
// 3,000 engines and to smaller fleets such as ten.
func TestLoadLimitIsBounded(t *testing.T) {
	for engines, want := range map[int]int{3000: maxLoads, 40: 20, 10: 5, 2: 2} {
		l := newLoadLimiter(2, 0)
		l.setEngineCount(engines)
		now := cf.Millis(0)
		for range 40 {
			concurrent := l.allowed()
			for range concurrent {
				l.observe(concurrent, 1000, now)
			}
			now += 1000
		}
		if n := l.allowed(); n != want {
			t.Errorf("%d engines: %d load at once, want %d", engines, n, want)
		}
	}
	limits := DefaultLimits
	limits.LearnedLoads = 5000
	if n := New(limits).LearnedLoads(); n > maxLoads {
		t.Errorf("a learned limit of %d loads is taken over, above the maximum", n)
	}
}
