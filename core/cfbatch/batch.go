// Package cfbatch keeps one batch's results: which items are listed, at which
// position, and what the next chunk of results in the store is. It makes no
// calls itself.
//
// Results are kept as numbered chunks, one object each, created only if the
// object does not exist. Whoever creates chunk n has read chunks 0 to n-1 and
// lists no item that they hold. So two executors of one batch, or a write
// that takes effect seconds late, can't list an item twice or change a
// position, without any lease.
//
// Usage:
//
//	b := cfbatch.New(submission)
//	err := b.Apply(chunk.Name, chunk.Results)
//	name, results := b.Unlisted(finished)
package cfbatch

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"github.com/rotisserie/eris"

	cf "currantford"
)

// maxPageBytes bounds one read of results; the callers' protocol allows 1 MB.
const maxPageBytes = 700 << 10

type (
	// Batch is an accepted batch with its results.
	Batch struct {
		Sub     cf.Submission
		Ended   bool
		index   map[cf.ItemID]int
		listed  map[cf.ItemID]bool
		results []cf.Result
		// chunkOf is the number of the chunk that holds each result.
		chunkOf     []int
		chunkCount  int
		outputBytes int
		remaining   map[cf.GroupID]int // items not yet listed
		complete    int                // groups with all items listed
		// carriedOver are the groups that an earlier batch left unfinished.
		carriedOver map[cf.GroupID]bool
	}

	// Chunk is the spec of a chunk's object.
	Chunk struct {
		Results []cf.Result `json:"results"`
	}

	// PageRef is a page of results without the results: the items at its positions,
	// and the chunks of the store that hold them.
	PageRef struct {
		Total  int         `cbor:"total"`
		Next   int         `cbor:"next"`
		Items  []cf.ItemID `cbor:"items"`
		Chunks []string    `cbor:"chunks"`
	}
)

// New returns a batch without results.
func New(sub cf.Submission) *Batch {
	b := &Batch{
		Sub: sub, index: make(map[cf.ItemID]int, len(sub.Items)), listed: map[cf.ItemID]bool{},
		remaining: map[cf.GroupID]int{},
	}
	for i, it := range sub.Items {
		b.index[it.ID] = i
		b.remaining[it.Group]++
	}
	return b
}

// Ended says whether a batch's object says that it was ended.
func Ended(object cf.Record) bool {
	var st cf.BatchStatus
	if len(object.Status) == 0 || json.Unmarshal(object.Status, &st) != nil {
		return false // no status was written yet
	}
	return st.Ended
}

// ApplyAll takes chunks in any order; those already known are passed over.
func (b *Batch) ApplyAll(chunks []cf.Record) error {
	sort.Slice(chunks, func(i, j int) bool { return chunks[i].Name < chunks[j].Name })
	for _, r := range chunks {
		var c Chunk
		if err := json.Unmarshal(r.Spec, &c); err != nil {
			return eris.Wrapf(cf.ErrInvalid, "chunk %s of batch %s: %v", r.Name, b.Sub.ID, err)
		}
		b.Apply(r.Name, c.Results)
	}
	return nil
}

// Apply takes the chunk called name if it is the next one.
func (b *Batch) Apply(name string, results []cf.Result) bool {
	if name != b.NextChunk() {
		return false
	}
	b.chunkCount++
	for _, r := range results {
		b.appendResult(r)
	}
	return true
}

// appendResult gives a result the next position. One of no item, or of an item that has
// its position, gets none: whoever reads the chunk decides the same.
func (b *Batch) appendResult(r cf.Result) {
	i, known := b.index[r.ID]
	if !known || b.listed[r.ID] {
		return
	}
	b.results = append(b.results, r)
	b.chunkOf = append(b.chunkOf, b.chunkCount-1)
	b.outputBytes += len(r.Output)
	b.listed[r.ID] = true
	g := b.Sub.Items[i].Group
	if b.remaining[g]--; b.remaining[g] == 0 {
		b.complete++
	}
}

// NextChunk is the name of the chunk to create next.
func (b *Batch) NextChunk() string { return chunkName(b.chunkCount) }

