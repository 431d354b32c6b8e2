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
	// textsTimeout bounds the query for texts and the copying of texts. Half a megabyte takes tens
	// of milliseconds; an instance that was lost does not answer.
	textsTimeout cf.Millis = 300
	// liveTextsTimeout is the same if the previous holder was alive a moment ago. It has to end its
	// streams first, and its texts are worth the wait.
	liveTextsTimeout cf.Millis = 800
	// maxInlineTexts is the size in bytes up to which texts are part of the first answer.
	maxInlineTexts = 64 << 10
	// textsBytesPerMs is the expected transfer rate of larger texts, in bytes per millisecond.
	textsBytesPerMs = 3000
	// maxTextsWait bounds the additional wait of a takeover for large texts: a delay of a second is
	// acceptable, as generating the texts again takes up to seven.
	maxTextsWait cf.Millis = 1200
	// maxTextsSources is how many instances are asked for large texts.
	maxTextsSources = 2
	// holderAliveTime is how long after its last answer a holder counts as alive.
	holderAliveTime cf.Millis = 1000
)

// supersedeWait is how long a successor's query waits for this instance to stop its streams.
const supersedeWait = 200 * time.Millisecond

type (
	// textsCall asks for texts on behalf of the holder of a term.
	textsCall struct {
		Term cf.Revision `cbor:"term"`
		// Full asks for the texts whatever their size.
		Full bool `cbor:"whole,omitempty"`
	}

	// textsAnswer describes the texts that an instance has, and contains them if they are small.
	textsAnswer struct {
		// Term is the term of the coordinator that generated the texts.
		Term  cf.Revision                  `cbor:"of"`
		Items int                          `cbor:"items"`
		Size  int                          `cbor:"size"`
		Texts map[cf.ItemID]cfrollout.Text `cbor:"texts,omitempty"`
	}

	// textsSource is an answer with the address of its instance.
	textsSource struct {
		textsAnswer
		addr string
	}

	// savedTexts holds the texts that this instance had generated when its duty ended.
	savedTexts struct {
		term  cf.Revision
		texts map[cf.ItemID]cfrollout.Text
	}

	// textReplicas holds the copies that this instance keeps for another coordinator, and the
	// address to which its own copies go.
	textReplicas struct {
		mu             sync.Mutex
		received       cfcoord.Mirror
		ownReplicaAddr string
	}

	// mirrorPeers implements cfcoord.MirrorPeers.
	mirrorPeers struct{ n *Node }
)

// Choose implements cfcoord.MirrorPeers. It prefers an instance of the same failure domain that has
// the capacity, since traffic within a failure domain is free.
func (b mirrorPeers) Choose(avoid string) string {
	addr := cfmember.TextReplica(b.n.Live(), b.n.self(), avoid).PeerAddr
	b.n.replicas.mu.Lock()
	defer b.n.replicas.mu.Unlock()
	b.n.replicas.ownReplicaAddr = addr
	return addr
}

// Copy implements cfcoord.MirrorPeers.
func (b mirrorPeers) Copy(addr string, part cfcoord.Mirror) ([]cf.ItemID, error) {
	ctx, cancel := context.WithTimeout(b.n.ctx, textsTimeout.Duration())
	defer cancel()
	var missing []cf.ItemID
	err := b.n.peers.Call(ctx, addr, opMirror, part, &missing)
	return missing, err
}

func (n *Node) serveMirror(_ context.Context, part cfcoord.Mirror) (any, error) {
	n.replicas.mu.Lock()
	defer n.replicas.mu.Unlock()
	return n.replicas.received.Apply(part), nil
}

// serveTexts answers a coordinator that takes over with the texts that this instance generated
// while it had the duty, or that it keeps as a replica. If this instance still has the duty, it
// stops its streams first.
func (n *Node) serveTexts(_ context.Context, call textsCall) (any, error) {
	n.candidate.supersede(call.Term)
	n.runnerHost.Fence(call.Term)
	for waited := time.Duration(0); n.coord.Load() != nil; waited += watchCheckInterval / 4 {
		if waited >= supersedeWait {
			return nil, cf.ErrConflict
		}
		time.Sleep(watchCheckInterval / 4)
	}
	a := n.localTexts()
	if a.Size > maxInlineTexts && !call.Full {
		a.Texts = nil
	}
	return a, nil
}

