package cfingress_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rotisserie/eris"

	cf "currantford"
	"currantford/core/cfsite"
	"currantford/io/cfingress"
)

type (
	// bidOp is an operation on a bid: an attempt by its caller, or a lookup in the services'
	// ledger.
	bidOp struct {
		bid    int
		lookup bool
	}

	// bidAnswer is the result of an operation.
	bidAnswer struct {
		status int // of an attempt
		count  int // of a lookup
	}

	// ledger contains the bids that the services have recorded, and simulates their answers.
	ledger struct {
		mu     sync.Mutex
		random *rand.Rand
		counts map[string]int // by bid
		late   sync.WaitGroup
		// lostAsNotRun injects a fault: a connection that is lost after the send is reported as
		// never established.
		lostAsNotRun bool
	}
)

// atMostOnceModel is the specification: a bid is recorded at most once; exactly once if its caller
// received a success; and not by an attempt that was refused. An attempt with an unknown result may
// take effect at any later time, or never.
var atMostOnceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		bids := map[int][]porcupine.Operation{}
		for _, op := range history {
			bid := op.Input.(bidOp).bid
			bids[bid] = append(bids[bid], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range bids {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		recorded, op, answer := state.(int), input.(bidOp), output.(bidAnswer)
		switch {
		case op.lookup && answer.count == recorded, !op.lookup && answer.status == http.StatusServiceUnavailable:
			return []any{recorded}
		case op.lookup, recorded > 0:
			return nil
		case answer.status == http.StatusOK:
			return []any{1}
		default:
			return []any{recorded, 1}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func (l *ledger) draw(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(n)
}

func (l *ledger) record(id cf.RequestID) {
	bid, _, _ := strings.Cut(string(id), "/")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[bid]++
}

// send simulates a service that is full, fails, loses answers, or receives requests late.
func (l *ledger) send(_ cf.Target, call cf.TargetCall) (cf.TargetAnswer, error) {
	lost := cf.ErrMaybeRan
	if l.lostAsNotRun {
		lost = cf.ErrNotRun
	}
	time.Sleep(time.Duration(l.draw(300)) * time.Microsecond)
	switch l.draw(7) {
	case 0:
		return cf.TargetAnswer{}, eris.Wrap(cf.ErrNotRun, "no connection")
	case 1:
		return cf.TargetAnswer{Status: http.StatusServiceUnavailable, NotRun: true}, nil
	case 2:
		l.late.Go(func() {
			time.Sleep(time.Duration(l.draw(2000)) * time.Microsecond)
			l.record(call.ID)
		})
		return cf.TargetAnswer{}, eris.Wrap(lost, "request lost")
	case 3:
		l.record(call.ID)
		return cf.TargetAnswer{}, eris.Wrap(lost, "answer lost")
	case 4:
		l.record(call.ID)
		return cf.TargetAnswer{}, eris.Wrap(cf.ErrBadAnswer, "answer to another request")
	default:
		l.record(call.ID)
		return cf.TargetAnswer{Status: http.StatusOK, Header: http.Header{}}, nil
	}
}

// recordBids submits bids to two instances, each again after a refusal, with concurrent lookups in
// the ledger. It returns the history.
func recordBids(t *testing.T, seed uint64, lostAsNotRun bool) []porcupine.Operation {
	t.Helper()
	const bids, tries = 40, 4
	l := &ledger{random: rand.New(rand.NewPCG(seed, 1)), counts: map[string]int{}, lostAsNotRun: lostAsNotRun}
	route := cfsite.Route{Kind: cfsite.KindOnce, MaxAttempts: 3, Timeout: 1000}
	var instances []*cfingress.Ingress
	for range 2 {
		instances = append(instances, newIngress(t, targets{send: l.send}, route, "a", "b", "c"))
	}
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, op bidOp, call func() bidAnswer) bidAnswer {
		began := time.Since(start).Nanoseconds()
		answer := call()
		ended := time.Since(start).Nanoseconds()
		if !op.lookup && answer.status != http.StatusOK && answer.status != http.StatusServiceUnavailable {
			ended = 1 << 60 // the attempt may take effect at any later time
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: op, Call: began, Output: answer, Return: ended})
		return answer
	}
	lookUp := func(client, bid int) {
		record(client, bidOp{bid: bid, lookup: true}, func() bidAnswer {
			l.mu.Lock()
			defer l.mu.Unlock()
			return bidAnswer{count: l.counts[fmt.Sprint(bid)]}
		})
	}
	var wg sync.WaitGroup
	for bid := range bids {
		wg.Go(func() {
			for n := range tries {
				answer := record(2*bid, bidOp{bid: bid}, func() bidAnswer {
					id := cf.RequestID(fmt.Sprintf("%d/%d", bid, n))
					w, _ := ask(instances[(bid+n)%2], cf.Request{ID: id})
					return bidAnswer{status: w.Code}
				})
				if answer.status != http.StatusServiceUnavailable {
					return
				}
			}
		})
		wg.Go(func() {
			for range 4 {
				time.Sleep(time.Duration(l.draw(500)) * time.Microsecond)
				lookUp(2*bid+1, bid)
			}
		})
	}
	wg.Wait()
	l.late.Wait()
	for bid := range bids {
		lookUp(2*bid+1, bid)
	}
	return history
}

// TestBidHistoriesFitAtMostOnce checks that histories of bids at two instances satisfy the
// at-most-once specification although answers are lost, arrive late, belong to other requests, or
// are refusals.
func TestBidHistoriesFitAtMostOnce(t *testing.T) {
	for seed := range uint64(15) {
		if !porcupine.CheckOperations(atMostOnceModel.ToModel(), recordBids(t, seed, false)) {
			t.Errorf("seed %d: the history violates the specification", seed)
		}
	}
}

// TestRepeatedBidsAreDetected checks that an adapter that reports a lost connection as never
// established is detected.
func TestRepeatedBidsAreDetected(t *testing.T) {
	for seed := range uint64(15) {
		if !porcupine.CheckOperations(atMostOnceModel.ToModel(), recordBids(t, seed, true)) {
			return
		}
	}
	t.Error("no history with a repeated bid was found to violate the specification")
}
