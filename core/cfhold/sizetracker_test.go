package cfhold_test

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfhold"
)

// TestUnboundedAnswersLeaveRoomForOthers guards against endless answers of a target taking the
// memory for other answers. 150 of them are read at a time; each grows by 60 KB every 0.1 s and is
// started again after it is given up. Meanwhile answers of 300 KB arrive from another target, each
// of which its caller has read two steps later.
func TestUnboundedAnswersLeaveRoomForOthers(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		l, sizes := cfhold.New(cfhold.BoundsFor(memory), cfhold.Policy{}), cfhold.NewSizeTracker()
		type unboundedAnswer struct {
			reservation *cfhold.Reservation
			read, room  int64
			waits       cf.Millis
		}
		inProgress := make([]*unboundedAnswer, 150)
		var bounded []*cfhold.Reservation
		served, refused := 0, 0
		for range 400 {
			if len(bounded) == 2 {
				l.Close(bounded[0])
				bounded = bounded[1:]
			}
			for i, e := range inProgress {
				if e == nil {
					inProgress[i] = &unboundedAnswer{reservation: l.Open(cfhold.Caller(fmt.Sprint("other", i)), cfhold.Answer)}
					continue
				}
				for e.read += 60 << 10; e.room < e.read; {
					more := max(e.room, 4<<10)
					unbounded := !disabled && sizes.MayBeUnbounded("endless", e.room+more)
					if unbounded && l.TakeUnbounded(e.reservation, more) || !unbounded && l.Take(e.reservation, more) == cfhold.Granted {
						e.room += more
						continue
					}
					e.read = e.room // no more is read while it waits
					if e.waits += 100; unbounded || e.waits > cfhold.MaxWait {
						l.Close(e.reservation)
						inProgress[i] = nil
					}
					break
				}
			}
			r := l.Open("caller", cfhold.Answer)
			if l.Take(r, 300<<10) != cfhold.Granted {
				l.Close(r)
				refused++
				continue
			}
			served++
			bounded = append(bounded, r)
			sizes.Observe("sound", 300<<10)
		}
		t.Logf("detection disabled %t: %d answers served, %d refused", disabled, served, refused)
		if (refused > 0) != disabled {
			t.Errorf("detection disabled %t: %d of %d answers refused", disabled, refused, served+refused)
		}
	}
}

// TestLargeAnswersWithoutALengthAreRead guards against rejecting the answers of a service that
// declare no length and are larger than usual: they are read if they fit, and from then on answers
// of that size count as usual.
func TestLargeAnswersWithoutALengthAreRead(t *testing.T) {
	l, sizes := cfhold.New(cfhold.BoundsFor(memory), cfhold.Policy{}), cfhold.NewSizeTracker()
	read := func(size int64) (unbounded bool) {
		r := l.Open("caller", cfhold.Answer)
		defer l.Close(r)
		for n := int64(4 << 10); n < size; n *= 2 {
			if sizes.MayBeUnbounded("s", 2*n) {
				unbounded = true
				if !l.TakeUnbounded(r, n) {
					t.Errorf("an answer of %d bytes was refused memory beyond %d bytes", size, n)
					return
				}
			} else if l.Take(r, n) != cfhold.Granted {
				t.Errorf("an answer of %d bytes has to wait at %d bytes", size, n)
				return
			}
		}
		sizes.Observe("s", size)
		return unbounded
	}
	if !read(1<<20) || !read(8<<20) {
		t.Error("an answer larger than usual does not count as possibly unbounded")
	}
	if read(8 << 20) {
		t.Error("an answer of usual size counts as possibly unbounded")
	}
	if l.Held() != 0 {
		t.Errorf("%d bytes are reserved at the end", l.Held())
	}
}
