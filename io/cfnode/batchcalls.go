package cfnode

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/io/cfcoord"
	"currantford/io/cflog"
)

// coordinatorGrace is how long a read at the coordinator may take beyond its wait before the store
// is read instead.
const coordinatorGrace cf.Millis = 500

type (
	resultsCall struct {
		Batch cf.BatchID `cbor:"batch"`
		After int        `cbor:"after"`
		Wait  cf.Millis  `cbor:"wait"`
		// Inline asks for the results themselves in any case.
		Inline bool `cbor:"whole,omitempty"`
	}

	// resultsAnswer is a page of results, or a reference to where they are stored.
	resultsAnswer struct {
		Page    cf.ResultPage    `cbor:"page"`
		PageRef *cfbatch.PageRef `cbor:"places,omitempty"`
	}

	itemCall struct {
		Batch cf.BatchID `cbor:"batch"`
		Item  cf.ItemID  `cbor:"item"`
	}

	changedCall struct {
		Batch cf.BatchID `cbor:"batch"`
		Ended bool       `cbor:"ended"`
	}

	prepareCall struct {
		Batch cf.Submission `cbor:"batch"`
	}

	acceptedCall struct {
		Batch cf.BatchID `cbor:"batch"`
		At    cf.Millis  `cbor:"at"`
	}

	// coordinatorClient calls the coordinator for batches, whether it is this instance or another
	// one.
	coordinatorClient struct{ n *Node }
)

// Results implements cfingress.Coordinator.
func (r coordinatorClient) Results(ctx context.Context, id cf.BatchID, after int, wait cf.Millis) (cf.ResultPage, error) {
	if c := r.n.coord.Load(); c != nil {
		return c.Results(ctx, id, after, wait)
	}
	var a resultsAnswer
	call := resultsCall{Batch: id, After: after, Wait: wait}
	if err := r.n.callCoordinator(ctx, opResults, wait+coordinatorGrace, call, &a); err != nil || a.PageRef == nil {
		return a.Page, err
	}
	page, err := r.n.readPage(ctx, id, *a.PageRef)
	r.n.log.Info("results_read_apart", cflog.Batch(id), zap.Int("after", after), zap.Int("next", a.PageRef.Next),
		zap.Strings("chunks", a.PageRef.Chunks), cflog.Error(err))
	if err == nil {
		return page, nil
	}
	// Listed results are also returned while the store is unavailable.
	call.Wait, call.Inline = 0, true
	a = resultsAnswer{}
	err = r.n.callCoordinator(ctx, opResults, coordinatorGrace, call, &a)
	return a.Page, err
}

// readPage reads a page of results from the store.
func (n *Node) readPage(ctx context.Context, id cf.BatchID, ref cfbatch.PageRef) (cf.ResultPage, error) {
	chunks := make([]cfbatch.Chunk, len(ref.Chunks))
	errs := make([]error, len(ref.Chunks))
	var wg sync.WaitGroup
	for i, name := range ref.Chunks {
		wg.Go(func() {
			r, err := n.adapter.Store.Get(ctx, cf.KindResults(id), name)
			if err == nil {
				err = json.Unmarshal(r.Spec, &chunks[i])
			}
			errs[i] = err
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return cf.ResultPage{}, err
	}
	page, ok := ref.Resolve(chunks)
	if !ok {
		return page, eris.Wrapf(cf.ErrInvalid, "chunks %v of batch %s lack a listed item", ref.Chunks, id)
	}
	return page, nil
}

// ItemBody implements cfingress.Coordinator.
func (r coordinatorClient) ItemBody(ctx context.Context, id cf.BatchID, item cf.ItemID) ([]byte, error) {
	if c := r.n.coord.Load(); c != nil {
		return c.ItemBody(id, item)
	}
	var body []byte
	err := r.n.callCoordinator(ctx, opItem, coordinatorGrace, itemCall{id, item}, &body)
	return body, err
}

// Prepare implements cfingress.Coordinator.
func (r coordinatorClient) Prepare(sub cf.Submission) {
	if r.n.settings.Policy.NoPreparing {
		return
	}
	if c := r.n.coord.Load(); c != nil {
		c.PrepareBatch(sub)
		return
	}
	r.n.notifyCoordinator(opPrepare, prepareCall{sub})
}

// Accepted implements cfingress.Coordinator.
func (r coordinatorClient) Accepted(id cf.BatchID, at cf.Millis) {
	if c := r.n.coord.Load(); c != nil {
		c.BatchAccepted(id, at)
		return
	}
	r.n.notifyCoordinator(opAccepted, acceptedCall{id, at})
}

// Changed implements cfingress.Coordinator.
func (r coordinatorClient) Changed(id cf.BatchID, ended bool) {
	if c := r.n.coord.Load(); c != nil {
		c.BatchChanged(id, ended)
		return
	}
	r.n.notifyCoordinator(opChanged, changedCall{id, ended})
}

// notifyCoordinator sends the coordinator information that it would also find in the store; nothing
// depends on its arrival.
func (n *Node) notifyCoordinator(op string, call any) {
	n.wg.Go(func() {
		var ok bool
		_ = n.callCoordinator(n.ctx, op, notifyTimeout, call, &ok)
	})
}

// notifyTimeout bounds a notification: half a megabyte takes some tens of milliseconds.
const notifyTimeout cf.Millis = 800

func (n *Node) servePrepare(_ context.Context, c *cfcoord.Coordinator, call prepareCall) (any, error) {
	c.PrepareBatch(call.Batch)
	return true, nil
}

func (n *Node) serveAccepted(_ context.Context, c *cfcoord.Coordinator, call acceptedCall) (any, error) {
	c.BatchAccepted(call.Batch, call.At)
	return true, nil
}

func (n *Node) serveChanged(_ context.Context, c *cfcoord.Coordinator, call changedCall) (any, error) {
	c.BatchChanged(call.Batch, call.Ended)
	return true, nil
}

func (n *Node) serveResults(ctx context.Context, c *cfcoord.Coordinator, call resultsCall) (any, error) {
	page, ref, err := c.ReadForPeer(ctx, call.Batch, call.After, call.Wait, call.Inline)
	return resultsAnswer{page, ref}, err
}

func (n *Node) serveItem(_ context.Context, c *cfcoord.Coordinator, call itemCall) (any, error) {
	return c.ItemBody(call.Batch, call.Item)
}

// callCoordinator calls the coordinator if it is another instance.
func (n *Node) callCoordinator(ctx context.Context, op string, timeout cf.Millis, call, answer any) error {
	holder, _ := n.candidate.holder()
	if holder.Entry == "" || holder.Entry == n.settings.Entry {
		return cf.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return n.peers.Call(ctx, holder.Addr, op, call, answer)
}
