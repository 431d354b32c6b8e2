// Package cfroom carries out cfhold's decisions: it accounts for what answers take of the
// process's memory, makes those that find no room wait, and ends the connections of callers
// that read too slowly.
//
// Usage:
//
//	rooms := cfroom.New(cfroom.Options{MemoryBytes: limit, Metrics: cfroom.NewMetrics(reg), Log: log})
//	ctx = cfroom.WithConn(ctx, conn)              // for each connection of a caller
//	room := rooms.Open(ctx, caller, cfhold.Answer) // for each answer
//	defer room.Close()
//	wait := rooms.Look(conns)                      // again after wait, or sooner by rooms.Pressed
package cfroom

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfhold"
)

// linesPerSecond bounds the log lines; each cut counts in the metrics.
const linesPerSecond = 20

type (
	// Delivery is a caller's connection as bytes go out on it.
	Delivery interface {
		// Writing returns the number of the write that is under way, false if none is.
		Writing() (write uint64, ok bool)
		// Acknowledged returns how many bytes the caller's machine has acknowledged.
		Acknowledged() int64
		// AnswerNumber returns the number of the answer that is under way, or of the next one.
		AnswerNumber() uint64
		// Cut makes the writes of an answer fail, and the connection end so that the caller
		// sees it. It returns false where that answer has ended.
		Cut(answer uint64) bool
	}

	// Conn is a caller's connection.
	Conn struct {
		Delivery
		// room is that of the answer that is on its way, nil if none is.
		room  atomic.Pointer[Room]
		ended atomic.Bool
		// request is that of the last room, until the next request begins.
		request atomic.Pointer[string]
	}

	// Options are what rooms work with.
	Options struct {
		// MemoryBytes is the process's memory limit, zero if there is none.
		MemoryBytes int64
		Policy      cfhold.Policy
		Metrics     *Metrics
		Log         *zap.Logger
	}

	// Metrics are the counters of rooms.
	Metrics struct {
		Held    prometheus.Gauge
		Cut     *prometheus.CounterVec
		Refused *prometheus.CounterVec
	}

	// Rooms is what a process holds of answers. It is safe for concurrent use; a nil one
	// bounds nothing.
	Rooms struct {
		options Options
		log     *zap.Logger

		mu     sync.Mutex
		ledger *cfhold.Ledger
		// blocked are those rooms whose callers were seen to be waited for.
		blocked map[*cfhold.Reservation]*Room
		// freed is closed when room may have come free, where waiters wait for it.
		freed   chan struct{}
		waiters int
		// pressed tells whoever looks that one has begun to wait.
		pressed chan struct{}
		// lines are the log lines of the second that began at linesAt.
		lines   int
		linesAt cf.Millis
	}

	// Room implements currantford.Room. A nil one has no bound.
	Room struct {
		rooms *Rooms
		conn  *Conn
		// answer is its number on the connection.
		answer uint64
		hold   *cfhold.Reservation // of rooms.mu
		// seen: its caller was waited for at the last look. Only Look uses it.
		seen bool
		// closed: nothing is taken any more.
		closed bool
		cut    atomic.Bool
		// request is named in log lines.
		request string
	}

	// pendingCut is a connection that is to end, and what was held by then.
	pendingCut struct {
		cfhold.Cut
		room   *Room
		held   int64
		logged bool
	}

	connKey struct{}
)

var _ cf.Room = (*Room)(nil)

// NewMetrics registers the metrics of rooms.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		Held: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "currantford_held_bytes", Help: "Bytes of answers that are held until their callers have read them."}),
		Cut: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_slow_callers_cut_total", Help: "Callers' connections ended because the caller read too slowly, by reason."}, []string{"reason"}),
		Refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_held_refused_total", Help: "Answers and requests that found no room, by reason."}, []string{"reason"}),
	}
	reg.MustRegister(m.Held, m.Cut, m.Refused)
	return m
}

// New returns rooms that hold nothing.
func New(o Options) *Rooms {
	return &Rooms{
		options: o, log: o.Log, ledger: cfhold.New(cfhold.BoundsFor(o.MemoryBytes), o.Policy),
		blocked: map[*cfhold.Reservation]*Room{}, freed: make(chan struct{}), pressed: make(chan struct{}, 1),
	}
}

// Enabled says whether anything is bounded.
func (r *Rooms) Enabled() bool { return r != nil && !r.options.Policy.Disabled }

// WithConn adds a caller's connection to the context of its requests.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Open begins an answer to a caller, on the connection of the context if it has one.
func (r *Rooms) Open(ctx context.Context, caller cfhold.Caller, kind cfhold.Kind, request string) *Room {
	if r == nil {
		return nil
	}
	conn, _ := ctx.Value(connKey{}).(*Conn)
	room := r.open(conn, caller, kind, request)
	if conn != nil {
		conn.request.Store(&request)
		if before := conn.room.Swap(room); before != nil {
			before.Close() // of a look between two answers
		}
	}
	return room
}

