package cfroom

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfhold"
)

// stalledConn is a connection whose caller reads nothing.
type stalledConn struct{ cuts int }

func (*stalledConn) Writing() (uint64, bool) { return 1, true }
func (*stalledConn) Acknowledged() int64     { return 0 }
func (*stalledConn) AnswerNumber() uint64    { return 0 }
func (s *stalledConn) Cut(uint64) bool {
	s.cuts++
	return true
}

// TestOnlyFirstWaiterSearchesForSlowCallers guards against a search for slow callers by each of
// many waiting answers whenever memory becomes free.
func TestOnlyFirstWaiterSearchesForSlowCallers(t *testing.T) {
	rooms := New(Options{MemoryBytes: 16 << 20, Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop()})
	slowStream := func() (*Conn, *stalledConn) {
		s := &stalledConn{}
		conn := &Conn{Delivery: s}
		room := rooms.Open(WithConn(t.Context(), conn), "s", cfhold.Stream, "")
		now := cf.Uptime()
		rooms.mu.Lock()
		defer rooms.mu.Unlock()
		rooms.ledger.ObserveWrite(room.reservation, 1, 0, now-cfhold.StreamWriteTimeout)
		rooms.ledger.ObserveWrite(room.reservation, 1, 0, now)
		rooms.blocked[room.reservation] = room
		return conn, s
	}
	wait := func() {
		t.Helper()
		if _, v, _ := rooms.Open(t.Context(), "a", cfhold.Answer, "").tryTake(3<<20, 3<<20, 0); v != cfhold.Wait {
			t.Fatalf("verdict %v, want Wait", v)
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
		t.Errorf("%d cuts by Check, want 1", second.cuts)
	}
}
