package cfhold_test

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfhold"
)

// Guards against a target's answers without end that take the room of others' answers. Load:
// 150 of them at a time, each with 60 KB more each 0.1 s and asked for again once it is given up;
// beside them an answer of 300 KB each time from another target, which its caller has after two.
func TestAnswersWithoutEndLeaveRoomForOthers(t *testing.T) {
	for _, sure := range []bool{false, true} {
		l, u := cfhold.New(cfhold.BoundsFor(memory), cfhold.Policy{}), cfhold.NewSizeTracker()
		type endless struct {
			reservation *cfhold.Reservation
			read, room  int64
			waits       cf.Millis
		}
		under := make([]*endless, 150)
		var sound []*cfhold.Reservation
		served, waited := 0, 0
		for range 400 {
			if len(sound) == 2 {
				l.Close(sound[0])
				sound = sound[1:]
			}
			for i, e := range under {
				if e == nil {
					under[i] = &endless{reservation: l.Open(cfhold.Caller(fmt.Sprint("other", i)), cfhold.Answer)}
					continue
				}
				for e.read += 60 << 10; e.room < e.read; {
					more := max(e.room, 4<<10)
					unsure := !sure && u.MayBeUnbounded("endless", e.room+more)
					if unsure && l.TakeUnbounded(e.reservation, more) || !unsure && l.Take(e.reservation, more) == cfhold.Granted {
						e.room += more
						continue
					}
					e.read = e.room // no more is read while it waits
					if e.waits += 100; unsure || e.waits > cfhold.MaxWait {
						l.Close(e.reservation)
						under[i] = nil
					}
					break
				}
			}
			h := l.Open("caller", cfhold.Answer)
			if l.Take(h, 300<<10) != cfhold.Granted {
				l.Close(h)
				waited++
				continue
			}
			served++
			sound = append(sound, h)
			u.Observe("sound", 300<<10)
		}
		t.Logf("decision off %t: %d served, %d found no room", sure, served, waited)
		if (waited > 0) != sure {
			t.Errorf("decision off %t: %d of %d answers found no room", sure, waited, served+waited)
		}
	}
}

// Guards against a service whose answers do not tell their length, and are larger than is usual:
// those that fit are read, and from then on larger ones too.
func TestLargeAnswersWithoutALengthAreRead(t *testing.T) {
	l, u := cfhold.New(cfhold.BoundsFor(memory), cfhold.Policy{}), cfhold.NewSizeTracker()
	read := func(size int64) (unsure bool) {
		h := l.Open("caller", cfhold.Answer)
		defer l.Close(h)
		for n := int64(4 << 10); n < size; n *= 2 {
			if u.MayBeUnbounded("s", 2*n) {
				unsure = true
				if !l.TakeUnbounded(h, n) {
					t.Errorf("an answer of %d bytes finds no room beyond %d", size, n)
					return
				}
			} else if l.Take(h, n) != cfhold.Granted {
				t.Errorf("an answer of %d bytes has to wait at %d", size, n)
				return
			}
		}
		u.Observe("s", size)
		return unsure
	}
	if !read(1<<20) || !read(8<<20) {
		t.Error("an answer over what is usual does not count as unsure")
	}
	if read(8 << 20) {
		t.Error("a usual answer counts as unsure")
	}
	if l.Held() != 0 {
		t.Errorf("%d bytes are held in the end", l.Held())
	}
}
