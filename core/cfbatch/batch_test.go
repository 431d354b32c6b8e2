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

// chunkStore holds chunk objects, created only if they do not exist.
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

// Symptom: an item stands at two positions, or a position changes.
// Sequence: two executors finish the same items and write chunks, each knowing
// more or less of what the other has written; some writes take effect late.
// Cause guarded against: a chunk written without having read those before it.
func TestTwoExecutorsListEachItemOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 60 {
		sub := submission(5, 4)
		store := chunkStore{}
		executors := []*cfbatch.Batch{cfbatch.New(sub), cfbatch.New(sub)}
		type write struct {
			name    string
			results []cf.Result
		}
		var lateWrites []write
		seen := cfbatch.New(sub)
		for range 120 {
			b := executors[random.IntN(2)]
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

// checkListedPrefix reads the store as any instance would, and checks that what was
// read before is still there and no item stands twice.
func checkListedPrefix(t *testing.T, seen *cfbatch.Batch, store chunkStore) {
	t.Helper()
	now := cfbatch.New(seen.Sub)
	if err := now.ApplyAll(store.records()); err != nil {
		t.Fatal(err)
	}
	before, after := seen.Page(0).Results, now.Page(0).Results
	if len(after) < len(before) {
		t.Fatalf("%d results, %d before", len(after), len(before))
	}
	ids := map[cf.ItemID]bool{}
	for i, r := range after {
		if ids[r.ID] {
			t.Fatalf("item %s stands twice", r.ID)
		}
		ids[r.ID] = true
		if i < len(before) && before[i].ID != r.ID {
			t.Fatalf("position %d held %s, now %s", i, before[i].ID, r.ID)
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
		t.Error("1.8 MB in one page")
	}
	if p := b.Page(99); len(p.Results) != 0 {
		t.Error("results beyond the end")
	}
}

// A chunk is written at once when the groups that the trainer waits for are
// whole, else when its oldest result has waited.
func TestChunkIsDueWhenTargetGroupsAreComplete(t *testing.T) {
	sub := submission(3, 2)
	sub.TargetGroups = 2
	b := cfbatch.New(sub)
	var p cfbatch.PendingResults
	for i, id := range []cf.ItemID{"0-0", "0-1", "1-0"} {
		p.Add(doneResult(id), cf.Millis(i))
		if p.Due(b, 100) {
			t.Errorf("due after %s, before two groups are whole", id)
		}
	}
	p.Add(doneResult("1-1"), 10)
	if !p.Due(b, 100) {
		t.Fatal("not due although two groups are whole")
	}
	results := p.BeginWrite(100)
	if p.InDoubt(200) || !p.InDoubt(400) {
		t.Error("a write is in doubt at once, or never")
	}
	if p.Due(b, 5000) {
		t.Error("due while a chunk is being written")
	}
	p.Add(doneResult("2-0"), 20)
	b.Apply(b.NextChunk(), results)
	p.EndWrite(b, 30)
	if p.Len() != 1 || p.Due(b, 100) || !p.Due(b, 5000) {
		t.Errorf("%d left, due early %v, due late %v", p.Len(), p.Due(b, 100), p.Due(b, 5000))
	}
}

// Symptom: a trainer learns half a second late that its step is whole.
// Sequence: as many groups are whole as it asked for, but not the one that its
// last step left, which it waits for too; each further group is listed by itself,
// and the trainer, which has just read one, is not looking when the last comes.
// Cause: taking any groups for those that the trainer waits for.
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
		t.Error("listed without the group that was carried over")
	}
	p.Add(doneResult(sub.Items[4].ID), 20)
	if !p.Due(b, 20) {
		t.Error("not listed once all groups are whole that the trainer waits for")
	}
}

// Symptom: a trainer learns half a second late that its step is whole.
// Load: a step's last groups become whole one after the other, shortly before the
// trainer needs them; it reads whatever there is, and then looks again half a
// second later.
// Cause: results were listed 1.5 s after each other whatever was to come. Where the
// deadline is known they wait for each other, until shortly before it.
func TestResultsAreCollectedUntilNearDeadline(t *testing.T) {
	sub := submission(4, 1)
	b := cfbatch.New(sub)
	p := cfbatch.PendingResults{Deadline: 7500}
	p.Add(doneResult(sub.Items[0].ID), 5000)
	if p.Due(b, 6700) {
		t.Error("listed before the others, though there is time")
	}
	if !p.Due(b, 6850) {
		t.Error("not listed in time for a read before the deadline")
	}
	b.Apply(b.NextChunk(), p.BeginWrite(6850))
	p.EndWrite(b, 6860)
	p.Add(doneResult(sub.Items[1].ID), 7600)
	if p.Due(b, 7700) || !p.Due(b, 7850) {
		t.Error("after the deadline what is finished is listed a quarter of a second later")
	}
	early := cfbatch.PendingResults{Deadline: 60000}
	early.Add(doneResult(sub.Items[2].ID), 0)
	if early.Due(b, 2400) || !early.Due(b, 2500) {
		t.Error("results wait for longer than they may")
	}
}

// A chunk stays under the store's limit whatever its texts are made of.
func TestChunkSizeCountsJSONEscapes(t *testing.T) {
	var p cfbatch.PendingResults
	for i := range 12 {
		p.Add(cf.Result{ID: cf.ItemID(fmt.Sprint(i)), Output: strings.Repeat("\x01", 60<<10)}, 0)
	}
	raw, err := json.Marshal(cfbatch.Chunk{Results: p.BeginWrite(0)})
	if err != nil || len(raw) > 1<<20 {
		t.Errorf("a chunk of %d bytes, %v", len(raw), err)
	}
}

// Symptom: a page that was read from the chunks differs from one that the
// coordinator gave.
// Sequence: two executors list the same item; the second position counts for
// nothing; a page begins in the middle of a chunk.
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
			t.Errorf("after %d: %+v, want %+v", after, got, want)
		}
		if _, ok := ref.Resolve(nil); ok != (len(want.Results) == 0) {
			t.Errorf("after %d: a page without its chunks is taken as whole", after)
		}
	}
}
