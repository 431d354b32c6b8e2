package systemtest

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// weakCores are shares of a core with which no instance holds all streams itself.
var weakCores = []float64{0.005, 0.005, 0.005, 0.005}

// streamHosts returns the other entries that have held streams, as the coordinator's log
// shows it.
func (s *deployment) streamHosts() []*entry {
	c := s.coordinator()
	raw, err := os.ReadFile(c.logPath)
	if err != nil {
		s.t.Fatal(err)
	}
	var out []*entry
	for _, e := range s.entries {
		if e != c && strings.Contains(string(raw), `"via":"`+e.id+`"`) {
			out = append(out, e)
		}
	}
	return out
}

// awaitCoordinatorMembership waits until the coordinator knows every entry.
func (s *deployment) awaitCoordinatorMembership() {
	s.t.Helper()
	eventually(s.t, "all entries in the coordinator's list", func() bool {
		resp, err := http.Get("http://" + s.coordinator().directoryAddr + "/currantford/resolve?name=" + host)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var resolved struct {
			Addrs []string `json:"addrs"`
		}
		return json.NewDecoder(resp.Body).Decode(&resolved) == nil && len(resolved.Addrs) == len(s.entries)
	})
}

// Symptom: a step is never whole, or a text has a gap, where weak instances divide
// the streams of its runs.
// Sequence: an instance that holds streams is killed in mid-step, another frozen for
// longer than its coordinator waits.
// Cause guarded against: runs that end with their holder, or go on at two engines.
func TestStreamsSurviveLossOfStreamHosts(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 4, engines: 4, eventInterval: 30 * time.Millisecond, cores: weakCores})
	s.awaitCoordinatorMembership()
	b := newStep("b1", "m0", 8, 4, 60)
	s.submitUntilAccepted(b)
	eventually(t, "runs elsewhere", func() bool { return len(s.engineRuns()) >= 16 && len(s.streamHosts()) > 0 })
	time.Sleep(500 * time.Millisecond)
	hosts := s.streamHosts()
	hosts[0].kill()
	if len(hosts) > 1 {
		hosts[1].signal(syscall.SIGSTOP)
		defer hosts[1].signal(syscall.SIGCONT)
	}
	s.readAll(b)
}

// Symptom: after a crash of the coordinator the texts whose streams others held begin
// anew, or run twice.
// Sequence: weak instances hold the streams; the coordinator is killed in mid-text.
func TestHostedStreamsSurviveCoordinatorCrash(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 4, engines: 4, eventInterval: 20 * time.Millisecond, cores: weakCores})
	s.awaitCoordinatorMembership()
	b := newStep("b1", "m0", 1, 4, 150)
	s.submitUntilAccepted(b)
	eventually(t, "runs elsewhere", func() bool { return len(s.engineRuns()) == 4 && len(s.streamHosts()) > 0 })
	time.Sleep(1500 * time.Millisecond)
	s.coordinator().kill()
	s.readAll(b)
	s.checkResumed(20)
}
