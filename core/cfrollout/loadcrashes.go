package cfrollout

import (
	cf "currantford"
)

const (
	// crashesBeforeBackoff is after how many losses a version is loaded rarely: as many as
	// prove a request's crashes.
	crashesBeforeBackoff = 3
	// minCrashBackoff is the pause before the next try then, trialGrowth times as long after
	// each further loss, trialMost at most.
	minCrashBackoff    cf.Millis = 10_000
	crashBackoffFactor           = 4
	maxCrashBackoff    cf.Millis = 600_000
	// crashWindow is how long after a failed order an engine's end is put down to it: the
	// instance list shows it up to 2.2 s late.
	crashWindow cf.Millis = 4000
)

type (
	// LoadCrash is an engine that ended while it loaded a version that no engine is
	// known to hold.
	LoadCrash struct {
		Engine  cf.InstanceID
		Model   cf.ModelName
		Version cf.WeightVersion
		// Crashes counts the ends of loads that began after the end before: engines of
		// a failure domain end together, whatever they load. Rest is how long the
		// version is left alone.
		Crashes int
		Backoff cf.Millis
	}

	// suspectVersion is a version under which engines ended, and that none is known to hold.
	suspectVersion struct {
		version   cf.WeightVersion
		crashes   int
		lastCrash cf.Millis
		retryAt   cf.Millis // no order before
	}

	// crashTracker judges versions that may end each engine that loads them. The load it
	// answers: such a version is named, and is ordered on, engine by engine, until the
	// fleet is gone, once more whenever the engines are back. After the first loss it is
	// loaded by one engine at a time, after the third rarely; an engine that holds it
	// clears it.
	crashTracker struct {
		suspects map[cf.ModelName]*suspectVersion
		// exits are engines that ended and were not judged yet, news what their
		// ends have changed.
		exits   []loadExit
		reports []LoadCrash
	}

	loadExit struct {
		engine  cf.InstanceID
		model   cf.ModelName
		version cf.WeightVersion
		// orderedAt is when its order was given, failedAt when it failed, zero if it was
		// under way.
		orderedAt, failedAt cf.Millis
	}
)

// noteExit takes an engine's end, planned ones excepted.
func (c *crashTracker) noteExit(e *Engine) {
	switch {
	case e.Draining:
	case e.loading > 0:
		c.exits = append(c.exits, loadExit{e.ID, e.Model, e.loading, e.loadStarted, 0})
	case e.failedVersion > 0:
		c.exits = append(c.exits, loadExit{e.ID, e.Model, e.failedVersion, e.loadStarted, e.failedAt})
	}
}

// evaluate weighs the ends since the last call. held returns the newest version that an
// engine holds.
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
				crashes = 1 // the one before was not cleared: one at a time at once
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

// allows says whether an engine may load a version now; loading counts those of the
// model that do.
func (c *crashTracker) allows(m cf.ModelName, v cf.WeightVersion, loading int, now cf.Millis) bool {
	s := c.suspects[m]
	if s == nil {
		return true
	}
	return loading == 0 && (s.version < v || now >= s.retryAt)
}

// LoadCrashes returns the ends of engines that were judged since the last call.
func (p *Planner) LoadCrashes() []LoadCrash {
	reports := p.crashes.reports
	p.crashes.reports = nil
	return reports
}

// newestHeld returns the newest version of a model that an engine holds.
func (p *Planner) newestHeld(m cf.ModelName) cf.WeightVersion {
	var newest cf.WeightVersion
	for _, e := range p.engines {
		newest = max(newest, e.versions[m])
	}
	return newest
}

// loadingSuspects counts the engines that load models of which a version is on trial.
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
