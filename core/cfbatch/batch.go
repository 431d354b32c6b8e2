// Package cfbatch holds an accepted batch and its results in memory: which items have a result, the
// position of each result, and the name of the next chunk of results to write to the store. Only
// Create and Fetch make calls, to the store that they are given.
//
// Results are stored as numbered chunks, one object per chunk, and a chunk is created only if no
// object of that name exists. The writer of chunk n has read chunks 0 to n-1 and includes no item
// that they contain. Therefore neither two coordinators that run the same batch nor a write that
// takes effect seconds late can list an item twice or change a position, and no lease is needed.
//
// A batch holds the requests of one training step; its submitter is the trainer. An item is listed
// once its result has a position. A group is complete once all its items are listed.
//
// Usage:
//
//	b := cfbatch.New(submission)
//	applied := b.Apply(chunkName, chunk.Results)
//	page := b.Page(0)
package cfbatch

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"github.com/rotisserie/eris"

	cf "currantford"
)

// maxPageBytes limits the output text of one page of results, because the callers' protocol allows
// 1 MB per response.
const maxPageBytes = 700 << 10

type (
	// Batch is an accepted batch with its results.
	Batch struct {
		Sub     cf.Submission
		Ended   bool
		index   map[cf.ItemID]int
		listed  map[cf.ItemID]bool
		results []cf.Result
		// chunkOf holds, for each result, the number of the chunk that contains it.
		chunkOf        []int
		chunkCount     int
		outputBytes    int
		remaining      map[cf.GroupID]int // items not yet listed, by group
		completeGroups int                // groups of which all items are listed
		// carriedOver holds the groups that an earlier batch left incomplete.
		carriedOver map[cf.GroupID]bool
	}

	// Chunk is the spec of the object that stores a chunk of results.
	Chunk struct {
		Results []cf.Result `json:"results"`
	}

	// PageRef describes a page of results without their content: the item at each position and the
	// names of the stored chunks that contain the results.
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

// Ended reports whether the status of a batch's object says that the batch was ended.
func Ended(object cf.Record) bool {
	var st cf.BatchStatus
	if len(object.Status) == 0 || json.Unmarshal(object.Status, &st) != nil {
		return false // no status has been written yet
	}
	return st.Ended
}

// ApplyAll applies chunks, given in any order, and ignores those that were applied before.
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

// Apply adds the results of the chunk called name if it is the next chunk, and reports whether it
// did.
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

// appendResult gives a result the next position. It ignores a result of an unknown item or of an
// item that is already listed. Every reader of the chunk ignores the same results, so all agree on
// the positions.
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
		b.completeGroups++
	}
}

// NextChunk returns the name of the chunk to create next.
func (b *Batch) NextChunk() string { return chunkName(b.chunkCount) }

func chunkName(n int) string { return fmt.Sprintf("%06d", n) }

// Listed reports whether an item has a result with a position.
func (b *Batch) Listed(id cf.ItemID) bool { return b.listed[id] }

// Item returns an item of the batch, and false if the batch has no such item.
func (b *Batch) Item(id cf.ItemID) (cf.Item, bool) {
	i, ok := b.index[id]
	if !ok {
		return cf.Item{}, false
	}
	return b.Sub.Items[i], true
}

// Complete reports whether every item is listed.
func (b *Batch) Complete() bool { return len(b.listed) == len(b.Sub.Items) }

// CarryOver marks a group that was also in an earlier batch and was incomplete in the results that
// the submitter read. The submitter waits for this group, however many other groups are complete.
func (b *Batch) CarryOver(g cf.GroupID) {
	if b.carriedOver == nil {
		b.carriedOver = map[cf.GroupID]bool{}
	}
	b.carriedOver[g] = true
}

// EnoughGroups reports whether the listed results are all that the submitter waits for: the target
// number of complete groups, and every group that was carried over. The argument missing covers the
// groups with results that are about to be listed, and counts the items of each that will have no
// result even then.
func (b *Batch) EnoughGroups(missing map[cf.GroupID]int) bool {
	complete := b.completeGroups
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

// CarriedOver reports whether a group was marked by CarryOver.
func (b *Batch) CarriedOver(g cf.GroupID) bool { return b.carriedOver[g] }

// GroupCount returns the number of groups in the batch.
func (b *Batch) GroupCount() int { return len(b.remaining) }

// CompleteGroups returns the number of groups of which every item is listed.
func (b *Batch) CompleteGroups() int { return b.completeGroups }

// GroupRemaining returns the number of items of a group that are not listed.
func (b *Batch) GroupRemaining(g cf.GroupID) int { return b.remaining[g] }

// ListedCount returns the number of results.
func (b *Batch) ListedCount() int { return len(b.results) }

// ListedFrom returns the results from position n on.
func (b *Batch) ListedFrom(n int) []cf.Result { return b.results[min(n, len(b.results)):] }

// Size returns the bytes of output text that the batch holds.
func (b *Batch) Size() int { return b.outputBytes }

// Page returns the results from position after on: at most about 700 KB of them, and at least one
// if there is one.
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

// PageRef returns where the store holds the results of page p. The page must have been returned by
// Page for the same position.
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

// Resolve builds the page from the chunks that p.Chunks names. It returns false if the chunks lack
// one of the results.
func (p PageRef) Resolve(chunks []Chunk) (cf.ResultPage, bool) {
	found := map[cf.ItemID]cf.Result{}
	for _, c := range chunks {
		for _, r := range c.Results {
			if _, known := found[r.ID]; !known { // only the first result of an item has a position
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
