package cfbatch

import (
	cf "currantford"
)

const (
	// maxAge is the longest time that a finished item waits to be written together with others.
	// Waiting saves writes, each of which has a cost, and a step gains nothing from results before
	// its last group is complete. But if the coordinator dies, the results of this time are lost.
	maxAge cf.Millis = 1500
	// maxAgeBeforeDeadline replaces maxAge if it is known when the submitter needs the results. A
	// submitter that has received results polls again half a second after that read began, so a
	// chunk that is written just before the last one delays the whole step by that time.
	maxAgeBeforeDeadline cf.Millis = 2500
	// maxAgeNearDeadline replaces maxAge shortly before the deadline and after it: at this point
	// the groups that are already complete are worth more than the end of the step.
	maxAgeNearDeadline cf.Millis = 250
	// nearDeadline is how long before the deadline maxAgeNearDeadline applies: long enough for a
	// read in progress to end and for another one to be made.
	nearDeadline cf.Millis = 700
	// maxChunkBytes keeps a chunk below the store's value limit of 1 MB, and is large enough for
	// the long texts of the last groups of a step.
	maxChunkBytes = 640 << 10
)

// PendingResults holds the results of a batch that are not in the store yet.
type PendingResults struct {
	// Deadline is the cf.Uptime at which the submitter needs the results, or zero if it is not
	// known.
	Deadline     cf.Millis
	results      []cf.Result
	waitingSince cf.Millis
	bytes        int
	writing      bool
	startedAt    cf.Millis // start of the write in progress
}

// Add adds the result of a finished item.
func (p *PendingResults) Add(r cf.Result, now cf.Millis) {
	if len(p.results) == 0 {
		p.waitingSince = now
	}
	p.results = append(p.results, r)
	p.bytes += encodedSize(r)
}

// encodedSize returns an upper bound of the bytes that a result takes in the store.
func encodedSize(r cf.Result) int {
	n := resultOverhead + len(r.Output) + len(r.Score)
	for i := range len(r.Output) {
		switch c := r.Output[i]; {
		case c == '"' || c == '\\' || c == '\n':
			n++
		case c < ' ' || c == '<' || c == '>' || c == '&' || c >= 0x7f:
			n += len(`\u0000`) - 1
		}
	}
	return n
}

// resultOverhead covers the field names of an encoded result, its ids and its versions.
const resultOverhead = 200

// Len returns the number of pending results.
func (p *PendingResults) Len() int { return len(p.results) }

// Due reports whether a chunk should be written now: the groups that the submitter waits for are
// complete, the oldest result has waited for the maximum time, or the chunk is full. One complete
// group of several that the submitter waits for is no reason to write: a submitter that has just
// received results polls again only half a second later, so that chunk would delay the other
// groups.
func (p *PendingResults) Due(b *Batch, now cf.Millis) bool {
	if p.writing || len(p.results) == 0 {
		return false
	}
	if now-p.waitingSince >= p.maxWait(now) || p.bytes >= maxChunkBytes {
		return true
	}
	return p.completesTarget(b)
}

// maxWait returns how long a result may currently wait for others.
func (p *PendingResults) maxWait(now cf.Millis) cf.Millis {
	switch {
	case p.Deadline == 0:
		return maxAge
	case now < p.Deadline-nearDeadline:
		return min(maxAgeBeforeDeadline, p.Deadline-nearDeadline-p.waitingSince)
	default:
		return maxAgeNearDeadline
	}
}

func (p *PendingResults) completesTarget(b *Batch) bool {
	missing := p.Missing(b)
	for _, left := range missing {
		if left == 0 {
			return b.EnoughGroups(missing)
		}
	}
	return false
}

// Missing returns, for each group with pending results, how many of its items have neither a listed
// nor a pending result.
func (p *PendingResults) Missing(b *Batch) map[cf.GroupID]int {
	left := map[cf.GroupID]int{}
	for _, r := range p.results {
		it, _ := b.Item(r.ID)
		n, ok := left[it.Group]
		if !ok {
			n = b.GroupRemaining(it.Group)
		}
		left[it.Group] = n - 1
	}
	return left
}

// BeginWrite marks a write as in progress and returns the results to write as the next chunk. They
// stay pending until EndWrite is called.
func (p *PendingResults) BeginWrite(now cf.Millis) []cf.Result {
	p.writing, p.startedAt = true, now
	size := 0
	for i, r := range p.results {
		if size += encodedSize(r); i > 0 && size > maxChunkBytes {
			return p.results[:i]
		}
	}
	return p.results
}

// slowWrite is the duration of a write after which the store may hold results that the batch in
// memory lacks.
const slowWrite cf.Millis = 200

// InDoubt reports whether the store may have accepted a chunk that is not yet applied to the batch.
// An instance that reads the store would return its results, and a later read from memory would
// then return fewer.
func (p *PendingResults) InDoubt(now cf.Millis) bool { return p.writing && now-p.startedAt > slowWrite }

// DropListed drops the results that are listed after the chunks were read from the store again,
// since they would be listed twice. While a write is in progress it does nothing, as EndWrite drops
// them.
func (p *PendingResults) DropListed(b *Batch, now cf.Millis) {
	if !p.writing {
		p.EndWrite(b, now)
	}
}

// EndWrite ends a write, whether it succeeded or not. Results that are listed by now are dropped,
// and the others stay pending for the next write.
func (p *PendingResults) EndWrite(b *Batch, now cf.Millis) {
	p.writing = false
	var rest []cf.Result
	p.bytes = 0
	for _, r := range p.results {
		if b.Listed(r.ID) {
			continue
		}
		rest = append(rest, r)
		p.bytes += encodedSize(r)
	}
	p.results, p.waitingSince = rest, now
}
