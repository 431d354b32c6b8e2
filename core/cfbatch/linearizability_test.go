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
	// logOp is one operation on the results of a batch: it creates a chunk or reads all chunks.
	logOp struct {
		read  bool
		chunk int
		text  string // the item in the chunk
	}

	// logResult is the outcome of an operation. If unknown is set, no response was received, and
	// the operation may have taken effect, may still do so, or may never.
	logResult struct {
		ok, unknown bool
		chunks      string
	}
)

// logModel is the specification: chunks are appended one at a time, each only at the end, and a
// read returns all of them. A state is the chunks' texts joined by semicolons.
var logModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		chunks, op, answer := splitChunks(state.(string)), input.(logOp), output.(logResult)
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

func splitChunks(state string) []string {
	if state == "" {
		return nil
	}
	return strings.Split(state, ";")
}

// recordHistory lets three clients create and read chunks of one batch, in a store that loses
// responses and applies writes late, and records what they observed. The create function writes a
// chunk.
func recordHistory(t *testing.T, seed uint64, create func(context.Context, *platform.Store, *standin.Store, string, cfbatch.Chunk) error) []porcupine.Operation {
	t.Helper()
	fake := standin.NewStore()
	srv := httptest.NewServer(fake)
	defer srv.Close()
	fake.SetFaults(standin.StoreFaults{DropResponseEvery: 3, DroppedWriteDelay: 15 * time.Millisecond})
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, op logOp, call func() logResult) logResult {
		began := time.Since(start).Nanoseconds()
		answer := call()
		ended := time.Since(start).Nanoseconds()
		if answer.unknown {
			ended = 1 << 60 // the operation may take effect at any later time
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
					answer := record(client, logOp{read: true}, func() logResult { return readChunks(store) })
					if !answer.unknown {
						known = len(splitChunks(answer.chunks))
					}
					continue
				}
				op := logOp{chunk: known, text: fmt.Sprintf("%d-%d", client, n)}
				answer := record(client, op, func() logResult {
					chunk := cfbatch.Chunk{Results: []cf.Result{{ID: cf.ItemID(op.text)}}}
					err := create(context.Background(), store, fake, fmt.Sprintf("%06d", op.chunk), chunk)
					return logResult{ok: err == nil, unknown: err != nil && !errors.Is(err, cf.ErrConflict)}
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

func readChunks(store *platform.Store) logResult {
	list, err := store.List(context.Background(), cf.KindResults("b"))
	if err != nil {
		return logResult{unknown: true}
	}
	var texts []string
	for _, r := range list.Items {
		var c cfbatch.Chunk
		if err := json.Unmarshal(r.Spec, &c); err != nil || len(c.Results) != 1 {
			return logResult{chunks: "unreadable chunk " + r.Name}
		}
		texts = append(texts, string(c.Results[0].ID))
	}
	return logResult{chunks: strings.Join(texts, ";")}
}

func createIfAbsent(ctx context.Context, store *platform.Store, _ *standin.Store, name string, c cfbatch.Chunk) error {
	_, err := store.Create(ctx, cf.KindResults("b"), name, c)
	return err
}

// Histories of three clients of a store that loses responses and applies writes late are
// linearizable.
func TestListingHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(15) {
		history := recordHistory(t, seed, createIfAbsent)
		if !porcupine.CheckOperations(logModel.ToModel(), history) {
			t.Errorf("seed %d: the history is not linearizable", seed)
			for _, op := range history {
				t.Logf("%+v -> %+v", op.Input, op.Output)
			}
		}
	}
}

// Histories in which an existing chunk may be overwritten are not linearizable, and the check finds
// one.
func TestOverwritesAreNotLinearizable(t *testing.T) {
	overwrite := func(_ context.Context, _ *platform.Store, fake *standin.Store, name string, c cfbatch.Chunk) error {
		fake.Put(cf.KindResults("b"), name, c)
		return nil
	}
	for seed := range uint64(15) {
		if !porcupine.CheckOperations(logModel.ToModel(), recordHistory(t, seed, overwrite)) {
			return
		}
	}
	t.Error("every history with overwritten chunks was linearizable")
}
