package cfpool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	cf "currantford"
	"currantford/older/cfplatform"
	"currantford/testbed/cfobjects"
)

type (
	// cursorOp is a stamp or a commit, as a leader called it.
	cursorOp struct {
		Stamp  bool
		Epoch  cf.Epoch
		Cursor int64
	}

	// cursorState is the specified state of a claim.
	cursorState struct {
		Epoch  cf.Epoch
		Cursor int64
	}
)

// cursorModel specifies a claim. A stamp with epoch e succeeds only if no stamp had a higher epoch.
// A commit with epoch e succeeds only if e is the epoch of the last stamp, and never decreases the
// cursor. A failed operation changes nothing.
var cursorModel = porcupine.Model{
	Init: func() any { return cursorState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, ok := state.(cursorState), input.(cursorOp), output.(bool)
		switch {
		case !ok:
			return true, s
		case in.Stamp:
			return in.Epoch >= s.Epoch, cursorState{Epoch: in.Epoch, Cursor: s.Cursor}
		default:
			return in.Epoch == s.Epoch && in.Cursor >= s.Cursor, cursorState{Epoch: s.Epoch, Cursor: in.Cursor}
		}
	},
	DescribeOperation: func(input, output any) string {
		in := input.(cursorOp)
		return fmt.Sprintf("stamp=%v epoch=%d cursor=%d -> %v", in.Stamp, in.Epoch, in.Cursor, output)
	},
}

// TestCursorProtocolLinearizable checks recorded histories of the claim protocol against
// cursorModel with porcupine. Three leaders with increasing epochs stamp the claim and commit
// cursors concurrently, as when a paused leader resumes while its successor runs. If a commit did
// not depend on the version that the leader last saw, an outdated leader could overwrite the
// cursor: the cursor would decrease, or a trainer would receive samples twice.
func TestCursorProtocolLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		ops := runLeaders(t, seed)
		if !porcupine.CheckOperations(cursorModel, ops) {
			t.Fatalf("seed %d: history of %d operations is not linearizable against the claim specification", seed, len(ops))
		}
	}
}

func runLeaders(t *testing.T, seed uint64) []porcupine.Operation {
	t.Helper()
	srv := httptest.NewServer(cfobjects.NewServer(cfobjects.ServerSettings{}).Handler())
	defer srv.Close()
	store := cfplatform.NewClient(srv.URL)
	ctx := context.Background()
	start := time.Now()
	var mu sync.Mutex
	var ops []porcupine.Operation
	record := func(client int, in cursorOp, call time.Time, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Output: ok,
			Call: int64(call.Sub(start)), Return: int64(time.Since(start))})
	}
	var wg sync.WaitGroup
	for leader := 1; leader <= 3; leader++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(leader)))
			epoch := cf.Epoch(leader)
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Microsecond)
			call := time.Now()
			cur, version, err := stampEpoch(ctx, store, "pool/claim", epoch)
			record(leader, cursorOp{Stamp: true, Epoch: epoch}, call, err == nil)
			if err != nil {
				return
			}
			cursor := cur.Cursor
			for range 6 {
				cursor += int64(1 + rng.IntN(3))
				call := time.Now()
				v, err := commitCursor(ctx, store, "pool/claim", epoch, version, cursor)
				record(leader, cursorOp{Epoch: epoch, Cursor: cursor}, call, err == nil)
				if err != nil {
					return
				}
				version = v
				time.Sleep(time.Duration(rng.IntN(500)) * time.Microsecond)
			}
		}()
	}
	wg.Wait()
	return ops
}
