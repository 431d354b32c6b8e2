// Package cfroom limits the memory that answers take while callers read them, as decided by cfhold.
// It counts the memory of each answer, makes answers wait while there is not enough memory, and
// cuts the connections of callers that read too slowly.
//
// Usage:
//
//	rooms := cfroom.New(cfroom.Options{MemoryBytes: limit, Metrics: cfroom.NewMetrics(reg), Log: log})
//	ctx = cfroom.WithConn(ctx, conn)                          // for each connection of a caller
//	room := rooms.Open(ctx, caller, cfhold.Answer, requestID) // for each answer
//	defer room.Close()
//	wait := rooms.Check(conns) // again after wait, or earlier if rooms.Pressure receives
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

// maxLogLinesPerSecond limits the log lines. Cuts beyond the limit are still counted in the
// metrics.
const maxLogLinesPerSecond = 20

type (
	// Delivery observes how the bytes written to a caller's connection are delivered.
	Delivery interface {
		// Writing returns the number of the write in progress, and false if there is none.
		Writing() (write uint64, ok bool)
		// Acknowledged returns the number of bytes that the caller's machine has acknowledged.
		Acknowledged() int64
		// AnswerNumber returns the number of the answer in progress, or of the next one.
		AnswerNumber() uint64
		// Cut makes the writes of an answer fail and ends the connection in a way that the caller
		// can detect. It returns false if the answer has already ended.
		Cut(answer uint64) bool
	}

	// Conn is a caller's connection.
	Conn struct {
		Delivery
		// room is the Room of the answer in progress, nil if there is none.
		room   atomic.Pointer[Room]
		closed atomic.Bool
		// requestID is the request of the last Room, until the next request starts.
		requestID atomic.Pointer[string]
	}

	// Options configure Rooms.
	Options struct {
		// MemoryBytes is the process's memory limit, zero if there is none.
		MemoryBytes int64
		Policy      cfhold.Policy
		Metrics     *Metrics
		Log         *zap.Logger
	}

	// Metrics are the metrics of Rooms.
	Metrics struct {
		Held    prometheus.Gauge
		Cut     *prometheus.CounterVec
		Refused *prometheus.CounterVec
	}

	// Rooms manages the memory reserved for all answers of a process. It is safe for concurrent
	// use; a nil Rooms has no limit.
	Rooms struct {
		options Options
		log     *zap.Logger

		mu     sync.Mutex
		ledger *cfhold.Ledger
		// blocked contains the rooms with a write that waits for the caller.
		blocked map[*cfhold.Reservation]*Room
		// freed is closed, and replaced, when memory may have become free while answers wait for
		// it.
		freed   chan struct{}
		waiters int
		// pressure receives when an answer begins to wait.
		pressure chan struct{}
		// logLines is the number of log lines in the second that began at logWindowStart.
		logLines       int
		logWindowStart cf.Millis
	}

	// Room is the memory reservation of one answer. It implements currantford.Room; a nil Room has
	// no limit.
	Room struct {
		rooms *Rooms
		conn  *Conn
		// answer is the number of the answer on its connection.
		answer      uint64
		reservation *cfhold.Reservation // guarded by rooms.mu
		// blocked is true if a write was waiting for the caller at the last check. It is used by
		// Check only.
		blocked bool
		// closed is true once nothing more can be taken.
		closed bool
		cut    atomic.Bool
		// requestID is used in log lines.
		requestID string
	}

	// pendingCut is a connection to be cut, with the bytes held in total when that was decided.
	pendingCut struct {
		cfhold.Cut
		room   *Room
		held   int64
		logged bool
	}

	connKey struct{}
)

var _ cf.Room = (*Room)(nil)

// NewMetrics registers the metrics of Rooms.
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

// New returns Rooms without reservations.
func New(o Options) *Rooms {
	return &Rooms{
		options: o, log: o.Log, ledger: cfhold.New(cfhold.BoundsFor(o.MemoryBytes), o.Policy),
		blocked: map[*cfhold.Reservation]*Room{}, freed: make(chan struct{}), pressure: make(chan struct{}, 1),
	}
}

// Enabled reports whether memory is limited.
func (r *Rooms) Enabled() bool { return r != nil && !r.options.Policy.Disabled }

