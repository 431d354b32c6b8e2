package cfroom_test

import (
	"context"
	"errors"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfhold"
	"currantford/io/cfroom"
)

const limit = 16 << 20 // 4 MB of answers, 3 of one caller beside others

func newRooms() (*cfroom.Rooms, *cfroom.Metrics) {
	m := cfroom.NewMetrics(prometheus.NewRegistry())
	return cfroom.New(cfroom.Options{MemoryBytes: limit, Metrics: m, Log: zap.NewNop()}), m
}

// Symptom guarded against: an answer that waits for room is not read on when others have
// ended, or room that was given back is missing.
func TestWaitingAnswersGetRoom(t *testing.T) {
	rooms, metrics := newRooms()
	open := func() *cfroom.Room { return rooms.Open(t.Context(), "a", cfhold.Answer, "r") }
	first := open()
	if err := first.Take(t.Context(), 3<<20); err != nil {
		t.Fatal(err)
	}
	second := open()
	took := make(chan error, 2)
	for range 2 { // two attempts of one request
		go func() { took <- second.Take(t.Context(), 1<<20) }()
	}
	first.Close()
	if err := errors.Join(<-took, <-took); err != nil {
		t.Error(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := open().Take(ctx, 2<<20); !errors.Is(err, cf.ErrNoRoom) {
		t.Errorf("an answer whose request is over: %v", err)
	}
	second.Close()
	second.Close()
	if err := second.Take(t.Context(), 1); !errors.Is(err, cf.ErrNoRoom) {
		t.Errorf("an answer of a request that has ended: %v", err)
	}
	if held := testutil.ToFloat64(metrics.Held); held != 0 {
		t.Errorf("%.0f bytes are still held", held)
	}
}

// writing is a connection on which a write is always under way.
type writing struct{}

func (writing) Writing() (uint64, bool) { return 1, true }
func (writing) Acknowledged() int64     { return 0 }
func (writing) AnswerNumber() uint64    { return 0 }
func (writing) Cut(uint64) bool         { return true }

// Guards against a look that closes the room which a request's handler has just opened.
func TestLookLeavesTheRoomOfARequestOpen(t *testing.T) {
	rooms, _ := newRooms()
	conn := &cfroom.Conn{Delivery: writing{}}
	ctx := cfroom.WithConn(t.Context(), conn)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				rooms.Check([]*cfroom.Conn{conn})
			}
		}
	}()
	closed := 0
	for range 50000 {
		room := rooms.Open(ctx, "a", cfhold.Answer, "r")
		for range 4 {
			if err := room.Take(ctx, 1); err != nil {
				closed++
				break
			}
		}
		room.Close()
	}
	close(stop)
	<-stopped
	if closed > 0 {
		t.Errorf("%d live rooms were closed", closed)
	}
}

// Guards against a gauge that grows by small takes, which are granted without being held.
func TestGaugeShowsWhatIsHeld(t *testing.T) {
	rooms, metrics := newRooms()
	small, large := rooms.Open(t.Context(), "a", cfhold.Answer, "r"), rooms.Open(t.Context(), "a", cfhold.Answer, "s")
	if err := errors.Join(small.Take(t.Context(), 1<<10), large.Take(t.Context(), 1<<20)); err != nil {
		t.Fatal(err)
	}
	if held := testutil.ToFloat64(metrics.Held); held != 1<<20 {
		t.Errorf("%.0f bytes shown, want %d", held, 1<<20)
	}
	small.Close()
	large.Close()
	if held := testutil.ToFloat64(metrics.Held); held != 0 {
		t.Errorf("%.0f bytes shown after all were closed", held)
	}
}

// What an answer at usual load pays.
func BenchmarkAnswer(b *testing.B) {
	rooms, _ := newRooms()
	ctx := cfroom.WithConn(context.Background(), &cfroom.Conn{Delivery: writing{}})
	b.ReportAllocs()
	for b.Loop() {
		room := rooms.Open(ctx, "a", cfhold.Answer, "r")
		_ = room.Take(ctx, 20<<10)
		room.Close()
	}
}
