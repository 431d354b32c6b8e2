package cfquarantine

import (
	"encoding/binary"

	cf "currantford"
)

const (
	// servedCacheSize bounds the requests that are remembered as served, 64 KB: a popular
	// one is among the last 4,096 of its instance.
	servedCacheSize = 4096
	// servedCacheTTL is how long that counts: as long as a suspicion does.
	servedCacheTTL = suspectTTL
)

type (
	// servedCache remembers which requests were run to their end here lately. Of two that
	// meet in a slot the later one is remembered.
	servedCache struct{ slots []servedSlot }

	servedSlot struct {
		tag uint64
		at  cf.Millis
	}
)

func servedTag(k Key) uint64 {
	return binary.LittleEndian.Uint64(k.Content[:8]) ^ binary.LittleEndian.Uint64(k.Caller[:])
}

func (g *servedCache) add(k Key, now cf.Millis) {
	if g.slots == nil {
		g.slots = make([]servedSlot, servedCacheSize)
	}
	tag := servedTag(k)
	g.slots[tag%servedCacheSize] = servedSlot{tag, now}
}

func (g *servedCache) contains(k Key, now cf.Millis) bool {
	if g.slots == nil {
		return false
	}
	tag := servedTag(k)
	s := g.slots[tag%servedCacheSize]
	return s.tag == tag && s.at > 0 && now-s.at < servedCacheTTL
}
