package cfrollout

import (
	cf "currantford"
)

const (
	// memoryWeight is the weight of the newest observation of the tokens that an
	// event takes, which differ little within a model.
	memoryWeight = 0.2
	// memoryEvents is how many events a run must have made to show it: its prompt
	// is known in blocks only.
	memoryEvents = 8
	// askEvery is the least time between questions for an engine's memory.
	askEvery cf.Millis = 1000
	// evenPace is how much slower than the fastest an engine may be that takes a long
	// item because its runs are expected to take less memory. Guesses of lengths are
	// often far off, so what keeps three of the longest off one engine is that the
	// long ones spread over all of about one pace.
	evenPace = 1.1
	// longText is how many times the usual length a text is that decides when its
	// step is whole: one in ten has five times the usual.
	longText = 2
)

// memory is what is known of the tokens that texts take in engines' memory. The load
// it answers: a step's longest texts are started or moved to the fastest engines, and
// a few of them fill the memory of one. It then puts back the newest run, which stands
// still for seconds: mostly a text that had just been moved there, which the step waits
// for.
type memory struct {
	// perEvent is the tokens of an event, zero while that is not known.
	perEvent float64
	// asked is when which engine was asked.
	asked map[cf.InstanceID]cf.Millis
	// askedNow counts the questions since askedAt.
	askedNow int
	askedAt  cf.Millis
	// told are the engines of each service that have told their memory.
	told map[cf.ServiceName]*toldMemory
}

// toldMemory is what engines of a service have told of their memory.
type toldMemory struct {
	tokens cf.Tokens
	by     map[cf.InstanceID]bool
	differ bool
}

// alikeFrom is from how many engines on that have the same memory the others of their
// service are taken to have it too.
const alikeFrom = 8

// tell takes an engine's memory.
func (m *memory) tell(e *Engine) {
	t := m.told[e.Service]
	if t == nil {
		t = &toldMemory{tokens: e.Memory, by: map[cf.InstanceID]bool{}}
		m.told[e.Service] = t
	}
	t.differ = t.differ || t.tokens != e.Memory
	if len(t.by) < alikeFrom {
		t.by[e.ID] = true
	}
}

// of returns an engine's memory, zero where it is not known: as it has told, or as all
// others have.
func (m *memory) of(e *Engine) cf.Tokens {
	if e.told {
		return e.Memory
	}
	if t := m.told[e.Service]; t != nil && !t.differ && len(t.by) >= alikeFrom {
		return t.tokens
	}
	return 0
}

// note takes an engine's account of the runs that it holds.
func (m *memory) note(runs []cf.TargetRun, works map[cf.RequestID]*Work) {
	for _, r := range runs {
		w := works[r.ID]
		if w == nil || w.from > 0 || r.Events < memoryEvents || r.Tokens <= w.Item.Prompt {
			continue
		}
		tokens := float64(r.Tokens-w.Item.Prompt) / float64(r.Events)
		if m.perEvent == 0 {
			m.perEvent = tokens
		}
		m.perEvent += memoryWeight * (tokens - m.perEvent)
	}
}

// made counts the events of an item's text.
func (w *Work) made() float64 {
	made := float64(w.from)
	if w.Engine != "" {
		made += float64(w.Progress.events.Load())
	}
	return made
}

// size is what an item is expected to take of an engine's memory at its end: in
// tokens, or until their number is known in events, or as its submitter guesses.
func (p *Planner) size(w *Work) float64 {
	switch {
	case p.memory.perEvent > 0:
		tokens := float64(w.Item.Prompt) + p.memory.perEvent*(w.made()+p.left(w))
		if most := float64(w.Item.Tokens); most > 0 {
			return min(tokens, most)
		}
		return tokens
	case p.lengths.started:
		return w.made() + p.left(w)
	default:
		return max(float64(w.Item.LengthHint), 1)
	}
}

// takeSizes makes what the engines hold, and which of them are set apart, that of the runs that
// they have now.
func (p *Planner) takeSizes() {
	for id, e := range p.busy {
		if e.used, e.most = 0, 0; e.Running == 0 {
			delete(p.busy, id)
		}
	}
	p.eachRunning(func(w *Work) {
		if w.engine != nil {
			w.engine.used += p.size(w)
			w.noteApart()
		}
	})
}

// fits says whether an engine has memory for an item beside what its runs are
// expected to take.
func (p *Planner) fits(e *Engine, w *Work) bool {
	memory := p.memory.of(e)
	return memory == 0 || p.memory.perEvent == 0 || e.used+p.size(w) <= float64(memory)
}

// IsLong says whether an item's text is, or is expected to be, one of those that its
// step waits for.
func (p *Planner) IsLong(w *Work) bool {
	if !p.lengths.started {
		return w.guess >= longText
	}
	return w.made()+p.left(w) >= longText*p.lengths.events
}

// meanGuess returns what the submitter of items guesses of their length on average, 1
// where it does not.
func meanGuess(items []cf.Item) float64 {
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

// askMost is how many engines are asked in the time of one question: what a few tell of the
// tokens of events, and of the memory of engines that are alike, spares the others theirs.
const askMost = 2 * alikeFrom

// EnginesToQuery returns the engines to ask for their memory, askMost at a time: those with runs of
// which it is not known, and any while nothing is known of the tokens of events.
func (p *Planner) EnginesToQuery(now cf.Millis) []cf.Target {
	if now-p.memory.askedAt >= askEvery {
		p.memory.askedAt, p.memory.askedNow = now, 0
	}
	var out []cf.Target
	for id, e := range p.busy {
		if p.memory.askedNow >= askMost {
			break
		}
		known := e.told || p.memory.of(e) > 0
		if e.Running == 0 || now-p.memory.asked[id] < askEvery || known && p.memory.perEvent > 0 {
			continue
		}
		p.memory.asked[id] = now
		p.memory.askedNow++
		out = append(out, e.Target)
	}
	return out
}
