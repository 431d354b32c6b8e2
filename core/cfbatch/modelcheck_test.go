package cfbatch_test

import (
	"fmt"
	"testing"
)

// listing is a small specification of how results are listed: two executors,
// each of which has finished all items, a log of chunks in the store, and one
// write that may take effect late. Items are bits. All of it is comparable, so
// that a state is explored once.
type listing struct {
	log   [4]uint8 // chunks in the store, zero where there is none
	known [2]int   // chunks that each executor has read
	late  struct {
		chunk int
		items uint8
	}
}

// rules are the protocol's two rules, which can be turned off to see that the
// exploration finds what breaks then.
type rules struct {
	createOnly bool // a chunk is written only if it does not exist
	readFirst  bool // an executor lists only what the chunks before do not hold
}

const exploredItems = 3

// exploreListing plays every schedule and returns the first state in which an
// item stands twice or a chunk has changed.
func exploreListing(r rules) (states int, broken string) {
	seen := map[listing]bool{}
	var play func(s listing)
	play = func(s listing) {
		if broken != "" || seen[s] {
			return
		}
		seen[s] = true
		if broken = s.check(); broken != "" {
			return
		}
		for who := range 2 {
			next := s
			next.known[who] = next.length()
			play(next)
			for items := uint8(1); items < 1<<exploredItems; items++ {
				if r.readFirst && items&s.held(s.known[who]) != 0 || s.known[who] == len(s.log) {
					continue
				}
				if now, ok := s.write(r, s.known[who], items, &broken); ok {
					now.known[who] = s.known[who] + 1
					play(now)
					lost := now
					lost.known[who] = s.known[who] // its answer was lost
					play(lost)
				}
				if s.late.items == 0 {
					later := s
					later.late.chunk, later.late.items = s.known[who], items
					play(later)
				}
			}
		}
		if s.late.items != 0 {
			arrived := s
			arrived.late.items = 0
			if now, ok := arrived.write(r, s.late.chunk, s.late.items, &broken); ok {
				play(now)
			} else {
				play(arrived)
			}
		}
	}
	play(listing{})
	return len(seen), broken
}

func (s *listing) length() int {
	n := 0
	for n < len(s.log) && s.log[n] != 0 {
		n++
	}
	return n
}

// held returns the items in the first n chunks.
func (s *listing) held(n int) (items uint8) {
	for _, c := range s.log[:n] {
		items |= c
	}
	return items
}

func (s listing) write(r rules, chunk int, items uint8, broken *string) (listing, bool) {
	if s.log[chunk] != 0 {
		if r.createOnly {
			return s, false
		}
		*broken = fmt.Sprintf("chunk %d changed from %03b to %03b", chunk, s.log[chunk], items)
	}
	s.log[chunk] = items
	return s, true
}

// check returns what is wrong with a state.
func (s *listing) check() string {
	seen := uint8(0)
	for i, c := range s.log {
		if c&seen != 0 {
			return fmt.Sprintf("chunk %d repeats items %03b", i, c&seen)
		}
		seen |= c
	}
	return ""
}

// Every schedule of two executors, with lost answers and a late write, lists
// each item once and changes no chunk.
func TestEveryScheduleListsOnce(t *testing.T) {
	states, broken := exploreListing(rules{createOnly: true, readFirst: true})
	t.Logf("%d states", states)
	if broken != "" {
		t.Error(broken)
	}
}

// Without either rule the exploration finds a schedule that breaks.
func TestListingNeedsBothRules(t *testing.T) {
	for name, r := range map[string]rules{
		"chunks may be overwritten": {readFirst: true},
		"chunks before not read":    {createOnly: true},
	} {
		if _, broken := exploreListing(r); broken == "" {
			t.Errorf("%s: nothing found", name)
		} else {
			t.Logf("%s: %s", name, broken)
		}
	}
}
