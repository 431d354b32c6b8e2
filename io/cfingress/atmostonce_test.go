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
	// bidOp is one operation on a bid: a try of its caller, or a look into the
	// services' ledger.
	bidOp struct {
		bid  int
		look bool
	}

	// bidAnswer is what came of it.
	bidAnswer struct {
		status int // of a try
		count  int // of a look
	}

	// ledger is what the services recorded, and how they answer.
	ledger struct {
		mu     sync.Mutex
		random *rand.Rand
		counts map[string]int // by bid
		late   sync.WaitGroup
		// lostIsUnrun seeds a fault: a connection lost after the send is
		// told as one that was never had.
		lostIsUnrun bool
	}
)

// onceModel is the specification: a bid is recorded once at most, exactly once
// if its caller was told of success, and not by a try that was refused. A try
// whose end is not known may take effect at any later time, or never.
var onceModel = porcupine.NondeterministicModel{
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
		case op.look && answer.count == recorded, !op.look && answer.status == http.StatusServiceUnavailable:
			return []any{recorded}
		case op.look, recorded > 0:
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

// send plays a service that is full, fails, loses answers, or is reached late.
func (l *ledger) send(_ cf.Target, call cf.TargetCall) (cf.TargetAnswer, error) {
	lost := cf.ErrMaybeRan
	if l.lostIsUnrun {
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
		return cf.TargetAnswer{}, eris.Wrap(lost, "lost on the way")
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

// recordBids lets callers hand bids to two instances, each again after a
// refusal, while others look into the ledger.
func recordBids(t *testing.T, seed uint64, lostIsUnrun bool) []porcupine.Operation {
	t.Helper()
	const bids, tries = 40, 4
	l := &ledger{random: rand.New(rand.NewPCG(seed, 1)), counts: map[string]int{}, lostIsUnrun: lostIsUnrun}
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
		if !op.look && answer.status != http.StatusOK && answer.status != http.StatusServiceUnavailable {
			ended = 1 << 60 // it may take effect at any later time
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: op, Call: began, Output: answer, Return: ended})
		return answer
	}
	look := func(client, bid int) {
		record(client, bidOp{bid: bid, look: true}, func() bidAnswer {
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
				look(2*bid+1, bid)
			}
		})
	}
	wg.Wait()
	l.late.Wait()
	for bid := range bids {
		look(2*bid+1, bid)
	}
	return history
}

// Histories of bids at two instances, with answers lost, late, foreign and
// refused, fit the specification of at-most-once.
func TestBidHistoriesFitAtMostOnce(t *testing.T) {
	for seed := range uint64(15) {
		if !porcupine.CheckOperations(onceModel.ToModel(), recordBids(t, seed, false)) {
			t.Errorf("seed %d: the history does not fit", seed)
		}
	}
}

// An adapter that takes a lost connection for none is found.
func TestBidHistoriesShowRepeatedBids(t *testing.T) {
	for seed := range uint64(15) {
		if !porcupine.CheckOperations(onceModel.ToModel(), recordBids(t, seed, true)) {
			return
		}
	}
	t.Error("no history with a bid sent again was found not to fit")
}
