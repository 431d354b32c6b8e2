package cfbatch_test

import (
	"fmt"
	"testing"
)

// modelState is a state of a small model of how results are listed: two coordinators that have
// finished all items, the sequence of chunks in the store, and one write that may take effect late.
// Sets of items are bit masks. The type is comparable, so that each state is visited once.
type modelState struct {
	log        [4]uint8 // items of each chunk in the store; zero if the chunk does not exist
	chunksRead [2]int   // number of chunks that each coordinator has read
	delayed    struct {
		chunk int
		items uint8
	}
}

// protocolRules are the two rules of the protocol. Turning one off shows that the exploration finds
// the violation that follows.
type protocolRules struct {
	createOnly bool // a chunk is written only if it does not exist
	readFirst  bool // a coordinator lists only items that the earlier chunks lack
}

const modelItems = 3

// exploreStates visits every reachable state. It returns the number of states and a description of
// the first violation: an item that is listed twice, or a chunk that changed.
func exploreStates(r protocolRules) (states int, violation string) {
	seen := map[modelState]bool{}
	var visit func(s modelState)
	visit = func(s modelState) {
		if violation != "" || seen[s] {
			return
		}
		seen[s] = true
		if violation = s.check(); violation != "" {
			return
		}
		for coordinator := range 2 {
			next := s
			next.chunksRead[coordinator] = next.chunkCount()
			visit(next)
			for items := uint8(1); items < 1<<modelItems; items++ {
				if r.readFirst && items&s.itemsBefore(s.chunksRead[coordinator]) != 0 || s.chunksRead[coordinator] == len(s.log) {
					continue
				}
				if now, ok := s.write(r, s.chunksRead[coordinator], items, &violation); ok {
					now.chunksRead[coordinator] = s.chunksRead[coordinator] + 1
					visit(now)
					lost := now
					lost.chunksRead[coordinator] = s.chunksRead[coordinator] // the store's response was lost
					visit(lost)
				}
				if s.delayed.items == 0 {
					later := s
					later.delayed.chunk, later.delayed.items = s.chunksRead[coordinator], items
					visit(later)
				}
			}
		}
		if s.delayed.items != 0 {
			arrived := s
			arrived.delayed.items = 0
			if now, ok := arrived.write(r, s.delayed.chunk, s.delayed.items, &violation); ok {
				visit(now)
			} else {
				visit(arrived)
			}
		}
	}
	visit(modelState{})
	return len(seen), violation
}

func (s *modelState) chunkCount() int {
	n := 0
	for n < len(s.log) && s.log[n] != 0 {
		n++
	}
	return n
}

// itemsBefore returns the items in the first n chunks.
func (s *modelState) itemsBefore(n int) (items uint8) {
	for _, c := range s.log[:n] {
		items |= c
	}
	return items
}

func (s modelState) write(r protocolRules, chunk int, items uint8, violation *string) (modelState, bool) {
	if s.log[chunk] != 0 {
		if r.createOnly {
			return s, false
		}
		*violation = fmt.Sprintf("chunk %d changed from %03b to %03b", chunk, s.log[chunk], items)
	}
	s.log[chunk] = items
	return s, true
}

// check describes what is wrong with a state, or returns "".
func (s *modelState) check() string {
	seen := uint8(0)
	for i, c := range s.log {
		if c&seen != 0 {
			return fmt.Sprintf("chunk %d repeats items %03b", i, c&seen)
		}
		seen |= c
	}
	return ""
}

// Every schedule of two coordinators, with lost responses and a late write, lists each item once
// and changes no chunk.
func TestEveryScheduleListsItemsOnce(t *testing.T) {
	states, violation := exploreStates(protocolRules{createOnly: true, readFirst: true})
	t.Logf("%d states", states)
	if violation != "" {
		t.Error(violation)
	}
}

// Without either rule, the exploration finds a violation.
func TestListingNeedsBothRules(t *testing.T) {
	for name, r := range map[string]protocolRules{
		"chunks may be overwritten":   {readFirst: true},
		"earlier chunks are not read": {createOnly: true},
	} {
		if _, violation := exploreStates(r); violation == "" {
			t.Errorf("%s: no violation found", name)
		} else {
			t.Logf("%s: %s", name, violation)
		}
	}
}
