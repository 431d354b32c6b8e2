package cfbatch

import (
	cf "currantford"
)

const (
	// maxAge is the longest that a finished item waits for others to be
	// written with it. Each write is paid for, and a step is worth nothing
	// more before its last group is whole; a coordinator that dies loses the
	// work of this span.
	maxAge cf.Millis = 1500
	// maxAgeBeforeDeadline is the same where it is known when the submitter needs the
	// results. One that has read something looks again half a second after it
	// began to, so a chunk just before the last one costs the whole step that.
	maxAgeBeforeDeadline cf.Millis = 2500
	// maxAgeNearDeadline is the same shortly before and after that time: by then what is
	// whole earns more than the step's end.
	maxAgeNearDeadline cf.Millis = 250
	// nearDeadline is how long before the deadline that begins: a read under way
	// ends, and another is made.
	nearDeadline cf.Millis = 700
	// maxChunkBytes keeps a chunk under the store's value limit of 1 MB, and has
	// room for the long texts of a step's last groups.
	maxChunkBytes = 640 << 10
)

// PendingResults holds the finished items of a batch that are not in the store yet.
type PendingResults struct {
	// Deadline is the Uptime at which the submitter needs the results, zero
	// if that is not known.
	Deadline     cf.Millis
	results      []cf.Result
	waitingSince cf.Millis
	bytes        int
	writing      bool
	writeStarted cf.Millis // of the write under way
}

// Add takes a finished item.
func (p *PendingResults) Add(r cf.Result, now cf.Millis) {
	if len(p.results) == 0 {
		p.waitingSince = now
	}
	p.results = append(p.results, r)
	p.bytes += encodedSize(r)
}

// encodedSize returns the bytes that a result takes in the store, at most.
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

// resultOverhead is what the names of a result's fields, its ids and its versions
// take.
const resultOverhead = 200

// Len counts the items that wait.
func (p *PendingResults) Len() int { return len(p.results) }

// Due says whether to write a chunk now: the groups that the submitter waits
// for are whole, or the oldest result has waited enough. A submitter that has
// just read something looks again half a second later, so a chunk with the one
// group of several that it waits for would hold the others up.
func (p *PendingResults) Due(b *Batch, now cf.Millis) bool {
	if p.writing || len(p.results) == 0 {
		return false
	}
	if now-p.waitingSince >= p.maxWait(now) || p.bytes >= maxChunkBytes {
		return true
	}
	return p.completesTarget(b)
}

// maxWait is how long a result may wait for others now.
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

// Missing counts, for each group with items that wait here, those of its items
// that have no result at all.
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

// BeginWrite returns the results to write as the next chunk and marks a write as
// under way; the results stay until Wrote.
func (p *PendingResults) BeginWrite(now cf.Millis) []cf.Result {
	p.writing, p.writeStarted = true, now
	size := 0
	for i, r := range p.results {
		if size += encodedSize(r); i > 0 && size > maxChunkBytes {
			return p.results[:i]
		}
	}
	return p.results
}

// inDoubtAfter is how long a write may be under way before the store may hold what
// the batch in memory does not.
const inDoubtAfter cf.Millis = 200

// WriteInDoubt says whether the store may have taken a chunk that the batch does not
// show yet. An instance that reads the store would show it, and a read from
// memory afterwards would take it back.
func (p *PendingResults) InDoubt(now cf.Millis) bool {
	return p.writing && now-p.writeStarted > inDoubtAfter
}

// DropListed drops the results that the batch lists by now, after its chunks were
// read again: they would be listed twice. A write under way does so at its end.
func (p *PendingResults) DropListed(b *Batch, now cf.Millis) {
	if !p.writing {
		p.EndWrite(b, now)
	}
}

// EndWrite ends a write, whatever came of it: the results that the batch lists
// by now are dropped, the others wait for the next.
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
