package cfintake

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	cf "currantford"
)

// testBounds leave 1 MB for the requests of four connections.
var testBounds = WithSpare(1<<20+4*ConnectionBytes, 0)

// open opens a connection that has begun a request.
func open(t *testing.T, l *Ledger, now cf.Millis) *Connection {
	t.Helper()
	c, _, ok := l.Open(false, now)
	if !ok {
		t.Fatal("a connection was refused")
	}
	l.Begin(c, now)
	return c
}

// reserve reserves memory that must be granted, and returns which connections were evicted.
func reserve(t *testing.T, l *Ledger, c *Connection, n int64, now cf.Millis) []*Connection {
	t.Helper()
	evicted, ok := l.Reserve(c, n, now)
	if !ok {
		t.Fatalf("%d bytes were refused", n)
	}
	return evicted
}

// TestRequestsBeyondTheMemoryAreRefused guards against an instance that is killed for its memory use
// under many large requests at once.
func TestRequestsBeyondTheMemoryAreRefused(t *testing.T) {
	l := New(testBounds)
	var conns []*Connection
	for range 3 {
		c := open(t, l, 0)
		reserve(t, l, c, 300<<10, 0)
		l.Complete(c)
		conns = append(conns, c)
	}
	c := open(t, l, 0)
	if evicted, ok := l.Reserve(c, 700<<10, 0); ok || len(evicted) > 0 {
		t.Errorf("a request beyond the memory: %v, %d evicted", ok, len(evicted))
	}
	l.End(conns[0], 0)
	l.End(conns[1], 0)
	reserve(t, l, c, 700<<10, 0)
}

// TestSingleLargeRequestIsAccepted guards against the refusal of a request inside the limits of the
// configuration because it is larger than the memory for requests, while there are no others.
func TestSingleLargeRequestIsAccepted(t *testing.T) {
	l := New(testBounds)
	c := open(t, l, 0)
	reserve(t, l, c, 20<<20, 0)
	other := open(t, l, 0)
	if _, ok := l.Reserve(other, 64<<10, 0); ok {
		t.Error("another large request was accepted beside it")
	}
	reserve(t, l, other, 4<<10, 0)
}

// TestSmallRequestsFindSpare guards against large requests that keep out small ones.
func TestSmallRequestsFindSpare(t *testing.T) {
	l := New(testBounds)
	for {
		c := open(t, l, 0)
		if _, ok := l.Reserve(c, 200<<10, 0); !ok {
			l.Close(c)
			break
		}
		l.Complete(c)
	}
	reserve(t, l, open(t, l, 0), 4<<10, 0)
}

// TestLongestHolderIsEvicted guards against a new request that is refused, or a complete one that is
// given up, for requests that are held without being completed.
func TestLongestHolderIsEvicted(t *testing.T) {
	l := New(testBounds)
	complete := open(t, l, 0)
	reserve(t, l, complete, 300<<10, 0)
	l.Complete(complete)
	held := open(t, l, 1000)
	reserve(t, l, held, 300<<10, 1000)
	recent := open(t, l, 9000)
	reserve(t, l, recent, 300<<10, 9000)
	c := open(t, l, 10000)
	if evicted := reserve(t, l, c, 300<<10, 10000); !slices.Equal(evicted, []*Connection{held}) {
		t.Errorf("%d connections were evicted, want the one that has held its memory the longest", len(evicted))
	}
	if _, ok := l.Reserve(held, 1, 10000); ok || l.Complete(held) {
		t.Error("an evicted connection was served")
	}
	l.Release(held, 300<<10)
	l.Close(held)
	l.Close(complete)
	l.Close(recent)
	l.Close(c)
	if bytes, n := l.Used(); bytes != 0 || n != 0 {
		t.Errorf("%d bytes and %d connections are left in the account", bytes, n)
	}
}

// TestBodiesThatArriveAreKept guards against uploads that are given up one for the other, so that
// none of them completes.
func TestBodiesThatArriveAreKept(t *testing.T) {
	l := New(testBounds)
	upload := open(t, l, 0)
	reserve(t, l, upload, 900<<10, 0)
	l.Received(upload, 400<<10)
	c := open(t, l, 5000)
	if evicted, ok := l.Reserve(c, 900<<10, 5000); ok || len(evicted) > 0 {
		t.Errorf("an upload of 80 KB per second was given up: %v, %d evicted", ok, len(evicted))
	}
	if evicted := reserve(t, l, open(t, l, 60000), 900<<10, 60000); !slices.Equal(evicted, []*Connection{upload}) {
		t.Errorf("%d connections were evicted, want the upload that has stopped", len(evicted))
	}
}