// WithConn adds a caller's connection to the context of its requests.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Open opens the reservation for an answer to a caller, on the context's connection if there is
// one.
func (r *Rooms) Open(ctx context.Context, caller cfhold.Caller, kind cfhold.Kind, requestID string) *Room {
	if r == nil {
		return nil
	}
	conn, _ := ctx.Value(connKey{}).(*Conn)
	room := r.open(conn, caller, kind, requestID)
	if conn != nil {
		conn.requestID.Store(&requestID)
		if before := conn.room.Swap(room); before != nil {
			before.Close() // opened by a check between two answers
		}
	}
	return room
}

func (r *Rooms) open(conn *Conn, caller cfhold.Caller, kind cfhold.Kind, requestID string) *Room {
	room := &Room{rooms: r, conn: conn, requestID: requestID}
	if conn != nil {
		room.answer = conn.AnswerNumber()
	}
	r.mu.Lock()
	room.reservation = r.ledger.Open(caller, kind)
	r.mu.Unlock()
	return room
}

// RequestStarted records that the next request starts.
func (c *Conn) RequestStarted() { c.requestID.Store(nil) }

// RequestID returns the request that is answered on the connection, empty if the request has not
// opened a Room.
func (c *Conn) RequestID() string {
	if request := c.requestID.Load(); request != nil {
		return *request
	}
	return ""
}

// Closed records that the connection has ended.
func (c *Conn) Closed() {
	c.closed.Store(true)
	if room := c.room.Load(); room != nil {
		room.Close()
	}
}

// Refuses reports whether the next request of a caller is to be refused.
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

// Pressure receives when an answer begins to wait for memory.
func (r *Rooms) Pressure() <-chan struct{} { return r.pressure }

// Check checks callers' connections and cuts those chosen by cfhold. It makes a system call for
// each connection with a write in progress. It returns the time until the next check.
func (r *Rooms) Check(conns []*Conn) cf.Millis {
	now := cf.Uptime()
	for _, c := range conns {
		r.checkConn(c, now)
	}
	r.mu.Lock()
	cuts := r.chooseCuts(now)
	r.wake() // two attempts of one request may be waiting, while the ledger counts them as one
	wait := cfhold.CheckInterval
	if r.waiters > 0 {
		wait = cfhold.PressureCheckInterval
	}
	r.mu.Unlock()
	r.cutAll(cuts)
	return wait
}

// chooseCuts returns the connections to be cut. r.mu must be held.
func (r *Rooms) chooseCuts(now cf.Millis) []pendingCut {
	var out []pendingCut
	for _, c := range r.ledger.Cuts(now) {
		if room := r.blocked[c.Reservation]; room != nil {
			out = append(out, pendingCut{c, room, r.ledger.Held(), r.allowLine(now)})
		}
	}
	return out
}

// cutAll cuts connections.
func (r *Rooms) cutAll(cuts []pendingCut) {
	for _, c := range cuts {
		if c.room.conn.room.Load() != c.room {
			continue // the answer has ended meanwhile, and the next one may be in progress
		}
		c.room.cut.Store(true)
		if !c.room.conn.Cut(c.room.answer) {
			c.room.cut.Store(false)
			continue
		}
		r.options.Metrics.Cut.WithLabelValues(string(c.Reason)).Inc()
		if c.logged {
			r.log.Warn("slow_caller_cut", zap.String("request_id", c.room.requestID), zap.String("reason", string(c.Reason)), zap.Int64("held_bytes", c.Bytes),
				zap.Int64("bytes_per_s", c.Rate), zap.Int64("blocked_ms", int64(c.Blocked)), zap.Int64("held_in_all", c.held))
		}
	}
}

func (r *Rooms) checkConn(c *Conn, now cf.Millis) {
	write, writing := c.Writing()
	room := c.room.Load()
	if !writing {
		if room != nil && room.blocked {
			room.blocked = false
			r.mu.Lock()
			r.unblock(room)
			r.mu.Unlock()
		}
		return
	}
	if room == nil {
		// The answer has no Room of its own, such as a refusal.
		room = r.open(c, "", cfhold.Answer, "")
		if !c.room.CompareAndSwap(nil, room) {
			room.Close() // the next request has opened its own Room, which the next check will see
			return
		}
		if c.closed.Load() {
			room.Close()
		}
	}
	acked := c.Acknowledged()
	room.blocked = true
	r.mu.Lock()
	defer r.mu.Unlock()
	if !room.closed {
		r.ledger.ObserveWrite(room.reservation, write, acked, now)
		r.blocked[room.reservation] = room
	}
}

