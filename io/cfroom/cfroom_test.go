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

const memoryLimit = 16 << 20 // 4 MB for answers; 3 MB for one caller while there are others

func newRooms() (*cfroom.Rooms, *cfroom.Metrics) {
	m := cfroom.NewMetrics(prometheus.NewRegistry())
	return cfroom.New(cfroom.Options{MemoryBytes: memoryLimit, Metrics: m, Log: zap.NewNop()}), m
}

// TestWaitingAnswersGetFreedMemory guards against answers that keep waiting for memory after others
// have ended, and against memory that is not released.
func TestWaitingAnswersGetFreedMemory(t *testing.T) {
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
		t.Errorf("take by a request that was cancelled: %v, want ErrNoRoom", err)
	}
	second.Close()
	second.Close()
	if err := second.Take(t.Context(), 1); !errors.Is(err, cf.ErrNoRoom) {
		t.Errorf("take after Close: %v, want ErrNoRoom", err)
	}
	if held := testutil.ToFloat64(metrics.Held); held != 0 {
		t.Errorf("%.0f bytes are still held", held)
	}
}

// writingConn is a connection with a write always in progress.
type writingConn struct{}

func (writingConn) Writing() (uint64, bool) { return 1, true }
func (writingConn) Acknowledged() int64     { return 0 }
func (writingConn) AnswerNumber() uint64    { return 0 }
func (writingConn) Cut(uint64) bool         { return true }

// TestCheckKeepsRoomOfRequestOpen guards against a check that closes the Room which a request's
// handler has just opened.
func TestCheckKeepsRoomOfRequestOpen(t *testing.T) {
	rooms, _ := newRooms()
	conn := &cfroom.Conn{Delivery: writingConn{}}
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
		t.Errorf("%d open rooms were closed", closed)
	}
}

// TestHeldGaugeShowsReservedBytes guards against a gauge that grows with small takes, which are
// granted without being counted.
func TestHeldGaugeShowsReservedBytes(t *testing.T) {
	rooms, metrics := newRooms()
	small, large := rooms.Open(t.Context(), "a", cfhold.Answer, "r"), rooms.Open(t.Context(), "a", cfhold.Answer, "s")
	if err := errors.Join(small.Take(t.Context(), 1<<10), large.Take(t.Context(), 1<<20)); err != nil {
		t.Fatal(err)
	}
	if held := testutil.ToFloat64(metrics.Held); held != 1<<20 {
		t.Errorf("gauge at %.0f bytes, want %d", held, 1<<20)
	}
	small.Close()
	large.Close()
	if held := testutil.ToFloat64(metrics.Held); held != 0 {
		t.Errorf("gauge at %.0f bytes after all rooms were closed, want 0", held)
	}
}

// BenchmarkAnswer measures the cost of an answer at usual load.
func BenchmarkAnswer(b *testing.B) {
	rooms, _ := newRooms()
	ctx := cfroom.WithConn(context.Background(), &cfroom.Conn{Delivery: writingConn{}})
	b.ReportAllocs()
	for b.Loop() {
		room := rooms.Open(ctx, "a", cfhold.Answer, "r")
		_ = room.Take(ctx, 20<<10)
		room.Close()
	}
}
