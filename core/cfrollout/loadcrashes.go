package cfrollout

import (
	cf "currantford"
)

const (
	// crashesBeforeBackoff is the number of crashes after which a version is tried only rarely.
	// Crashes are attributed to a request after the same number.
	crashesBeforeBackoff = 3
	// minCrashBackoff is the pause before the next try after that many crashes. It grows by
	// crashBackoffFactor with each further crash, up to maxCrashBackoff.
	minCrashBackoff    cf.Millis = 10_000
	crashBackoffFactor           = 4
	maxCrashBackoff    cf.Millis = 600_000
	// crashWindow is how long after a failed order an engine's exit is attributed to it. The
	// instance list shows an exit up to 2.2 s late.
	crashWindow cf.Millis = 4000
)

type (
	// LoadCrash reports an engine that exited while it loaded a version that no engine is known to
	// hold.
	LoadCrash struct {
		Engine  cf.InstanceID
		Model   cf.ModelName
		Version cf.WeightVersion
		// Crashes counts the crashes of loads that were ordered after the previous crash. Engines
		// of a failure domain crash together, whatever they load. Backoff is the pause before the
		// version is tried again.
		Crashes int
		Backoff cf.Millis
	}

	// suspectVersion is a version whose loads have crashed engines and that no engine is known to
	// hold.
	suspectVersion struct {
		version   cf.WeightVersion
		crashes   int
		lastCrash cf.Millis
		retryAt   cf.Millis // no order before this time
	}

	// crashTracker limits the orders of versions that may crash each engine that loads them.
	// Without it, such a version would be ordered at one engine after the other until the whole
	// fleet has crashed, and again whenever engines return. After the first crash only one engine
	// at a time loads the version, after the third only after a pause. The version is cleared as
	// soon as an engine holds it.
	crashTracker struct {
		suspects map[cf.ModelName]*suspectVersion
		// exits are the engine exits that were not evaluated yet, reports the crashes found in
		// them.
		exits   []loadExit
		reports []LoadCrash
	}

	loadExit struct {
		engine  cf.InstanceID
		model   cf.ModelName
		version cf.WeightVersion
		// orderedAt is when the load was ordered, failedAt when the order failed, zero if it had
		// not.
		orderedAt, failedAt cf.Millis
	}
)

// noteExit records the exit of an engine, unless it was planned.
func (c *crashTracker) noteExit(e *Engine) {
	switch {
	case e.Draining:
	case e.loading > 0:
		c.exits = append(c.exits, loadExit{e.ID, e.Model, e.loading, e.loadStarted, 0})
	case e.failedVersion > 0:
		c.exits = append(c.exits, loadExit{e.ID, e.Model, e.failedVersion, e.loadStarted, e.failedAt})
	}
}

// evaluate evaluates the exits since the previous call. held returns the newest version of a model
// that an engine holds.
func (c *crashTracker) evaluate(held func(cf.ModelName) cf.WeightVersion, now cf.Millis) {
	for m, s := range c.suspects {
		if held(m) >= s.version {
			delete(c.suspects, m)
		}
	}
	for _, e := range c.exits {
		if held(e.model) >= e.version || e.failedAt > 0 && now-e.failedAt > crashWindow {
			continue
		}
		s := c.suspects[e.model]
		if s == nil || s.version < e.version {
			crashes := 0
			if s != nil {
				crashes = 1 // the earlier version was not cleared, so only one engine at a time loads this one
			}
			s = &suspectVersion{version: e.version, crashes: crashes, lastCrash: e.orderedAt}
			c.suspects[e.model] = s
		}
		if e.orderedAt < s.lastCrash {
			continue
		}
		s.crashes, s.lastCrash = s.crashes+1, now
		backoff := cf.Millis(0)
		if s.crashes >= crashesBeforeBackoff {
			backoff = minCrashBackoff
			for range min(s.crashes-crashesBeforeBackoff, 4) {
				backoff = min(crashBackoffFactor*backoff, maxCrashBackoff)
			}
		}
		s.retryAt = now + backoff
		c.reports = append(c.reports, LoadCrash{e.engine, e.model, e.version, s.crashes, backoff})
	}
	c.exits = c.exits[:0]
}

// allows says whether an engine may load a version now. loading is the number of engines that are
// loading weights of the model.
func (c *crashTracker) allows(m cf.ModelName, v cf.WeightVersion, loading int, now cf.Millis) bool {
	s := c.suspects[m]
	if s == nil {
		return true
	}
	return loading == 0 && (s.version < v || now >= s.retryAt)
}

// LoadCrashes returns the crashes found since the previous call.
func (p *Planner) LoadCrashes() []LoadCrash {
	reports := p.crashes.reports
	p.crashes.reports = nil
	return reports
}

// newestHeld returns the newest version of a model that any engine holds.
func (p *Planner) newestHeld(m cf.ModelName) cf.WeightVersion {
	var newest cf.WeightVersion
	for _, e := range p.engines {
		newest = max(newest, e.versions[m])
	}
	return newest
}

// loadingSuspects counts the loading engines of each model that has a suspect version.
func (p *Planner) loadingSuspects() map[cf.ModelName]int {
	if len(p.crashes.suspects) == 0 {
		return nil
	}
	out := map[cf.ModelName]int{}
	for _, e := range p.loadingEngines {
		if e.loading > 0 && p.crashes.suspects[e.Model] != nil {
			out[e.Model]++
		}
	}
	return out
}
