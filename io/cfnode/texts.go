package cfnode

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/core/cfrollout"
	"currantford/io/cfcoord"
)

const (
	// textsTimeout bounds the question for texts and the copying of them. Half
	// a megabyte takes tens of milliseconds; an instance that was lost does not
	// answer.
	textsTimeout cf.Millis = 300
	// textsPatience is the same where the holder before was alive a moment ago:
	// it has to end its runs first, and what it holds is worth the wait.
	textsPatience cf.Millis = 800
	// textsInline is the size up to which texts come with the first answer.
	textsInline = 64 << 10
	// textsRate is how many bytes a millisecond are expected beyond that.
	textsRate = 3000
	// textsMost bounds what a takeover waits for them: a second of each text is
	// worth it, and generating them anew takes up to seven.
	textsMost cf.Millis = 1200
	// textsTries is how many instances are asked for them.
	textsTries = 2
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
		// Whole asks for them however large they are.
		Whole bool `cbor:"whole,omitempty"`
	}

	// textsAnswer says what an instance holds, with the texts where they are few.
	textsAnswer struct {
		// Of is the term of the coordinator that generated them.
		Of    cf.Revision                  `cbor:"of"`
		Items int                          `cbor:"items"`
		Size  int                          `cbor:"size"`
		Texts map[cf.ItemID]cfrollout.Text `cbor:"texts,omitempty"`
	}

	// textsOf is an instance's answer.
	textsOf struct {
		textsAnswer
		addr string
	}

	// keptTexts are what this instance had generated when its duty ended.
	keptTexts struct {
		term  cf.Revision
		texts map[cf.ItemID]cfrollout.Text
	}

	// mirrors is what this instance holds for others, and where its own copies
	// go.
	mirrors struct {
		mu   sync.Mutex
		held cfcoord.Mirror
		at   string
	}

	// neighbour implements cfcoord.Neighbour.
	neighbour struct{ n *Node }
)

// Choose implements cfcoord.Neighbour: an instance of the same failure domain where
// there is one that can carry it, since traffic within it costs nothing.
func (b neighbour) Choose(avoid string) string {
	addr := cfmember.TextReplica(b.n.Live(), b.n.self(), avoid).PeerAddr
	b.n.mirrors.mu.Lock()
	defer b.n.mirrors.mu.Unlock()
	b.n.mirrors.at = addr
	return addr
}

// Copy implements cfcoord.Neighbour.
func (b neighbour) Copy(addr string, part cfcoord.Mirror) ([]cf.ItemID, error) {
	ctx, cancel := context.WithTimeout(b.n.ctx, textsTimeout.Duration())
	defer cancel()
	var missing []cf.ItemID
	err := b.n.peers.Call(ctx, addr, opMirror, part, &missing)
	return missing, err
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
	a := n.heldTexts()
	if a.Size > textsInline && !call.Whole {
		a.Texts = nil
	}
	return a, nil
}

func (n *Node) heldTexts() textsAnswer {
	a := textsAnswer{Texts: map[cf.ItemID]cfrollout.Text{}}
	n.mirrors.mu.Lock()
	merge(a.Texts, n.mirrors.held.Snapshot())
	a.Of = n.mirrors.held.Term
	n.mirrors.mu.Unlock()
	if own := n.texts.Load(); own != nil {
		merge(a.Texts, own.texts)
		a.Of = max(a.Of, own.term)
	}
	a.Items = len(a.Texts)
	for _, t := range a.Texts {
		a.Size += t.Size()
	}
	return a
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
	if before.ReplicaAddr != "" && before.ReplicaAddr != n.settings.Listen.Peers {
		addrs[before.ReplicaAddr] = true
	}
	for _, e := range cfmember.PossibleTextReplicas(members, n.members.Hubs(n.self(), cf.Uptime())) {
		if e.ID != n.settings.Entry {
			addrs[e.PeerAddr] = true
		}
	}
	term, _ := n.candidate.MayOrder()
	timeout := textsTimeout
	if cf.Uptime()-cf.Millis(n.candidate.answered.Load()) < holderAlive {
		timeout = textsPatience
	}
	own := n.heldTexts()
	out := own.Texts
	answers := n.askForTexts(ctx, addrs, before.Addr, textsCall{Term: term}, timeout)
	var large []textsOf
	for _, a := range answers {
		merge(out, a.Texts)
		if len(a.Texts) < a.Items && a.Of >= own.Of {
			large = append(large, a)
		}
	}
	fetched := n.fetchTexts(ctx, large, term)
	merge(out, fetched.Texts)
	n.log.Info("texts_gathered", zap.String("holder_before", string(before.Entry)), zap.Int("asked", len(addrs)),
		zap.Int("answers", len(answers)), zap.Int("items", len(out)), zap.String("fetched_from", fetched.addr), zap.Int("bytes", fetched.Size))
	return out
}

// askForTexts asks instances at once and returns the answers that come in time, or
// until the one at enough has answered: it has what its neighbour has, and more.
func (n *Node) askForTexts(ctx context.Context, addrs map[string]bool, enough string, call textsCall, timeout cf.Millis) []textsOf {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var out []textsOf
	for addr := range addrs {
		wg.Go(func() {
			var a textsAnswer
			if err := n.peers.Call(ctx, addr, opTexts, call, &a); err != nil {
				n.noteRefused(addr, err)
				return // a cache that is not reached is a cache miss
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, textsOf{a, addr})
			if addr == enough {
				cancel()
			}
		})
	}
	wg.Wait()
	return out
}

// fetchTexts reads the texts of the instance that holds the newest, and of these the
// most. The time to wait goes by the size, as others may share the link.
func (n *Node) fetchTexts(ctx context.Context, holders []textsOf, term cf.Revision) textsOf {
	slices.SortFunc(holders, func(a, b textsOf) int {
		return cmp.Or(cmp.Compare(b.Of, a.Of), cmp.Compare(b.Size, a.Size))
	})
	for _, h := range holders[:min(len(holders), textsTries)] {
		timeout := textsTimeout + min(cf.Millis(h.Size/textsRate), textsMost)
		if got := n.askForTexts(ctx, map[string]bool{h.addr: true}, h.addr, textsCall{term, true}, timeout); len(got) > 0 {
			return got[0]
		}
	}
	return textsOf{}
}
