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

// readGrace is what a read at the coordinator may take beyond its wait before
// the store is asked instead.
const readGrace cf.Millis = 500

type (
	resultsCall struct {
		Batch cf.BatchID `cbor:"batch"`
		After int        `cbor:"after"`
		Wait  cf.Millis  `cbor:"wait"`
		// Whole asks for the results themselves in any case.
		Whole bool `cbor:"whole,omitempty"`
	}

	// resultsAnswer is a page, or where its results lie in the store.
	resultsAnswer struct {
		Page   cf.ResultPage    `cbor:"page"`
		Places *cfbatch.PageRef `cbor:"places,omitempty"`
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

	// reader reads batches at the coordinator, wherever it is.
	reader struct{ n *Node }
)

// Results implements cfingress.Coordinator.
func (r reader) Results(ctx context.Context, id cf.BatchID, after int, wait cf.Millis) (cf.ResultPage, error) {
	if c := r.n.coord.Load(); c != nil {
		return c.Results(ctx, id, after, wait)
	}
	var a resultsAnswer
	call := resultsCall{Batch: id, After: after, Wait: wait}
	if err := r.n.ask(ctx, opResults, wait+readGrace, call, &a); err != nil || a.Places == nil {
		return a.Page, err
	}
	page, err := r.n.readPlaces(ctx, id, *a.Places)
	r.n.log.Info("results_read_apart", cflog.Batch(id), zap.Int("after", after), zap.Int("next", a.Places.Next),
		zap.Strings("chunks", a.Places.Chunks), cflog.Error(err))
	if err == nil {
		return page, nil
	}
	// What is listed is given also while the store is away.
	call.Wait, call.Whole = 0, true
	a = resultsAnswer{}
	err = r.n.ask(ctx, opResults, readGrace, call, &a)
	return a.Page, err
}

// readPlaces reads a page of results from the store.
func (n *Node) readPlaces(ctx context.Context, id cf.BatchID, places cfbatch.PageRef) (cf.ResultPage, error) {
	chunks := make([]cfbatch.Chunk, len(places.Chunks))
	errs := make([]error, len(places.Chunks))
	var wg sync.WaitGroup
	for i, name := range places.Chunks {
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
	page, ok := places.Resolve(chunks)
	if !ok {
		return page, eris.Wrapf(cf.ErrInvalid, "chunks %v of batch %s lack a listed item", places.Chunks, id)
	}
	return page, nil
}

// ItemBody implements cfingress.Coordinator.
func (r reader) ItemBody(ctx context.Context, id cf.BatchID, item cf.ItemID) ([]byte, error) {
	if c := r.n.coord.Load(); c != nil {
		return c.ItemBody(id, item)
	}
	var body []byte
	err := r.n.ask(ctx, opItem, readGrace, itemCall{id, item}, &body)
	return body, err
}

// Prepare implements cfingress.Coordinator.
func (r reader) Prepare(sub cf.Submission) {
	if r.n.settings.Policy.NoPreparing {
		return
	}
	if c := r.n.coord.Load(); c != nil {
		c.PrepareBatch(sub)
		return
	}
	r.n.tell(opPrepare, prepareCall{sub})
}

// Accepted implements cfingress.Coordinator.
func (r reader) Accepted(id cf.BatchID, at cf.Millis) {
	if c := r.n.coord.Load(); c != nil {
		c.BatchAccepted(id, at)
		return
	}
	r.n.tell(opAccepted, acceptedCall{id, at})
}

// Changed implements cfingress.Coordinator.
func (r reader) Changed(id cf.BatchID, ended bool) {
	if c := r.n.coord.Load(); c != nil {
		c.BatchChanged(id, ended)
		return
	}
	r.n.tell(opChanged, changedCall{id, ended})
}

// tell tells the coordinator something that the store shows too: nothing depends
// on its arrival.
func (n *Node) tell(op string, call any) {
	n.wg.Go(func() {
		var ok bool
		_ = n.ask(n.ctx, op, tellTimeout, call, &ok)
	})
}

// tellTimeout bounds what is told: half a megabyte takes some tens of milliseconds.
const tellTimeout cf.Millis = 800

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
	page, places, err := c.ReadForPeer(ctx, call.Batch, call.After, call.Wait, call.Whole)
	return resultsAnswer{page, places}, err
}

func (n *Node) serveItem(_ context.Context, c *cfcoord.Coordinator, call itemCall) (any, error) {
	return c.ItemBody(call.Batch, call.Item)
}

// ask calls the coordinator.
func (n *Node) ask(ctx context.Context, op string, timeout cf.Millis, call, answer any) error {
	holder, _ := n.candidate.holder()
	if holder.Entry == "" || holder.Entry == n.settings.Entry {
		return cf.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return n.peers.Call(ctx, holder.Addr, op, call, answer)
}
