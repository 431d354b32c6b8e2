package cfrollout

import (
	cf "currantford"
)

const (
	// memoryWeight is the weight of the newest observation of the tokens that an
	// event takes, which differ little within a model.
	memoryWeight = 0.2
	// minMemoryEvents is how many events a run must have made to show it: its prompt
	// is known in blocks only.
	minMemoryEvents = 8
	// queryInterval is the least time between questions for an engine's memory.
	queryInterval cf.Millis = 1000
	// equalPaceFactor is how much slower than the fastest an engine may be that takes a long
	// item because its runs are expected to take less memory. Guesses of lengths are
	// often far off, so what keeps three of the longest off one engine is that the
	// long ones spread over all of about one pace.
	equalPaceFactor = 1.1
	// longTextFactor is how many times the usual length a text is that decides when its
	// step is whole: one in ten has five times the usual.
	longTextFactor = 2
)

// memoryModel is what is known of the tokens that texts take in engines' memory. The load
// it answers: a step's longest texts are started or moved to the fastest engines, and
// a few of them fill the memory of one. It then puts back the newest run, which stands
// still for seconds: mostly a text that had just been moved there, which the step waits
// for.
type memoryModel struct {
	// tokensPerEvent is the tokens of an event, zero while that is not known.
	tokensPerEvent float64
	// queriedAt is when which engine was asked.
	queriedAt map[cf.InstanceID]cf.Millis
	// queries counts the questions since askedAt.
	queries     int
	windowStart cf.Millis
	// reports are the engines of each service that have told their memory.
	reports map[cf.ServiceName]*reportedMemory
}

// reportedMemory is what engines of a service have told of their memory.
type reportedMemory struct {
	tokens  cf.Tokens
	engines map[cf.InstanceID]bool
	differs bool
}

// minEqualReports is from how many engines on that have the same memory the others of their
// service are taken to have it too.
const minEqualReports = 8

// noteReport takes an engine's memory.
func (m *memoryModel) noteReport(e *Engine) {
	r := m.reports[e.Service]
	if r == nil {
		r = &reportedMemory{tokens: e.Memory, engines: map[cf.InstanceID]bool{}}
		m.reports[e.Service] = r
	}
	r.differs = r.differs || r.tokens != e.Memory
	if len(r.engines) < minEqualReports {
		r.engines[e.ID] = true
	}
}

// capacity returns an engine's memory, zero where it is not known: as it has told, or as all
// others have.
func (m *memoryModel) capacity(e *Engine) cf.Tokens {
	if e.memoryReported {
		return e.Memory
	}
	if r := m.reports[e.Service]; r != nil && !r.differs && len(r.engines) >= minEqualReports {
		return r.tokens
	}
	return 0
}

// noteRuns takes an engine's account of the runs that it holds.
func (m *memoryModel) noteRuns(runs []cf.TargetRun, works map[cf.RequestID]*Work) {
	for _, r := range runs {
		w := works[r.ID]
		if w == nil || w.resumeAfter > 0 || r.Events < minMemoryEvents || r.Tokens <= w.Item.Prompt {
			continue
		}
		tokens := float64(r.Tokens-w.Item.Prompt) / float64(r.Events)
		if m.tokensPerEvent == 0 {
			m.tokensPerEvent = tokens
		}
		m.tokensPerEvent += memoryWeight * (tokens - m.tokensPerEvent)
	}
}

// generated counts the events of an item's text.
func (w *Work) generated() float64 {
	generated := float64(w.resumeAfter)
	if w.Engine != "" {
		generated += float64(w.Progress.events.Load())
	}
	return generated
}

// expectedMemory is what an item is expected to take of an engine's memory at its end: in
// tokens, or until their number is known in events, or as its submitter guesses.
func (p *Planner) expectedMemory(w *Work) float64 {
	switch {
	case p.memory.tokensPerEvent > 0:
		tokens := float64(w.Item.Prompt) + p.memory.tokensPerEvent*(w.generated()+p.remaining(w))
		if most := float64(w.Item.Tokens); most > 0 {
			return min(tokens, most)
		}
		return tokens
	case p.lengths.started:
		return w.generated() + p.remaining(w)
	default:
		return max(float64(w.Item.LengthHint), 1)
	}
}

// updateUsage makes what the engines hold, and which of them are set apart, that of the runs that
// they have now.
func (p *Planner) updateUsage() {
	for id, e := range p.busyEngines {
		if e.usedMemory, e.isolationLimit = 0, 0; e.Running == 0 {
			delete(p.busyEngines, id)
		}
	}
	p.eachRunning(func(w *Work) {
		if w.engine != nil {
			w.engine.usedMemory += p.expectedMemory(w)
			w.applyIsolationLimit()
		}
	})
}

// fitsMemory says whether an engine has memory for an item beside what its runs are
// expected to take.
func (p *Planner) fitsMemory(e *Engine, w *Work) bool {
	memory := p.memory.capacity(e)
	return memory == 0 || p.memory.tokensPerEvent == 0 || e.usedMemory+p.expectedMemory(w) <= float64(memory)
}

// IsLong says whether an item's text is, or is expected to be, one of those that its
// step waits for.
func (p *Planner) IsLong(w *Work) bool {
	if !p.lengths.started {
		return w.relativeHint >= longTextFactor
	}
	return w.generated()+p.remaining(w) >= longTextFactor*p.lengths.mean
}

// meanHint returns what the submitter of items guesses of their length on average, 1
// where it does not.
func meanHint(items []cf.Item) float64 {
	sum, n := 0.0, 0
	for _, it := range items {
		if it.LengthHint > 0 {
			sum += float64(it.LengthHint)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// maxQueries is how many engines are asked in the time of one question: what a few tell of the
// tokens of events, and of the memory of engines that are alike, spares the others theirs.
const maxQueries = 2 * minEqualReports

// EnginesToQuery returns the engines to ask for their memory, askMost at a time: those with runs of
// which it is not known, and any while nothing is known of the tokens of events.
func (p *Planner) EnginesToQuery(now cf.Millis) []cf.Target {
	if now-p.memory.windowStart >= queryInterval {
		p.memory.windowStart, p.memory.queries = now, 0
	}
	var out []cf.Target
	for id, e := range p.busyEngines {
		if p.memory.queries >= maxQueries {
			break
		}
		known := e.memoryReported || p.memory.capacity(e) > 0
		if e.Running == 0 || now-p.memory.queriedAt[id] < queryInterval || known && p.memory.tokensPerEvent > 0 {
			continue
		}
		p.memory.queriedAt[id] = now
		p.memory.queries++
		out = append(out, e.Target)
	}
	return out
}
