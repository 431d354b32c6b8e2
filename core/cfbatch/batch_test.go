package cfbatch_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strconv"
	"strings"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
)

func submission(groups, size int) cf.Submission {
	sub := cf.Submission{ID: "b", TargetGroups: groups}
	for g := range groups {
		for i := range size {
			sub.Items = append(sub.Items, cf.Item{ID: cf.ItemID(fmt.Sprintf("%d-%d", g, i)), Group: cf.GroupID(fmt.Sprint(g))})
		}
	}
	return sub
}

func doneResult(id cf.ItemID) cf.Result {
	return cf.Result{ID: id, State: cf.ItemDone, Output: "text of " + string(id)}
}

// chunkStore holds chunk objects by name. A chunk is created only if none of that name exists.
type chunkStore map[string]cf.Record

func (s chunkStore) create(name string, results []cf.Result) bool {
	if _, ok := s[name]; ok {
		return false
	}
	raw, err := json.Marshal(cfbatch.Chunk{Results: results})
	if err != nil {
		panic(err)
	}
	s[name] = cf.Record{Name: name, Spec: raw}
	return true
}

func (s chunkStore) records() []cf.Record {
	var out []cf.Record
	for _, r := range s {
		out = append(out, r)
	}
	return out
}

// TestTwoCoordinatorsListEachItemOnce guards against an item that is listed at two positions, and
// against a position that changes. Either happens if a chunk is written without having read the
// chunks before it. Two coordinators finish the same items and write chunks, each having read more
// or less of the other's, and some writes take effect late.
func TestTwoCoordinatorsListEachItemOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 60 {
		sub := submission(5, 4)
		store := chunkStore{}
		coordinators := []*cfbatch.Batch{cfbatch.New(sub), cfbatch.New(sub)}
		type write struct {
			name    string
			results []cf.Result
		}
		var lateWrites []write
		seen := cfbatch.New(sub)
		for range 120 {
			b := coordinators[random.IntN(2)]
			var fresh []cf.Result
			for _, it := range sub.Items {
				if !b.Listed(it.ID) && random.IntN(4) == 0 {
					fresh = append(fresh, doneResult(it.ID))
				}
			}
			switch random.IntN(4) {
			case 0:
				if err := b.ApplyAll(store.records()); err != nil {
					t.Fatal(err)
				}
			case 1:
				lateWrites = append(lateWrites, write{b.NextChunk(), fresh})
			case 2:
				for _, w := range lateWrites {
					store.create(w.name, w.results)
				}
				lateWrites = nil
			default:
				if store.create(b.NextChunk(), fresh) {
					b.Apply(b.NextChunk(), fresh)
				}
			}
			checkListedPrefix(t, seen, store)
		}
	}
}

// checkListedPrefix reads the store as any instance would, and checks that the results read before
// are still at their positions and that no item is listed twice.
func checkListedPrefix(t *testing.T, seen *cfbatch.Batch, store chunkStore) {
	t.Helper()
	now := cfbatch.New(seen.Sub)
	if err := now.ApplyAll(store.records()); err != nil {
		t.Fatal(err)
	}
	before, after := seen.Page(0).Results, now.Page(0).Results
	if len(after) < len(before) {
		t.Fatalf("%d results read, %d were read before", len(after), len(before))
	}
	ids := map[cf.ItemID]bool{}
	for i, r := range after {
		if ids[r.ID] {
			t.Fatalf("item %s is listed twice", r.ID)
		}
		ids[r.ID] = true
		if i < len(before) && before[i].ID != r.ID {
			t.Fatalf("position %d held item %s and now holds %s", i, before[i].ID, r.ID)
		}
	}
	if err := seen.ApplyAll(store.records()); err != nil {
		t.Fatal(err)
	}
}

func TestPagesAreContiguous(t *testing.T) {
	b := cfbatch.New(submission(3, 2))
	var all []cf.Result
	for _, it := range b.Sub.Items {
		r := doneResult(it.ID)
		r.Output = string(make([]byte, 300<<10))
		all = append(all, r)
	}
	b.Apply(b.NextChunk(), all)
	next, n := 0, 0
	for next < len(all) {
		p := b.Page(next)
		if len(p.Results) == 0 || p.Next != next+len(p.Results) || p.Total != 6 {
			t.Fatalf("page at %d: %d results, next %d, total %d", next, len(p.Results), p.Next, p.Total)
		}
		next = p.Next
		n++
	}
	if n < 2 {
		t.Error("one page has all 1.8 MB of results")
	}
	if p := b.Page(99); len(p.Results) != 0 {
		t.Error("a page after the last result is not empty")
	}
}

// A chunk is due at once when the groups that the trainer waits for are complete, and otherwise
// when its oldest result has waited for the maximum time.
func TestChunkIsDueWhenTargetGroupsAreComplete(t *testing.T) {
	sub := submission(3, 2)
	sub.TargetGroups = 2
	b := cfbatch.New(sub)
	var p cfbatch.PendingResults
	for i, id := range []cf.ItemID{"0-0", "0-1", "1-0"} {
		p.Add(doneResult(id), cf.Millis(i))
		if p.Due(b, 100) {
			t.Errorf("chunk is due after item %s, before two groups are complete", id)
		}
	}
	p.Add(doneResult("1-1"), 10)
	if !p.Due(b, 100) {
		t.Fatal("chunk is not due although two groups are complete")
	}
	results := p.BeginWrite(100)
	if p.InDoubt(200) || !p.InDoubt(400) {
		t.Error("a write is in doubt after 100 ms, or is not after 300 ms")
	}
	if p.Due(b, 5000) {
		t.Error("chunk is due while another is being written")
	}
	p.Add(doneResult("2-0"), 20)
	b.Apply(b.NextChunk(), results)
	p.EndWrite(b, 30)
	if p.Len() != 1 || p.Due(b, 100) || !p.Due(b, 5000) {
		t.Errorf("%d results pending, due after 70 ms: %v, due after 4970 ms: %v", p.Len(), p.Due(b, 100), p.Due(b, 5000))
	}
}