// TestLargeHolderDoesNotEvictSmallOnes guards against a request that holds more than others for
// longer and is completed at their expense.
func TestLargeHolderDoesNotEvictSmallOnes(t *testing.T) {
	l := New(testBounds)
	slow := open(t, l, 0)
	reserve(t, l, slow, 600<<10, 0)
	for range 4 {
		reserve(t, l, open(t, l, 9000), 100<<10, 9000)
	}
	if evicted, ok := l.Reserve(slow, 600<<10, 10000); ok || len(evicted) > 0 {
		t.Errorf("granted %v, %d evicted", ok, len(evicted))
	}
}

// TestNewConnectionsReplaceIdleOnes guards against connections without requests that take all
// descriptors, so that new callers get none.
func TestNewConnectionsReplaceIdleOnes(t *testing.T) {
	l := New(Bounds{Connections: 10})
	var conns []*Connection
	for i := range 10 {
		c, _, _ := l.Open(false, cf.Millis(i))
		conns = append(conns, c)
	}
	l.Begin(conns[0], 100)
	l.Complete(conns[0])
	for i := 1; i < 10; i++ {
		_, evicted, ok := l.Open(false, 1000)
		if !ok || !slices.Equal(evicted, conns[i:i+1]) {
			t.Fatalf("new connection %d: %v, %d evicted, want the oldest idle one", i, ok, len(evicted))
		}
	}
	busy := New(Bounds{Connections: 2})
	for range 2 {
		c, _, _ := busy.Open(false, 0)
		busy.Begin(c, 0)
		busy.Complete(c)
	}
	if _, evicted, ok := busy.Open(false, 9000); ok || len(evicted) > 0 {
		t.Error("a connection whose request was read was given up for a new one")
	}
	if _, evicted, ok := busy.Open(true, 9000); !ok || len(evicted) > 0 {
		t.Error("another instance found no connection beside busy callers")
	}
}

// TestOrdinaryRequestsAmongCrowd replays a crowd that withholds the last byte of its requests and
// comes back at once when it is closed. It guards against ordinary requests that are refused.
func TestOrdinaryRequestsAmongCrowd(t *testing.T) {
	const headCost = 200 << 10
	l := New(WithSpare(8<<20, 150))
	rng := rand.New(rand.NewPCG(1, 1))
	refused, evictedOrdinary := 0, 0
	ordinary := map[*Connection]bool{}
	count := func(evicted []*Connection) {
		for _, c := range evicted {
			if ordinary[c] {
				evictedOrdinary++
			}
		}
	}
	for now := cf.Millis(0); now < 20000; now++ {
		for range rng.IntN(3) {
			c, evicted, ok := l.Open(false, now)
			count(evicted)
			if !ok {
				continue
			}
			l.Begin(c, now)
			evicted, ok = l.Reserve(c, headCost, now)
			count(evicted)
			if !ok {
				l.Close(c)
			}
		}
		if now%10 != 0 {
			continue
		}
		c, evicted, ok := l.Open(false, now)
		count(evicted)
		if !ok {
			refused++
			continue
		}
		ordinary[c] = true
		l.Begin(c, now)
		evicted, ok = l.Reserve(c, 6<<10, now)
		count(evicted)
		if !ok || !l.Complete(c) {
			refused++
		}
		l.Close(c)
	}
	if refused > 0 || evictedOrdinary > 0 {
		t.Errorf("%d ordinary requests were refused and %d evicted of %d", refused, evictedOrdinary, len(ordinary))
	}
}

