package cfquarantine

import (
	"encoding/binary"

	cf "currantford"
)

const (
	// servedCacheSize bounds the number of requests that are remembered as served, which take 64
	// KB: a popular request is among the last 4,096 of its instance.
	servedCacheSize = 4096
	// servedCacheTTL is how long a completion is remembered: as long as the strikes against a
	// suspect.
	servedCacheTTL = suspectTTL
)

type (
	// servedCache remembers which requests completed here recently. If two requests share a slot,
	// the later one is remembered.
	servedCache struct{ slots []servedSlot }

	servedSlot struct {
		tag uint64
		at  cf.Millis
	}
)

func servedTag(k Key) uint64 {
	return binary.LittleEndian.Uint64(k.Content[:8]) ^ binary.LittleEndian.Uint64(k.Caller[:])
}

func (c *servedCache) add(k Key, now cf.Millis) {
	if c.slots == nil {
		c.slots = make([]servedSlot, servedCacheSize)
	}
	tag := servedTag(k)
	c.slots[tag%servedCacheSize] = servedSlot{tag, now}
}

func (c *servedCache) contains(k Key, now cf.Millis) bool {
	if c.slots == nil {
		return false
	}
	tag := servedTag(k)
	s := c.slots[tag%servedCacheSize]
	return s.tag == tag && s.at > 0 && now-s.at < servedCacheTTL
}
