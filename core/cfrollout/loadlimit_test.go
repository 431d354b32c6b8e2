package cfrollout

import (
	"fmt"
	"testing"

	cf "currantford"
)

// weightStore serves so many loads at full speed; each further one makes all of
// them longer.
func loadTime(serves, beside int) cf.Millis {
	over := max(beside-serves, 0)
	return cf.Millis(1000 + 300*over)
}

// Load: a fleet follows versions named all the time, from a weight store whose
// size is not known. The bound is found, and tried above only now and then.
func TestLoadLimitFollowsTheWeightStore(t *testing.T) {
	for _, serves := range []int{2, 3, 9} {
		l := newLoadLimiter(2, 0)
		slow, rounds := 0, 0
		now := cf.Millis(0)
		for now < 120_000 {
			beside := l.limit
			took := loadTime(serves, beside)
			if l.limit > serves {
				slow++
			}
			rounds++
			now += took
			for range beside {
				l.observe(beside, took, now)
			}
		}
		t.Logf("%d served at full speed: limit %d, %d of %d rounds slow", serves, l.limit, slow, rounds)
		if l.limit < serves || l.limit > serves+1 {
			t.Errorf("limit %d where %d are served at full speed", l.limit, serves)
		}
		if slow > 5 {
			t.Errorf("%d of %d rounds were slow", slow, rounds)
		}
	}
}

// One slow engine, an order carried out late, and loads that ran with few others
// move nothing.
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
		t.Errorf("limit %d after a whole round, want 3", l.limit)
	}
	l.observe(3, 1400, 0) // one alone
	l.observe(3, 1000, 0)
	l.observe(3, 1000, 0)
	l.observe(3, 1000, 0)
	if l.limit != 4 {
		t.Errorf("limit %d after one slow load in a good round, want 4", l.limit)
	}
}

// Symptom: three load at once for good where two are served, each half as fast.
// Load: loads beside one more than are served end at steps of 0.15 s, some of
// them hardly later than usual.
// Cause: each such load raised what counted as usual a little.
func TestUsualTimeIgnoresConcurrentLoads(t *testing.T) {
	l := newLoadLimiter(2, 0)
	l.observe(1, 910, 0)
	for now := cf.Millis(0); now < 20_000; now += 1000 {
		for _, ms := range []cf.Millis{1010, 1130} {
			l.observe(2, ms, now)
		}
	}
	if l.usualTime > 1000 {
		t.Errorf("usual time %f ms after loads beside others, want 910", l.usualTime)
	}
}

// Load: a version is named for 20 engines right after a change of the coordinator; the
// one before has seen that nine may load at once.
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

// Load: 3,000 engines follow versions from a weight store that serves them all at full
// speed; then a service of ten.
func TestLoadLimitIsBounded(t *testing.T) {
	for engines, want := range map[int]int{3000: maxLoads, 40: 20, 10: 5, 2: 2} {
		l := newLoadLimiter(2, 0)
		l.setEngineCount(engines)
		now := cf.Millis(0)
		for range 40 {
			beside := l.allowed()
			for range beside {
				l.observe(beside, 1000, now)
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
		t.Errorf("%d loads at once are taken over from a coordinator before", n)
	}
}