// TestLedgerIsExact checks, under random calls, that the account equals the sum of its connections
// and stays within its bounds, and that no complete request is evicted.
func TestLedgerIsExact(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := WithSpare(2<<20, 20)
		l := New(b)
		var conns []*Connection
		now := cf.Millis(0)
		for range 2000 {
			now += cf.Millis(rng.IntN(200))
			var evicted []*Connection
			if len(conns) == 0 || rng.IntN(4) == 0 {
				var c *Connection
				var ok bool
				if c, evicted, ok = l.Open(false, now); ok {
					conns = append(conns, c)
				}
			} else {
				i := rng.IntN(len(conns))
				c := conns[i]
				switch rng.IntN(6) {
				case 0:
					l.Begin(c, now)
				case 1:
					evicted, _ = l.Reserve(c, rng.Int64N(600<<10), now)
				case 2:
					l.Received(c, rng.Int64N(100<<10))
				case 3:
					l.Complete(c)
				case 4:
					l.End(c, now)
				default:
					l.Close(c)
					conns = slices.Delete(conns, i, i+1)
				}
			}
			for _, e := range evicted {
				if e.stage == serving {
					t.Fatalf("seed %d: a request that was read was evicted", seed)
				}
				conns = slices.DeleteFunc(conns, func(c *Connection) bool { return c == e })
			}
			sum := int64(0)
			for _, c := range conns {
				sum += l.counted(c.bytes) + ConnectionBytes
			}
			bytes, n := l.Used()
			if bytes != sum || n != len(conns) || n > b.Connections {
				t.Fatalf("seed %d: %d bytes and %d connections, want %d and %d", seed, bytes, n, sum, len(conns))
			}
			if n > 1 && bytes > b.Bytes+2*b.Spare && !slices.ContainsFunc(conns, func(c *Connection) bool { return c.bytes+ConnectionBytes > b.Bytes }) {
				t.Fatalf("seed %d: %d bytes, the limit is %d and %d to spare", seed, bytes, b.Bytes, b.Spare)
			}
		}
	}
}

// TestHeadScanner checks where heads end, however their bytes arrive.
func TestHeadScanner(t *testing.T) {
	tests := []struct {
		name, head string
		limit      int64
		err        error
		lines      int64
	}{
		{"usual", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 100, nil, 3},
		{"line feeds only", "GET / HTTP/1.1\nHost: a\n\n", 100, nil, 3},
		{"folded line", "GET / HTTP/1.1\r\nA: b\r\n \r\n\r\n", 100, nil, 4},
		{"carriage returns in a line", "GET / HTTP/1.1\r\nA: b\r\r\n\r\r\n\r\n", 100, nil, 4},
		{"no headers", "GET / HTTP/1.1\r\n\r\n", 100, nil, 2},
		{"empty line before", "\r\nGET / HTTP/1.1\r\n\r\n", 100, nil, 2},
		{"empty lines before", strings.Repeat("\r\n", 3) + "GET / HTTP/1.1\r\n\r\n", 100, ErrNoRequestLine, 0},
		{"headers at the limit", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 25) + "\r\n", 100, nil, 27},
		{"headers over the limit", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 26) + "\r\n", 100, ErrHeadTooLarge, 0},
		{"request line over the limit", "GET /" + strings.Repeat("x", 100) + " HTTP/1.1\r\n\r\n", 100, ErrHeadTooLarge, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for step := 1; step <= len(tt.head); step++ {
				s := HeadScanner{Limit: tt.limit}
				end, err := scanInSteps(&s, tt.head+"body", step)
				if !errors.Is(err, tt.err) {
					t.Fatalf("in steps of %d: error %v, want %v", step, err, tt.err)
				}
				if tt.err == nil && (end != len(tt.head) || s.lines != tt.lines) {
					t.Fatalf("in steps of %d: %d bytes and %d lines, want %d and %d", step, end, s.lines, len(tt.head), tt.lines)
				}
			}
		})
	}
}

// scanInSteps scans a head that arrives in parts. It returns where it ends, or -1.
func scanInSteps(s *HeadScanner, head string, step int) (int, error) {
	for at := 0; at < len(head); at += step {
		part := head[at:min(at+step, len(head))]
		n, _, done, err := s.Scan([]byte(part))
		if err != nil {
			return -1, err
		}
		if done {
			return at + n, nil
		}
	}
	return -1, nil
}

// BenchmarkHeadScanner measures the scan of a usual head.
func BenchmarkHeadScanner(b *testing.B) {
	head := []byte("POST /x/1 HTTP/1.1\r\nHost: example\r\n" + strings.Repeat("Name-Of-A-Header: some value of it\r\n", 10) + "\r\n")
	b.SetBytes(int64(len(head)))
	for b.Loop() {
		s := HeadScanner{Limit: 16384}
		if _, _, done, _ := s.Scan(head); !done {
			b.Fatal("no end")
		}
	}
}
