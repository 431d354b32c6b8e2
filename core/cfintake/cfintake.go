// Package cfintake limits the memory and the connections that an instance spends on requests until
// they are answered: on their heads, on their bodies, and on the connections themselves. It decides
// which connections are closed for others once a limit is reached. It does no I/O and takes the
// time as an argument.
//
// It is designed for clients that send little and keep much: heads of thousands of short lines,
// which take many times their size once they are parsed, requests whose last byte never comes, and
// connections without any request. Memory is charged by what a request costs, and before it is
// spent. Under pressure the connections that have held the most for the longest without completing
// a request are closed; a request that has been read completely is never given up for another one.
//
// Usage:
//
//	l := cfintake.New(cfintake.BoundsFor(memory, connections))
//	conn, evicted, ok := l.Open(false, now) // for each connection; evicted ones are to be closed
//	l.Begin(conn, now)                      // the first byte of a request was read
//	evicted, ok = l.Reserve(conn, n, now)   // before n bytes of memory are spent on it
//	l.Received(conn, n)                     // n bytes of its body were read
//	l.Complete(conn)                        // the whole request was read
//	l.End(conn, now)                        // it was answered
//	l.Close(conn)
package cfintake

import (
	cf "currantford"
)

const (
	// memoryDivisor divides the memory limit of the process: requests and their connections may
	// take that part. Answers may take another quarter and a bit (cfhold), the process itself needs
	// up to 40 MB, and the garbage collector as much as is left.
	memoryDivisor = 4
	// spareDivisor divides the total for requests: requests of up to smallRequest may take that
	// much in addition, so that large ones leave room for them.
	spareDivisor = 4
	// reservedDivisor divides the limit of connections: reserved connections may take that many in
	// addition.
	reservedDivisor = 8
	// smallRequest is the memory of a usual request with a body of some kilobytes.
	smallRequest = 32 << 10
	// ConnectionBytes is what a connection takes without a request: the stack of its goroutine and
	// its two buffers.
	ConnectionBytes = 24 << 10
	// minRate is the rate in bytes per second at which a body must arrive for its connection not to
	// be closed for others. It is a tenth of a link of 5 Mbit/s.
	minRate = 64 << 10
	// bodyGrace is how long a request may be incomplete before its memory is taken for others. It
	// covers a retransmission before the first byte of a body.
	bodyGrace cf.Millis = 200
)

// Stages of a connection.
const (
	// waiting: no byte of a request has been read.
	waiting stage = iota
	// reading: a part of a request has been read.
	reading
	// serving: a request has been read and is not answered yet.
	serving
)

type (
	stage int

	// Bounds limits memory, in bytes, and connections. A zero means no limit.
	Bounds struct {
		// Bytes is the limit for all requests and connections.
		Bytes int64
		// Spare is what small requests may take in addition.
		Spare int64
		// Connections is the number of connections at the same time.
		Connections int
	}

	// Connection is the account of one connection.
	Connection struct {
		stage stage
		// since is when the stage began, or the request in the stages reading and serving.
		since cf.Millis
		// bytes is the memory reserved for the request, received the size of the body read so far.
		bytes, received int64
		evicted         bool
	}

	// Ledger accounts for all connections of a process. It is not safe for concurrent use.
	Ledger struct {
		bounds Bounds
		// connections holds all that are open and not evicted.
		connections map[*Connection]struct{}
		// bytes is what they have reserved, without their ConnectionBytes.
		bytes int64
	}
)

// BoundsFor returns the bounds for a process with a memory limit in bytes and a limit of
// connections, zero each if there is none.
func BoundsFor(memory int64, connections int) Bounds {
	return WithSpare(memory/memoryDivisor, connections)
}

// WithSpare returns bounds of total bytes for all requests and connections, and a spare in addition.
func WithSpare(total int64, connections int) Bounds {
	return Bounds{Bytes: total, Spare: total / spareDivisor, Connections: connections}
}

// New returns a ledger without connections.
func New(b Bounds) *Ledger {
	return &Ledger{bounds: b, connections: map[*Connection]struct{}{}}
}

// Open adds a connection. It returns the connections to be closed for it, and false if there is no
// room for it. A reserved connection, of other instances or the platform, finds room although
// requests of callers are served on all others.
func (l *Ledger) Open(reserved bool, now cf.Millis) (c *Connection, evicted []*Connection, ok bool) {
	c = &Connection{since: now}
	if limit := l.bounds.Connections; limit > 0 && len(l.connections) >= limit {
		if victim := l.choose(c, now, 0); victim != nil {
			evicted = append(evicted, l.evict(victim))
		} else if !reserved || len(l.connections) >= limit+max(limit/reservedDivisor, 1) {
			return nil, nil, false
		}
	}
	l.connections[c] = struct{}{}
	more, ok := l.Reserve(c, 0, now)
	evicted = append(evicted, more...)
	if !ok {
		l.Close(c)
		return nil, evicted, false
	}
	return c, evicted, true
}

