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
	// firstEndlessSeed is the first seed in which targets send answers without end.
	firstEndlessSeed = 7000
	// maxMemory is the memory that the smallest instances have.
	maxMemory = 134 << 20
)

// answerEndlessly lets all targets of a kind send answers without end for a while. Shapes that are
// complete before the endless bytes are left out, since callers could not see them as a fault.
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

// recordMemory records the peak memory of the processes.
func (s *soak) recordMemory() {
	for _, e := range s.entries {
		s.mu.Lock()
		down := s.down[e]
		s.mu.Unlock()
		if down {
			continue // the process may be about to start
		}
		peak, err := peakMemory(e.cmd.Process.Pid)
		if err != nil {
			continue // the process has just ended, or is ending
		}
		s.mu.Lock()
		s.peakMemory = max(s.peakMemory, peak)
		s.mu.Unlock()
	}
}

// peakMemory returns the most resident memory that a process has had, in bytes.
func peakMemory(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, line, _ := strings.Cut(string(raw), "VmHWM:")
	var kb int64
	if _, err := fmt.Sscan(line, &kb); err != nil {
		return 0, err
	}
	return kb << 10, nil
}

// checkMemory checks that no process took more memory than the smallest instances have.
func (s *soak) checkMemory(t *testing.T) {
	t.Helper()
	if s.peakMemory == 0 {
		return // no seed from firstEndlessSeed on
	}
	t.Logf("peak memory of a process: %d MB", s.peakMemory>>20)
	if s.peakMemory > maxMemory {
		t.Errorf("peak memory of a process is %d bytes, over the limit of %d", s.peakMemory, maxMemory)
	}
}