func (n *Node) localTexts() textsAnswer {
	a := textsAnswer{Texts: map[cf.ItemID]cfrollout.Text{}}
	n.replicas.mu.Lock()
	mergeTexts(a.Texts, n.replicas.received.Snapshot())
	a.Term = n.replicas.received.Term
	n.replicas.mu.Unlock()
	if own := n.savedTexts.Load(); own != nil {
		mergeTexts(a.Texts, own.texts)
		a.Term = max(a.Term, own.term)
	}
	a.Items = len(a.Texts)
	for _, t := range a.Texts {
		a.Size += t.Size()
	}
	return a
}

// mergeTexts adds texts to out and keeps the longer one of each.
func mergeTexts(out, texts map[cf.ItemID]cfrollout.Text) {
	for id, t := range texts {
		if t.Last >= out[id].Last {
			out[id] = t
		}
	}
}

// gatherTexts collects from the other instances the texts that the previous coordinator had
// generated and not yet listed as results. They need not be generated again: all of them after a
// planned stop, all but the last moments after a crash.
func (n *Node) gatherTexts(ctx context.Context, previous cflease.Holder, members []cfmember.Entry) map[cf.ItemID]cfrollout.Text {
	addrs := map[string]bool{}
	if previous.Entry != "" && previous.Entry != n.settings.Entry {
		addrs[previous.Addr] = true
	}
	if previous.ReplicaAddr != "" && previous.ReplicaAddr != n.settings.Listen.Peers {
		addrs[previous.ReplicaAddr] = true
	}
	for _, e := range cfmember.PossibleTextReplicas(members, n.members.Hubs(n.self(), cf.Uptime())) {
		if e.ID != n.settings.Entry {
			addrs[e.PeerAddr] = true
		}
	}
	term, _ := n.candidate.MayOrder()
	timeout := textsTimeout
	if cf.Uptime()-cf.Millis(n.candidate.holderAnsweredAt.Load()) < holderAliveTime {
		timeout = liveTextsTimeout
	}
	local := n.localTexts()
	out := local.Texts
	answers := n.queryTexts(ctx, addrs, previous.Addr, textsCall{Term: term}, timeout)
	var large []textsSource
	for _, a := range answers {
		mergeTexts(out, a.Texts)
		if len(a.Texts) < a.Items && a.Term >= local.Term {
			large = append(large, a)
		}
	}
	fetched := n.fetchTexts(ctx, large, term)
	mergeTexts(out, fetched.Texts)
	n.log.Info("texts_gathered", zap.String("holder_before", string(previous.Entry)), zap.Int("asked", len(addrs)),
		zap.Int("answers", len(answers)), zap.Int("items", len(out)), zap.String("fetched_from", fetched.addr), zap.Int("bytes", fetched.Size))
	return out
}

// queryTexts asks instances concurrently and returns the answers that arrive in time. It stops
// early once the instance at the sufficient address has answered, which has what its replica has,
// and more.
func (n *Node) queryTexts(ctx context.Context, addrs map[string]bool, sufficient string, call textsCall, timeout cf.Millis) []textsSource {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var out []textsSource
	for addr := range addrs {
		wg.Go(func() {
			var a textsAnswer
			if err := n.peers.Call(ctx, addr, opTexts, call, &a); err != nil {
				n.removeRefused(addr, err)
				return // The texts that are found nowhere are generated again.
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, textsSource{a, addr})
			if addr == sufficient {
				cancel()
			}
		})
	}
	wg.Wait()
	return out
}

// fetchTexts reads the texts from the source with the newest term, and among several of that term
// from the largest one. If that source does not answer, it tries the next. The timeout depends on
// the size, as other transfers may share the link.
func (n *Node) fetchTexts(ctx context.Context, sources []textsSource, term cf.Revision) textsSource {
	slices.SortFunc(sources, func(a, b textsSource) int {
		return cmp.Or(cmp.Compare(b.Term, a.Term), cmp.Compare(b.Size, a.Size))
	})
	for _, source := range sources[:min(len(sources), maxTextsSources)] {
		timeout := textsTimeout + min(cf.Millis(source.Size/textsBytesPerMs), maxTextsWait)
		if got := n.queryTexts(ctx, map[string]bool{source.addr: true}, source.addr, textsCall{term, true}, timeout); len(got) > 0 {
			return got[0]
		}
	}
	return textsSource{}
}
