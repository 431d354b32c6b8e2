package cfroom

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfhold"
)

// stuck is a connection whose caller reads nothing.
type stuck struct{ cuts int }

func (*stuck) Writing() (uint64, bool) { return 1, true }
func (*stuck) Acknowledged() int64     { return 0 }
func (*stuck) AnswerNumber() uint64    { return 0 }
func (s *stuck) Cut(uint64) bool {
	s.cuts++
	return true
}

// Guards against a search for slow callers by each of many waiters whenever room comes free.
func TestOnlyTheFirstWaiterLooksForSlowCallers(t *testing.T) {
	rooms := New(Options{MemoryBytes: 16 << 20, Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop()})
	slowStream := func() (*Conn, *stuck) {
		s := &stuck{}
		conn := &Conn{Delivery: s}
		room := rooms.Open(WithConn(t.Context(), conn), "s", cfhold.Stream, "")
		now := cf.Uptime()
		rooms.mu.Lock()
		defer rooms.mu.Unlock()
		rooms.ledger.ObserveWrite(room.hold, 1, 0, now-cfhold.StreamWriteTimeout)
		rooms.ledger.ObserveWrite(room.hold, 1, 0, now)
		rooms.blocked[room.hold] = room
		return conn, s
	}
	wait := func() {
		t.Helper()
		if _, v, _ := rooms.Open(t.Context(), "a", cfhold.Answer, "").try(3<<20, 3<<20, 0); v != cfhold.Wait {
			t.Fatalf("verdict %v, want one that waits", v)
		}
	}
	if err := rooms.Open(t.Context(), "a", cfhold.Answer, "").Take(t.Context(), 3<<20); err != nil {
		t.Fatal(err)
	}
	_, first := slowStream()
	wait()
	conn, second := slowStream()
	wait()
	if first.cuts != 1 || second.cuts != 0 {
		t.Errorf("%d cuts by the first waiter, %d by the second; want 1 and 0", first.cuts, second.cuts)
	}
	if rooms.Check([]*Conn{conn}); second.cuts != 1 {
		t.Errorf("%d cuts by the look, want 1", second.cuts)
	}
}