// TestChunkIsDueWhenCarriedOverGroupIsComplete guards against a trainer that learns half a second
// late that its step is complete, because any groups were counted as those that it waits for. As
// many groups are complete as it requested, but not the one carried over from its previous step,
// which it also waits for. If each further group were listed on its own, the trainer would just
// have read one, and would not be polling when the last group is listed.
func TestChunkIsDueWhenCarriedOverGroupIsComplete(t *testing.T) {
	sub := submission(5, 1)
	sub.TargetGroups = 3
	b := cfbatch.New(sub)
	b.CarryOver("4")
	var p cfbatch.PendingResults
	for i := range 3 {
		p.Add(doneResult(sub.Items[i].ID), cf.Millis(i))
	}
	if p.Due(b, 10) || b.EnoughGroups(p.Missing(b)) {
		t.Error("chunk is due although the carried-over group is incomplete")
	}
	p.Add(doneResult(sub.Items[4].ID), 20)
	if !p.Due(b, 20) {
		t.Error("chunk is not due although all groups that the trainer waits for are complete")
	}
}

// TestResultsAreCollectedUntilNearDeadline guards against a trainer that learns half a second late
// that its step is complete, because results were listed every 1.5 s without regard to those still
// to come. The last groups of a step complete one after the other, shortly before the trainer needs
// them; it reads whatever is listed and polls again half a second later. If the deadline is known,
// results are collected until shortly before it.
func TestResultsAreCollectedUntilNearDeadline(t *testing.T) {
	sub := submission(4, 1)
	b := cfbatch.New(sub)
	p := cfbatch.PendingResults{Deadline: 7500}
	p.Add(doneResult(sub.Items[0].ID), 5000)
	if p.Due(b, 6700) {
		t.Error("chunk is due although there is time for more results before the deadline")
	}
	if !p.Due(b, 6850) {
		t.Error("chunk is not due in time for a read before the deadline")
	}
	b.Apply(b.NextChunk(), p.BeginWrite(6850))
	p.EndWrite(b, 6860)
	p.Add(doneResult(sub.Items[1].ID), 7600)
	if p.Due(b, 7700) || !p.Due(b, 7850) {
		t.Error("after the deadline a chunk is due after less or more than 250 ms")
	}
	early := cfbatch.PendingResults{Deadline: 60000}
	early.Add(doneResult(sub.Items[2].ID), 0)
	if early.Due(b, 2400) || !early.Due(b, 2500) {
		t.Error("chunk with a distant deadline is due after less or more than 2500 ms")
	}
}

// A chunk stays below the store's size limit whatever characters its texts contain.
func TestChunkSizeCountsJSONEscapes(t *testing.T) {
	var p cfbatch.PendingResults
	for i := range 12 {
		p.Add(cf.Result{ID: cf.ItemID(fmt.Sprint(i)), Output: strings.Repeat("\x01", 60<<10)}, 0)
	}
	raw, err := json.Marshal(cfbatch.Chunk{Results: p.BeginWrite(0)})
	if err != nil || len(raw) > 1<<20 {
		t.Errorf("chunk has %d bytes, over the limit of 1 MB (error %v)", len(raw), err)
	}
}

// TestPageRefResolvesToSamePage guards against a page resolved from chunks that differs from the
// page that the coordinator returned. Two coordinators list the same item, whose second result has
// no position, and pages begin in the middle of a chunk.
func TestPageRefResolvesToSamePage(t *testing.T) {
	sub := submission(6, 1)
	b := cfbatch.New(sub)
	var chunks []cfbatch.Chunk
	for _, items := range [][]int{{0, 1}, {1, 2}, {3, 4, 5}} {
		var c cfbatch.Chunk
		for n, i := range items {
			r := doneResult(sub.Items[i].ID)
			r.Output = fmt.Sprintf("%d listed as number %d of its chunk", i, n)
			c.Results = append(c.Results, r)
		}
		b.Apply(b.NextChunk(), c.Results)
		chunks = append(chunks, c)
	}
	for after := range 7 {
		want := b.Page(after)
		ref := b.PageRef(after, want)
		var read []cfbatch.Chunk
		for _, name := range ref.Chunks {
			n, err := strconv.Atoi(name)
			if err != nil {
				t.Fatal(err)
			}
			read = append(read, chunks[n])
		}
		if got, ok := ref.Resolve(read); !ok || !reflect.DeepEqual(got, want) {
			t.Errorf("page after %d: got %+v, want %+v", after, got, want)
		}
		if _, ok := ref.Resolve(nil); ok != (len(want.Results) == 0) {
			t.Errorf("page after %d resolved without its chunks", after)
		}
	}
}
