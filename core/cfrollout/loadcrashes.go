package cfrollout

import (
	cf "currantford"
)

const (
	// trialLosses is after how many losses a version is loaded rarely: as many as
	// prove a request's crashes.
	trialLosses = 3
	// trialRest is the pause before the next try then, trialGrowth times as long after
	// each further loss, trialMost at most.
	trialRest   cf.Millis = 10_000
	trialGrowth           = 4
	trialMost   cf.Millis = 600_000
	// endedLate is how long after a failed order an engine's end is put down to it: the
	// instance list shows it up to 2.2 s late.
	endedLate cf.Millis = 4000
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

	// trial is a version under which engines ended, and that none is known to hold.
	trial struct {
		version cf.WeightVersion
		losses  int
		lostAt  cf.Millis
		until   cf.Millis // no order before
	}

	// trials judges versions that may end each engine that loads them. The load it
	// answers: such a version is named, and is ordered on, engine by engine, until the
	// fleet is gone, once more whenever the engines are back. After the first loss it is
	// loaded by one engine at a time, after the third rarely; an engine that holds it
	// clears it.
	trials struct {
		models map[cf.ModelName]*trial
		// ended are engines that ended and were not judged yet, news what their
		// ends have changed.
		ended []endedLoad
		news  []LoadCrash
	}

	endedLoad struct {
		engine  cf.InstanceID
		model   cf.ModelName
		version cf.WeightVersion
		// began is when its order was given, failedAt when it failed, zero if it was
		// under way.
		began, failedAt cf.Millis
	}
)

// noteEnd takes an engine's end, planned ones excepted.
func (t *trials) noteEnd(e *Engine) {
	switch {
	case e.Draining:
	case e.loading > 0:
		t.ended = append(t.ended, endedLoad{e.ID, e.Model, e.loading, e.loadBegan, 0})
	case e.failed > 0:
		t.ended = append(t.ended, endedLoad{e.ID, e.Model, e.failed, e.loadBegan, e.failedAt})
	}
}

// judge weighs the ends since the last call. held returns the newest version that an
// engine holds.
func (t *trials) judge(held func(cf.ModelName) cf.WeightVersion, now cf.Millis) {
	for m, tr := range t.models {
		if held(m) >= tr.version {
			delete(t.models, m)
		}
	}
	for _, e := range t.ended {
		if held(e.model) >= e.version || e.failedAt > 0 && now-e.failedAt > endedLate {
			continue
		}
		tr := t.models[e.model]
		if tr == nil || tr.version < e.version {
			losses := 0
			if tr != nil {
				losses = 1 // the one before was not cleared: one at a time at once
			}
			tr = &trial{version: e.version, losses: losses, lostAt: e.began}
			t.models[e.model] = tr
		}
		if e.began < tr.lostAt {
			continue
		}
		tr.losses, tr.lostAt = tr.losses+1, now
		rest := cf.Millis(0)
		if tr.losses >= trialLosses {
			rest = trialRest
			for range min(tr.losses-trialLosses, 4) {
				rest = min(trialGrowth*rest, trialMost)
			}
		}
		tr.until = now + rest
		t.news = append(t.news, LoadCrash{e.engine, e.model, e.version, tr.losses, rest})
	}
	t.ended = t.ended[:0]
}

// allows says whether an engine may load a version now; loading counts those of the
// model that do.
func (t *trials) allows(m cf.ModelName, v cf.WeightVersion, loading int, now cf.Millis) bool {
	tr := t.models[m]
	if tr == nil {
		return true
	}
	return loading == 0 && (tr.version < v || now >= tr.until)
}

// LoadCrashes returns the ends of engines that were judged since the last call.
func (p *Planner) LoadCrashes() []LoadCrash {
	news := p.trials.news
	p.trials.news = nil
	return news
}

// held returns the newest version of a model that an engine holds.
func (p *Planner) held(m cf.ModelName) cf.WeightVersion {
	var newest cf.WeightVersion
	for _, e := range p.engines {
		newest = max(newest, e.versions[m])
	}
	return newest
}

// onTrial counts the engines that load models of which a version is on trial.
func (p *Planner) onTrial() map[cf.ModelName]int {
	if len(p.trials.models) == 0 {
		return nil
	}
	out := map[cf.ModelName]int{}
	for _, e := range p.loadings {
		if e.loading > 0 && p.trials.models[e.Model] != nil {
			out[e.Model]++
		}
	}
	return out
}
