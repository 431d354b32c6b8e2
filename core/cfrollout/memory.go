package cfrollout

import (
	cf "currantford"
)

const (
	// memoryWeight is the weight of a new observation of the tokens per event, which vary little
	// within a model.
	memoryWeight = 0.2
	// minMemoryEvents is how many events a run must have for its memory to show the tokens per
	// event, because the size of its prompt is known only in blocks.
	minMemoryEvents = 8
	// queryInterval is the minimum time between two queries for an engine's memory.
	queryInterval cf.Millis = 1000
	// equalPaceFactor is how much slower than the fastest engine an engine may be to be selected
	// for a long item because its runs are expected to need less memory. Length hints are often far
	// off, so three of the longest items stay off a single engine only if long items spread over
	// all engines of about the same pace.
	equalPaceFactor = 1.1
	// longTextFactor is how many times the usual length a text must have to count as long, that is,
	// to decide when its step is complete. One text in ten has five times the usual length.
	longTextFactor = 2
)

// memoryModel is what is known of the memory that texts need at engines. A step's longest texts
// start at or move to the fastest engines, and a few of them fill the memory of one. The engine
// then preempts its newest run for seconds, usually a text that was just moved there and that the
// step waits for.
type memoryModel struct {
	// tokensPerEvent is zero while unknown.
	tokensPerEvent float64
	// queriedAt is when each engine was last queried.
	queriedAt map[cf.InstanceID]cf.Millis
	// queries counts the queries since windowStart.
	queries     int
	windowStart cf.Millis
	// reports holds the memory reported by the engines of each service.
	reports map[cf.ServiceName]*reportedMemory
}

// reportedMemory is the memory that engines of a service have reported.
type reportedMemory struct {
	tokens  cf.Tokens
	engines map[cf.InstanceID]bool
	differs bool
}

// minEqualReports is how many engines must report the same memory before the other engines of their
// service are assumed to have it too.
const minEqualReports = 8

// noteReport records an engine's reported memory.
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

// capacity returns an engine's memory, zero if unknown: the reported one, or the one that all other
// engines of the service report.
func (m *memoryModel) capacity(e *Engine) cf.Tokens {
	if e.memoryReported {
		return e.Memory
	}
	if r := m.reports[e.Service]; r != nil && !r.differs && len(r.engines) >= minEqualReports {
		return r.tokens
	}
	return 0
}

// noteRuns learns the tokens per event from an engine's report of its runs.
func (m *memoryModel) noteRuns(runs []cf.TargetRun, works map[cf.RequestID]*Work) {
	for _, r := range runs {
		w := works[r.ID]
		if w == nil || w.resumeAfter > 0 || r.Events < minMemoryEvents || r.Tokens <= w.Item.PromptTokens {
			continue
		}
		tokens := float64(r.Tokens-w.Item.PromptTokens) / float64(r.Events)
		if m.tokensPerEvent == 0 {
			m.tokensPerEvent = tokens
		}
		m.tokensPerEvent += memoryWeight * (tokens - m.tokensPerEvent)
	}
}

// generated returns the number of events in an item's text.
func (w *Work) generated() float64 {
	generated := float64(w.resumeAfter)
	if w.Engine != "" {
		generated += float64(w.Progress.events.Load())
	}
	return generated
}

// expectedMemory returns the memory that an item is expected to need at its end: in tokens if the
// tokens per event are known, otherwise in events, or as hinted by the submitter.
func (p *Planner) expectedMemory(w *Work) float64 {
	switch {
	case p.memory.tokensPerEvent > 0:
		tokens := float64(w.Item.PromptTokens) + p.memory.tokensPerEvent*(w.generated()+p.remaining(w))
		if most := float64(w.Item.MaxTokens); most > 0 {
			return min(tokens, most)
		}
		return tokens
	case p.lengths.started:
		return w.generated() + p.remaining(w)
	default:
		return max(float64(w.Item.LengthHint), 1)
	}
}

// updateUsage recomputes the engines' memory use and isolation limits from their current runs.
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

// fitsMemory says whether an engine has enough memory for an item in addition to its other runs.
func (p *Planner) fitsMemory(e *Engine, w *Work) bool {
	memory := p.memory.capacity(e)
	return memory == 0 || p.memory.tokensPerEvent == 0 || e.usedMemory+p.expectedMemory(w) <= float64(memory)
}

// IsLong says whether an item's text is, or is expected to be, one of the long texts that decide
// when its step is complete.
func (p *Planner) IsLong(w *Work) bool {
	if !p.lengths.started {
		return w.relativeHint >= longTextFactor
	}
	return w.generated()+p.remaining(w) >= longTextFactor*p.lengths.mean
}

// meanHint returns the mean length hint of the items that have one, 1 if none has.
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

// maxQueries is how many engines are queried within queryInterval. A few reports of the tokens per
// event and of the memory of similar engines make the other queries unnecessary.
const maxQueries = 2 * minEqualReports

// EnginesToQuery returns the engines to query for their memory, up to maxQueries at a time: busy
// engines whose memory is unknown, and any busy engine while the tokens per event are unknown.
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
