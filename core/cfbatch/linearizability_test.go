package cfbatch_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/prometheus/client_golang/prometheus"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/platform"
	"currantford/platform/standin"
)

type (
	// listOp is one operation on a batch's results: the creation of a chunk,
	// or a read of all chunks.
	listOp struct {
		read  bool
		chunk int
		text  string // the chunk's items
	}

	// listAnswer is what it came to. Unknown: no answer came, so it may have
	// taken effect, may yet, or never will.
	listAnswer struct {
		ok, unknown bool
		chunks      string
	}
)

// listModel is the specification: chunks are appended one by one, each only at
// the end, and a read shows all of them. A state is the chunks, joined.
var listModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		chunks, op, answer := split(state.(string)), input.(listOp), output.(listAnswer)
		if op.read {
			if answer.unknown || answer.chunks == state.(string) {
				return []any{state}
			}
			return nil
		}
		var out []any
		fits := len(chunks) == op.chunk
		if fits && (answer.ok || answer.unknown) {
			out = append(out, strings.Join(append(chunks, op.text), ";"))
		}
		if !answer.ok && (answer.unknown || !fits) {
			out = append(out, state)
		}
		return out
	},
	Equal: func(a, b any) bool { return a == b },
}

func split(state string) []string {
	if state == "" {
		return nil
	}
	return strings.Split(state, ";")
}

// recordHistory lets executors list items at one batch of a store that loses
// answers and executes writes late, and records what they saw. create makes a
// chunk.
func recordHistory(t *testing.T, seed uint64, create func(context.Context, *platform.Store, *standin.Store, string, cfbatch.Chunk) error) []porcupine.Operation {
	t.Helper()
	stand := standin.NewStore()
	srv := httptest.NewServer(stand)
	defer srv.Close()
	stand.SetFaults(standin.StoreFaults{LoseAnswers: 3, Late: 15 * time.Millisecond})
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, op listOp, call func() listAnswer) listAnswer {
		began := time.Since(start).Nanoseconds()
		answer := call()
		ended := time.Since(start).Nanoseconds()
		if answer.unknown {
			ended = 1 << 60 // it may take effect at any later time
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: op, Call: began, Output: answer, Return: ended})
		return answer
	}
	var wg sync.WaitGroup
	for client := range 3 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			store := platform.NewStore(strings.TrimPrefix(srv.URL, "http://"), prometheus.NewRegistry())
			defer func() { _ = store.Close() }()
			known := 0
			for n := range 6 {
				if random.IntN(2) == 0 {
					answer := record(client, listOp{read: true}, func() listAnswer { return readChunks(store) })
					if !answer.unknown {
						known = len(split(answer.chunks))
					}
					continue
				}
				op := listOp{chunk: known, text: fmt.Sprintf("%d-%d", client, n)}
				answer := record(client, op, func() listAnswer {
					chunk := cfbatch.Chunk{Results: []cf.Result{{ID: cf.ItemID(op.text)}}}
					err := create(context.Background(), store, stand, fmt.Sprintf("%06d", op.chunk), chunk)
					return listAnswer{ok: err == nil, unknown: err != nil && !errors.Is(err, cf.ErrConflict)}
				})
				if answer.ok {
					known++
				}
			}
		})
	}
	wg.Wait()
	return history
}

func readChunks(store *platform.Store) listAnswer {
	list, err := store.List(context.Background(), cf.KindResults("b"))
	if err != nil {
		return listAnswer{unknown: true}
	}
	var texts []string
	for _, r := range list.Items {
		var c cfbatch.Chunk
		if err := json.Unmarshal(r.Spec, &c); err != nil || len(c.Results) != 1 {
			return listAnswer{chunks: "unreadable chunk " + r.Name}
		}
		texts = append(texts, string(c.Results[0].ID))
	}
	return listAnswer{chunks: strings.Join(texts, ";")}
}

func createOnly(ctx context.Context, store *platform.Store, _ *standin.Store, name string, c cfbatch.Chunk) error {
	_, err := store.Create(ctx, cf.KindResults("b"), name, c)
	return err
}

// Histories of three executors on a store that loses answers and executes
// writes late fit the specification of the listing.
func TestListingHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(15) {
		history := recordHistory(t, seed, createOnly)
		if !porcupine.CheckOperations(listModel.ToModel(), history) {
			t.Errorf("seed %d: the history does not fit", seed)
			for _, op := range history {
				t.Logf("%+v -> %+v", op.Input, op.Output)
			}
		}
	}
}

// A chunk written whether it exists or not does not fit: the check finds it.
func TestListingHistoriesShowOverwrites(t *testing.T) {
	overwrite := func(_ context.Context, _ *platform.Store, stand *standin.Store, name string, c cfbatch.Chunk) error {
		stand.Put(cf.KindResults("b"), name, c)
		return nil
	}
	for seed := range uint64(15) {
		if !porcupine.CheckOperations(listModel.ToModel(), recordHistory(t, seed, overwrite)) {
			return
		}
	}
	t.Error("no history with overwritten chunks was found not to fit")
}