// unblock records that no write of a room waits for the caller. r.mu must be held.
func (r *Rooms) unblock(m *Room) {
	r.ledger.WriteDone(m.reservation)
	delete(r.blocked, m.reservation)
}

// allowLine reports whether another line may be logged now. r.mu must be held.
func (r *Rooms) allowLine(now cf.Millis) bool {
	if now-r.logWindowStart >= 1000 {
		r.logLines, r.logWindowStart = 0, now
	}
	r.logLines++
	return r.logLines <= maxLogLinesPerSecond
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
	n, verdict, freed := m.tryTake(least, most, 0)
	if verdict == cfhold.Granted {
		return n, nil
	}
	timeout := time.NewTimer(cfhold.MaxWait.Duration())
	defer timeout.Stop()
	for ; verdict != cfhold.Granted; n, verdict, freed = m.tryTake(least, most, -1) {
		if verdict == cfhold.TooLarge {
			return 0, m.refuse("over_bound", least)
		}
		select {
		case <-freed:
			continue
		case <-ctx.Done():
		case <-timeout.C:
		}
		m.stopWaiting()
		return 0, m.refuse("waited", least)
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
	granted := !m.closed && r.ledger.TakeUnbounded(m.reservation, n)
	r.options.Metrics.Held.Set(float64(r.ledger.Held()))
	r.mu.Unlock()
	if !granted {
		return m.refuse("no_end", n)
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
	r.ledger.Release(m.reservation, n)
	r.options.Metrics.Held.Set(float64(r.ledger.Held()))
	r.wake()
}

// tryTake takes memory if available; waiters is added to the number of waiting answers.
func (m *Room) tryTake(least, most int64, waiters int) (int64, cfhold.Verdict, <-chan struct{}) {
	r := m.rooms
	r.mu.Lock()
	r.waiters += waiters
	if m.closed {
		r.mu.Unlock()
		return 0, cfhold.TooLarge, nil
	}
	n, v := r.ledger.TakeUpTo(m.reservation, least, most)
	if v != cfhold.Wait {
		r.options.Metrics.Held.Set(float64(r.ledger.Held())) // small takes are granted without being counted
		r.mu.Unlock()
		return n, v, nil
	}
	r.waiters++
	select {
	case r.pressure <- struct{}{}:
	default:
	}
	freed := r.freed
	var cuts []pendingCut
	if r.waiters == 1 {
		// Cut the callers that are known to be slow without waiting for the next check. If more
		// answers wait, it is left to that check, since otherwise each of them would sort all
		// reservations whenever memory becomes free.
		cuts = r.chooseCuts(cf.Uptime())
	}
	r.mu.Unlock()
	r.cutAll(cuts)
	return 0, v, freed
}

func (m *Room) stopWaiting() {
	m.rooms.mu.Lock()
	defer m.rooms.mu.Unlock()
	m.rooms.waiters--
	m.rooms.ledger.StopWaiting(m.reservation)
}

// wake lets the answers that wait for memory try again. r.mu must be held.
func (r *Rooms) wake() {
	if r.waiters > 0 {
		close(r.freed)
		r.freed = make(chan struct{})
	}
}

func (m *Room) refuse(reason string, n int64) error {
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
		r.log.Warn("answer_without_room", zap.String("request_id", m.requestID), zap.String("reason", reason), zap.Int64("bytes", n), zap.Int64("held_in_all", held))
	}
	return eris.Wrapf(cf.ErrNoRoom, "%d bytes, %s, %d held in all", n, reason, held)
}

// WasCut reports whether the caller's connection was cut because it read too slowly.
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
	r.unblock(m)
	r.ledger.Close(m.reservation)
	r.options.Metrics.Held.Set(float64(r.ledger.Held()))
	r.wake()
}
