package cfhold_test

import (
	"testing"

	"currantford/core/cfhold"
)

// Guards against answers without end that together take an instance's memory, or leave sound
// ones no room. Load: 200 at a time, each read in steps of twice the size, and one that fails is
// asked for again; beside them reports of 12 KB, and one of 200 KB once the target has gone.
func TestAnswersWithoutEndLeaveRoomInThePool(t *testing.T) {
	p := cfhold.NewPool(cfhold.PoolBytes)
	endless := make([]int64, 200)
	most, sound := int64(0), 0
	for range 100 {
		for i, n := range endless {
			next := max(2*n, 4<<10)
			if p.Grow(n, next) {
				endless[i] = next
			} else {
				p.Free(n)
				endless[i] = 0
			}
			most = max(most, p.Used())
		}
		if p.Grow(0, 12<<10) {
			sound++
			p.Free(12 << 10)
		}
	}
	t.Logf("%d bytes at most, %d of 100 reports", most, sound)
	if most > cfhold.PoolBytes || sound != 100 {
		t.Errorf("%d bytes at most of %d, %d of 100 reports found room", most, cfhold.PoolBytes, sound)
	}
	for _, n := range endless {
		p.Free(n)
	}
	if p.Used() != 0 || !p.Grow(0, 200<<10) {
		t.Errorf("%d bytes are taken in the end", p.Used())
	}
}