func chunkName(n int) string { return fmt.Sprintf("%06d", n) }

// Listed says whether an item has its position.
func (b *Batch) Listed(id cf.ItemID) bool { return b.listed[id] }

// Item returns an item of the batch.
func (b *Batch) Item(id cf.ItemID) (cf.Item, bool) {
	i, ok := b.index[id]
	if !ok {
		return cf.Item{}, false
	}
	return b.Sub.Items[i], true
}

// Complete says whether every item is listed.
func (b *Batch) Complete() bool { return len(b.listed) == len(b.Sub.Items) }

// CarryOver notes a group that an earlier batch had too, and left unfinished as its
// submitter saw it: the submitter waits for it, however many others are whole.
func (b *Batch) CarryOver(g cf.GroupID) {
	if b.carriedOver == nil {
		b.carriedOver = map[cf.GroupID]bool{}
	}
	b.carriedOver[g] = true
}

// EnoughGroups says whether what is listed is all that the submitter waits for. left
// are the groups with results that are about to be listed, and how many of their
// items will be missing then.
func (b *Batch) EnoughGroups(missing map[cf.GroupID]int) bool {
	complete := b.complete
	for _, n := range missing {
		if n == 0 {
			complete++
		}
	}
	for g := range b.carriedOver {
		n, known := missing[g]
		if !known {
			n = b.remaining[g]
		}
		if n > 0 {
			return false
		}
	}
	return complete >= b.Sub.TargetGroups
}

// CarriedOver says whether a group was noted by Carry.
func (b *Batch) CarriedOver(g cf.GroupID) bool { return b.carriedOver[g] }

// GroupCount counts the batch's groups.
func (b *Batch) GroupCount() int { return len(b.remaining) }

// CompleteGroups counts the groups of which every item is listed.
func (b *Batch) CompleteGroups() int { return b.complete }

// GroupRemaining counts a group's items that are not listed.
func (b *Batch) GroupRemaining(g cf.GroupID) int { return b.remaining[g] }

// ListedCount counts the results.
func (b *Batch) ListedCount() int { return len(b.results) }

// ListedFrom returns the results from position n on.
func (b *Batch) ListedFrom(n int) []cf.Result { return b.results[min(n, len(b.results)):] }

// Size is the bytes of text that the batch holds.
func (b *Batch) Size() int { return b.outputBytes }

// Page returns the results from position after on, at most about 700 KB, and
// at least one if there is one.
func (b *Batch) Page(after int) cf.ResultPage {
	p := cf.ResultPage{Total: len(b.Sub.Items), Next: max(after, 0)}
	size := 0
	for i := p.Next; i < len(b.results); i++ {
		size += len(b.results[i].Output)
		if len(p.Results) > 0 && size > maxPageBytes {
			break
		}
		p.Results = append(p.Results, b.results[i])
	}
	p.Next += len(p.Results)
	return p
}

// PageRef says where the results of a page that Page returned for the same position
// lie in the store.
func (b *Batch) PageRef(after int, p cf.ResultPage) PageRef {
	out := PageRef{Total: p.Total, Next: p.Next}
	first := max(after, 0)
	for i, r := range p.Results {
		out.Items = append(out.Items, r.ID)
		if name := chunkName(b.chunkOf[first+i]); !slices.Contains(out.Chunks, name) {
			out.Chunks = append(out.Chunks, name)
		}
	}
	return out
}

// Resolve puts a page together from the chunks that Places names; false if a result is
// not in them.
func (p PageRef) Resolve(chunks []Chunk) (cf.ResultPage, bool) {
	found := map[cf.ItemID]cf.Result{}
	for _, c := range chunks {
		for _, r := range c.Results {
			if _, known := found[r.ID]; !known { // the first one has the position
				found[r.ID] = r
			}
		}
	}
	page := cf.ResultPage{Total: p.Total, Next: p.Next}
	for _, id := range p.Items {
		r, known := found[id]
		if !known {
			return cf.ResultPage{}, false
		}
		page.Results = append(page.Results, r)
	}
	return page, true
}