func (r *Rooms) open(conn *Conn, caller cfhold.Caller, kind cfhold.Kind, request string) *Room {
	room := &Room{rooms: r, conn: conn, request: request}
	if conn != nil {
		room.answer = conn.AnswerNumber()
	}
	r.mu.Lock()
	room.hold = r.ledger.Open(caller, kind)
	r.mu.Unlock()
	return room
}

// RequestStarted notes that the next request begins.
func (c *Conn) RequestStarted() { c.request.Store(nil) }

// RequestID names the request that is answered on the connection, empty if it has opened no
// room.
func (c *Conn) RequestID() string {
	if request := c.request.Load(); request != nil {
		return *request
	}
	return ""
}

// Closed notes that the connection has ended.
func (c *Conn) Closed() {
	c.ended.Store(true)
	if room := c.room.Load(); room != nil {
		room.Close()
	}
}

// Refuses says whether a caller's next request is turned away.
func (r *Rooms) Refuses(caller cfhold.Caller) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	refused := r.ledger.Refuses(caller)
	if refused {
		r.options.Metrics.Refused.WithLabelValues("caller_over_part").Inc()
	}
	return refused
}

// Pressure receives when an answer has begun to wait for room.
func (r *Rooms) Pressure() <-chan struct{} { return r.pressed }

// Check looks at callers' connections and ends those that cfhold chooses. It makes a system
// call for each connection on which a write is under way. It returns when to look again.
func (r *Rooms) Check(conns []*Conn) cf.Millis {
	now := cf.Uptime()
	for _, c := range conns {
		r.look(c, now)
	}
	r.mu.Lock()
	cuts := r.cuts(now)
	r.wake() // two attempts of one request may wait, of which the ledger knows one
	wait := cfhold.CheckInterval
	if r.waiters > 0 {
		wait = cfhold.PressureCheckInterval
	}
	r.mu.Unlock()
	r.cut(cuts)
	return wait
}

// cuts decides whose connections end. r.mu is held.
func (r *Rooms) cuts(now cf.Millis) []pendingCut {
	var out []pendingCut
	for _, c := range r.ledger.Cuts(now) {
		if room := r.blocked[c.Reservation]; room != nil {
			out = append(out, pendingCut{c, room, r.ledger.Held(), r.allowLine(now)})
		}
	}
	return out
}

// cut ends connections.
func (r *Rooms) cut(cuts []pendingCut) {
	for _, c := range cuts {
		if c.room.conn.room.Load() != c.room {
			continue // its answer has ended meanwhile, and the next may be on its way
		}
		c.room.cut.Store(true)
		if !c.room.conn.Cut(c.room.answer) {
			c.room.cut.Store(false)
			continue
		}
		r.options.Metrics.Cut.WithLabelValues(string(c.Reason)).Inc()
		if c.logged {
			r.log.Warn("slow_caller_cut", zap.String("request_id", c.room.request), zap.String("reason", string(c.Reason)), zap.Int64("held_bytes", c.Bytes),
				zap.Int64("bytes_per_s", c.Rate), zap.Int64("blocked_ms", int64(c.Blocked)), zap.Int64("held_in_all", c.held))
		}
	}
}

func (r *Rooms) look(c *Conn, now cf.Millis) {
	write, writing := c.Writing()
	room := c.room.Load()
	if !writing {
		if room != nil && room.seen {
			room.seen = false
			r.mu.Lock()
			r.rest(room)
			r.mu.Unlock()
		}
		return
	}
	if room == nil {
		// An answer that takes no room of its own, such as a refusal.
		room = r.open(c, "", cfhold.Answer, "")
		if !c.room.CompareAndSwap(nil, room) {
			room.Close() // the next request has opened its own, which the next look finds
			return
		}
		if c.ended.Load() {
			room.Close()
		}
	}
	acked := c.Acknowledged()
	room.seen = true
	r.mu.Lock()
	defer r.mu.Unlock()
	if !room.closed {
		r.ledger.ObserveWrite(room.hold, write, acked, now)
		r.blocked[room.hold] = room
	}
}

// rest notes that a room's caller is not waited for. r.mu is held.
func (r *Rooms) rest(m *Room) {
	r.ledger.WriteDone(m.hold)
	delete(r.blocked, m.hold)
}

