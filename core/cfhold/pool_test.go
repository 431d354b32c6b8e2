package cfhold_test

import (
	"testing"

	"currantford/core/cfhold"
)

// TestUnboundedAnswersLeaveRoomInThePool guards against endless answers that together take an
// instance's memory or leave none for others. 200 of them are read at a time, each in steps that
// double its size, and started again after failing. Meanwhile reports of 12 KB are read, and one of
// 200 KB after the endless answers have ended.
func TestUnboundedAnswersLeaveRoomInThePool(t *testing.T) {
	p := cfhold.NewPool(cfhold.PoolBytes)
	unbounded := make([]int64, 200)
	most, reports := int64(0), 0
	for range 100 {
		for i, n := range unbounded {
			next := max(2*n, 4<<10)
			if p.Grow(n, next) {
				unbounded[i] = next
			} else {
				p.Free(n)
				unbounded[i] = 0
			}
			most = max(most, p.Used())
		}
		if p.Grow(0, 12<<10) {
			reports++
			p.Free(12 << 10)
		}
	}
	t.Logf("at most %d bytes used, %d of 100 reports read", most, reports)
	if most > cfhold.PoolBytes || reports != 100 {
		t.Errorf("at most %d bytes of %d used, %d of 100 reports read", most, cfhold.PoolBytes, reports)
	}
	for _, n := range unbounded {
		p.Free(n)
	}
	if p.Used() != 0 || !p.Grow(0, 200<<10) {
		t.Errorf("%d bytes used at the end, or no memory for a report", p.Used())
	}
}
