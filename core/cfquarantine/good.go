package cfquarantine

import (
	"encoding/binary"

	cf "currantford"
)

const (
	// goodSlots bounds the requests that are remembered as served, 64 KB: a popular
	// one is among the last 4,096 of its instance.
	goodSlots = 4096
	// goodFor is how long that counts: as long as a suspicion does.
	goodFor = suspectFor
)

type (
	// good remembers which requests were run to their end here lately. Of two that
	// meet in a slot the later one is remembered.
	good struct{ slots []goodSlot }

	goodSlot struct {
		tag uint64
		at  cf.Millis
	}
)

func tagOf(k Key) uint64 {
	return binary.LittleEndian.Uint64(k.Content[:8]) ^ binary.LittleEndian.Uint64(k.Caller[:])
}

func (g *good) note(k Key, now cf.Millis) {
	if g.slots == nil {
		g.slots = make([]goodSlot, goodSlots)
	}
	tag := tagOf(k)
	g.slots[tag%goodSlots] = goodSlot{tag, now}
}

func (g *good) knows(k Key, now cf.Millis) bool {
	if g.slots == nil {
		return false
	}
	tag := tagOf(k)
	s := g.slots[tag%goodSlots]
	return s.tag == tag && s.at > 0 && now-s.at < goodFor
}