// Begin records that the first byte of a request was read.
func (l *Ledger) Begin(c *Connection, now cf.Millis) {
	if c.stage == waiting {
		c.stage, c.since, c.received = reading, now, 0
	}
}

// Reserve reserves n more bytes for the request of a connection. It returns the connections to be
// closed for it, and false if the request is to be refused because there is not enough memory, or
// because the connection has been evicted.
//
// A request that needs more than the limit by itself is accepted while the others take no more than
// the spare, and leaves the spare to them.
func (l *Ledger) Reserve(c *Connection, n int64, now cf.Millis) (evicted []*Connection, ok bool) {
	if c.evicted {
		return nil, false
	}
	if !l.fits(c, n, 0) && !l.fits(c, n, l.evictable(c, n, now)) {
		return nil, false
	}
	for !l.fits(c, n, 0) {
		victim := l.choose(c, now, bodyGrace)
		if victim == nil {
			return evicted, false
		}
		evicted = append(evicted, l.evict(victim))
	}
	l.add(c, n)
	return evicted, true
}

// Release returns n bytes of a request's reservation.
func (l *Ledger) Release(c *Connection, n int64) {
	if c.evicted {
		return // all was returned when it was evicted
	}
	l.add(c, -min(n, c.bytes))
}

// Received records that n bytes of a request's body were read.
func (l *Ledger) Received(c *Connection, n int64) { c.received += n }

// Complete records that a whole request was read. It returns false if the connection has been
// evicted, so that the request must not be served.
func (l *Ledger) Complete(c *Connection) bool {
	if c.evicted {
		return false
	}
	c.stage = serving
	return true
}

// End records that the request was answered. Its memory is released.
func (l *Ledger) End(c *Connection, now cf.Millis) {
	l.Release(c, c.bytes)
	c.stage, c.since, c.received = waiting, now, 0
}

// Close removes a connection.
func (l *Ledger) Close(c *Connection) {
	l.Release(c, c.bytes)
	delete(l.connections, c)
}

// Used returns the memory that is taken, in bytes, and the number of connections.
func (l *Ledger) Used() (bytes int64, connections int) {
	return l.bytes + int64(len(l.connections))*ConnectionBytes, len(l.connections)
}

// evictable returns the memory of the connections that may be closed for n more bytes of another
// one: those that have held more for longer than it.
func (l *Ledger) evictable(c *Connection, n int64, now cf.Millis) int64 {
	own := 0.0
	if c.stage == reading {
		own = l.weight(c, c.bytes+n, now, 0)
	}
	bytes := int64(0)
	for other := range l.connections {
		if other != c && l.weight(other, other.bytes, now, bodyGrace) > own {
			bytes += l.counted(other.bytes) + ConnectionBytes
		}
	}
	return bytes
}

// fits reports whether n more bytes fit for a connection once freed bytes of others are released.
func (l *Ledger) fits(c *Connection, n, freed int64) bool {
	if l.bounds.Bytes <= 0 {
		return true
	}
	used, _ := l.Used()
	others := used - freed - l.counted(c.bytes) - ConnectionBytes
	limit := l.bounds.Bytes
	if c.bytes+n <= smallRequest {
		limit += l.bounds.Spare
	}
	return others+l.counted(c.bytes+n)+ConnectionBytes <= limit || l.counted(c.bytes+n) == l.bounds.Bytes && others <= l.bounds.Spare
}

// counted returns how much of a request's memory counts towards the limit. A request that exceeds
// the limit by itself leaves the spare to others.
func (l *Ledger) counted(bytes int64) int64 {
	if l.bounds.Bytes <= 0 {
		return bytes
	}
	return min(bytes, l.bounds.Bytes)
}

// add changes the reservation of a connection.
func (l *Ledger) add(c *Connection, n int64) {
	l.bytes += l.counted(c.bytes+n) - l.counted(c.bytes)
	c.bytes += n
}

// choose returns the connection to be closed next for another one, nil if there is none. Those whose
// request has been incomplete for no longer than grace are kept.
func (l *Ledger) choose(other *Connection, now, grace cf.Millis) *Connection {
	var victim *Connection
	var most float64
	for c := range l.connections {
		if w := l.weight(c, c.bytes, now, grace); c != other && w > most {
			victim, most = c, w
		}
	}
	return victim
}

// weight returns how much and for how long a connection has held without completing a request, in
// byte milliseconds, zero if it is not to be closed. A request counts as held from grace on.
func (l *Ledger) weight(c *Connection, bytes int64, now, grace cf.Millis) float64 {
	held := float64(now - c.since + 1)
	switch c.stage {
	case serving:
		return 0
	case reading:
		held -= float64(grace) + float64(c.received)*1000/minRate
	}
	return max(0, held) * float64(bytes+ConnectionBytes)
}

// evict removes a connection that is to be closed.
func (l *Ledger) evict(c *Connection) *Connection {
	l.Close(c)
	c.evicted = true
	return c
}

// Reading reports whether a part of a request has been read, and not the whole.
func (c *Connection) Reading() bool { return c.stage == reading }
