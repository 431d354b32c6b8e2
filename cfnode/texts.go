package cfnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/cfcoord"
	"currantford/cflease"
	"currantford/cfmember"
	"currantford/cfrollout"
)

const (
	// textsTimeout bounds the question for texts and the copying of them. Half
	// a megabyte takes tens of milliseconds; an instance that was lost does not
	// answer.
	textsTimeout cf.Millis = 300
	// textsPatience is the same where the holder before was alive a moment ago:
	// it has to end its runs first, and what it holds is worth the wait.
	textsPatience cf.Millis = 800
	// holderAlive is how long after its last answer a holder counts as alive.
	holderAlive cf.Millis = 1000
)

// deposeWait is how long a successor's question waits for this instance to
// stop its runs.
const deposeWait = 200 * time.Millisecond

type (
	// textsCall asks for texts on behalf of the holder of a term.
	textsCall struct {
		Term cf.Revision `cbor:"term"`
	}

	// mirrors is what this instance holds for others.
	mirrors struct {
		mu   sync.Mutex
		held cfcoord.Mirror
	}

	// neighbour implements cfcoord.Neighbour.
	neighbour struct{ n *Node }
)

// Choose implements cfcoord.Neighbour: an instance of the same failure domain where
// there is one that can carry it, since traffic within it costs nothing.
func (b neighbour) Choose(avoid string) string {
	if addr := b.n.chooseNeighbour(avoid); addr != "" {
		return addr
	}
	return avoid
}

// Copy implements cfcoord.Neighbour.
func (b neighbour) Copy(addr string, part cfcoord.Mirror) ([]cf.ItemID, error) {
	ctx, cancel := context.WithTimeout(b.n.ctx, textsTimeout.Duration())
	defer cancel()
	var missing []cf.ItemID
	err := b.n.peers.Call(ctx, addr, opMirror, part, &missing)
	return missing, err
}

// chooseNeighbour returns the address of the instance for copies, other than avoid.
func (n *Node) chooseNeighbour(avoid string) string {
	best := ""
	live := slices.DeleteFunc(n.Live(), func(e cfmember.Entry) bool { return e.Peers == avoid })
	for _, e := range live {
		if e.ID == n.settings.Entry || !cfmember.Strong(e.Capacity, live) {
			continue
		}
		if e.Domain == n.settings.Domain {
			return e.Peers
		}
		best = e.Peers
	}
	if best != "" {
		return best
	}
	for _, e := range live { // the strong one is this instance
		if e.ID != n.settings.Entry && (best == "" || e.Domain == n.settings.Domain) {
			best = e.Peers
		}
	}
	return best
}

func (n *Node) serveMirror(_ context.Context, part cfcoord.Mirror) (any, error) {
	n.mirrors.mu.Lock()
	defer n.mirrors.mu.Unlock()
	return n.mirrors.held.Take(part), nil
}

// serveTexts answers a coordinator that takes over with what this instance
// generated when it had the duty, or holds as a neighbour's mirror. An instance
// that did not know of its successor yet stops its runs first.
func (n *Node) serveTexts(_ context.Context, call textsCall) (any, error) {
	n.candidate.depose(call.Term)
	n.host.Fence(call.Term)
	for waited := time.Duration(0); n.coord.Load() != nil; waited += watchTick / 4 {
		if waited >= deposeWait {
			return nil, cf.ErrConflict
		}
		time.Sleep(watchTick / 4)
	}
	return n.heldTexts(), nil
}

func (n *Node) heldTexts() map[cf.ItemID]cfrollout.Text {
	out := map[cf.ItemID]cfrollout.Text{}
	n.mirrors.mu.Lock()
	merge(out, n.mirrors.held.Snapshot())
	n.mirrors.mu.Unlock()
	if own := n.texts.Load(); own != nil {
		merge(out, *own)
	}
	return out
}

// merge adds texts, of each the longer one.
func merge(out, texts map[cf.ItemID]cfrollout.Text) {
	for id, t := range texts {
		if t.Last >= out[id].Last {
			out[id] = t
		}
	}
}

// gatherTexts asks the other instances for what the coordinator before had
// generated and not listed. What is found need not be generated again: after a
// planned stop all of it, after a crash all but the last moments.
func (n *Node) gatherTexts(ctx context.Context, before cflease.Holder, members []cfmember.Entry) map[cf.ItemID]cfrollout.Text {
	addrs := map[string]bool{}
	if before.Entry != "" && before.Entry != n.settings.Entry {
		addrs[before.Addr] = true
	}
	for _, e := range members {
		if e.ID != n.settings.Entry {
			addrs[e.Peers] = true
		}
	}
	term, _ := n.candidate.MayOrder()
	timeout := textsTimeout
	if cf.Uptime()-cf.Millis(n.candidate.answered.Load()) < holderAlive {
		timeout = textsPatience
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	out := n.heldTexts()
	answers := 0
	for addr := range addrs {
		wg.Go(func() {
			var texts map[cf.ItemID]cfrollout.Text
			if n.peers.Call(ctx, addr, opTexts, textsCall{term}, &texts) != nil {
				return // a cache that is not reached is a cache miss
			}
			mu.Lock()
			defer mu.Unlock()
			answers++
			merge(out, texts)
			if addr == before.Addr {
				cancel() // it has what its neighbour has, and more
			}
		})
	}
	wg.Wait()
	n.log.Info("texts_gathered", zap.String("holder_before", string(before.Entry)), zap.Int("asked", len(addrs)),
		zap.Int("answers", answers), zap.Int("items", len(out)))
	return out
}