// allowLine says whether one more line may be logged now. r.mu is held.
func (r *Rooms) allowLine(now cf.Millis) bool {
	if now-r.linesAt >= 1000 {
		r.lines, r.linesAt = 0, now
	}
	r.lines++
	return r.lines <= linesPerSecond
}

// Take implements currantford.Room.
func (m *Room) Take(ctx context.Context, n int64) error {
	_, err := m.TakeUpTo(ctx, n, n)
	return err
}

// TakeUpTo implements currantford.Room.
func (m *Room) TakeUpTo(ctx context.Context, least, most int64) (int64, error) {
	if m == nil {
		return most, nil
	}
	n, verdict, freed := m.try(least, most, 0)
	if verdict == cfhold.Granted {
		return n, nil
	}
	late := time.NewTimer(cfhold.MaxWait.Duration())
	defer late.Stop()
	for ; verdict != cfhold.Granted; n, verdict, freed = m.try(least, most, -1) {
		if verdict == cfhold.TooLarge {
			return 0, m.noRoom("over_bound", least)
		}
		select {
		case <-freed:
			continue
		case <-ctx.Done():
		case <-late.C:
		}
		m.giveUp()
		return 0, m.noRoom("waited", least)
	}
	return n, nil
}

// TakeUnbounded implements currantford.Room.
func (m *Room) TakeUnbounded(n int64) error {
	if m == nil {
		return nil
	}
	r := m.rooms
	r.mu.Lock()
	granted := !m.closed && r.ledger.TakeUnbounded(m.hold, n)
	r.options.Metrics.Held.Set(float64(r.ledger.Held()))
	r.mu.Unlock()
	if !granted {
		return m.noRoom("no_end", n)
	}
	return nil
}

// Release implements currantford.Room.
func (m *Room) Release(n int64) {
	if m == nil {
		return
	}
	r := m.rooms
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.closed {
		return
	}
	r.ledger.Release(m.hold, n)
	r.options.Metrics.Held.Set(float64(r.ledger.Held()))
	r.wake()
}

// try takes bytes if it may; waiters is how many fewer wait by then.
func (m *Room) try(least, most int64, waiters int) (int64, cfhold.Verdict, <-chan struct{}) {
	r := m.rooms
	r.mu.Lock()
	r.waiters += waiters
	if m.closed {
		r.mu.Unlock()
		return 0, cfhold.TooLarge, nil
	}
	n, v := r.ledger.TakeUpTo(m.hold, least, most)
	if v != cfhold.Wait {
		r.options.Metrics.Held.Set(float64(r.ledger.Held())) // small takes are granted without being held
		r.mu.Unlock()
		return n, v, nil
	}
	r.waiters++
	select {
	case r.pressed <- struct{}{}:
	default:
	}
	freed := r.freed
	var cuts []pendingCut
	if r.waiters == 1 {
		// Those that are known to be slow, without the next look. Where more wait, it is
		// left to the look: each would sort all holds again whenever room comes free.
		cuts = r.cuts(cf.Uptime())
	}
	r.mu.Unlock()
	r.cut(cuts)
	return 0, v, freed
}

func (m *Room) giveUp() {
	m.rooms.mu.Lock()
	defer m.rooms.mu.Unlock()
	m.rooms.waiters--
	m.rooms.ledger.StopWaiting(m.hold)
}

// wake lets those that wait for room try again. r.mu is held.
func (r *Rooms) wake() {
	if r.waiters > 0 {
		close(r.freed)
		r.freed = make(chan struct{})
	}
}

func (m *Room) noRoom(reason string, n int64) error {
	r := m.rooms
	r.mu.Lock()
	if m.closed {
		r.mu.Unlock()
		return eris.Wrap(cf.ErrNoRoom, "the request has ended")
	}
	held, logged := r.ledger.Held(), r.allowLine(cf.Uptime())
	r.mu.Unlock()
	r.options.Metrics.Refused.WithLabelValues(reason).Inc()
	if logged {
		r.log.Warn("answer_without_room", zap.String("request_id", m.request), zap.String("reason", reason), zap.Int64("bytes", n), zap.Int64("held_in_all", held))
	}
	return eris.Wrapf(cf.ErrNoRoom, "%d bytes, %s, %d held in all", n, reason, held)
}

// WasCut says whether the caller's connection was ended because it read too slowly.
func (m *Room) WasCut() bool { return m != nil && m.cut.Load() }

// Close implements currantford.Room.
func (m *Room) Close() {
	if m == nil {
		return
	}
	if m.conn != nil {
		m.conn.room.CompareAndSwap(m, nil)
	}
	r := m.rooms
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.closed {
		return
	}
	m.closed = true
	r.rest(m)
	r.ledger.Close(m.hold)
	r.options.Metrics.Held.Set(float64(r.ledger.Held()))
	r.wake()
}
