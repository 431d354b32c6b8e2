package systemtest

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"currantford/platform/standin"
)

const (
	// firstEndlessSeed is the first seed in which targets answer without end.
	firstEndlessSeed = 7000
	// maxMemory is what the smallest instances have.
	maxMemory = 134 << 20
)

// answerEndlessly lets all targets of a kind answer so for a while. Answers that are whole
// before the bytes without end are left out: they are no fault that a caller could see.
func (s *soak) answerEndlessly() {
	shapes := []standin.EndlessShape{
		standin.EndlessStatus, standin.EndlessHeader, standin.EndlessHeaders, standin.EndlessInformational, standin.EndlessBody,
		standin.EndlessChunks, standin.EndlessLine, standin.EndlessEvent, standin.EndlessComments, standin.EndlessUnnumbered,
	}
	targets := s.plainTargets
	if s.intN(2) == 0 {
		targets = s.engines
	}
	shape := shapes[s.intN(len(shapes))]
	for _, e := range targets {
		e.SetFaults(standin.EngineFaults{Endless: shape})
	}
	time.Sleep(s.duration(500, 2000))
	for _, e := range targets {
		e.SetFaults(standin.EngineFaults{})
	}
	s.recordMemory()
}

// recordMemory looks at what the processes have taken at most.
func (s *soak) recordMemory() {
	for _, e := range s.entries {
		s.mu.Lock()
		down := s.down[e]
		s.mu.Unlock()
		if down {
			continue // it may be about to start
		}
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
		if err != nil {
			continue // it has just ended
		}
		_, line, _ := strings.Cut(string(raw), "VmHWM:")
		var kb int64
		if _, err := fmt.Sscan(line, &kb); err != nil {
			continue // it is ending
		}
		s.mu.Lock()
		s.peakMemory = max(s.peakMemory, kb<<10)
		s.mu.Unlock()
	}
}

// checkMemory checks that no process took more than the smallest instances have.
func (s *soak) checkMemory(t *testing.T) {
	t.Helper()
	if s.peakMemory == 0 {
		return // no seed of endlessSeeds
	}
	t.Logf("%d MB were taken by a process at most", s.peakMemory>>20)
	if s.peakMemory > maxMemory {
		t.Errorf("a process took %d bytes, over %d", s.peakMemory, maxMemory)
	}
}
