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

// weakCores are CPU shares so low that no instance can hold all streams of a step itself.
var weakCores = []float64{0.005, 0.005, 0.005, 0.005}

// streamHosts returns the entry instances, other than the coordinator, that have held streams
// according to the coordinator's log.
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

// awaitCoordinatorMembership waits until the coordinator lists all entry instances.
func (s *deployment) awaitCoordinatorMembership() {
	s.t.Helper()
	eventually(s.t, "complete membership at the coordinator", func() bool {
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

// TestStreamsSurviveLossOfStreamHosts guards against a step that never completes, or a text with a
// gap, where instances of low capacity share the streams of its runs.
//
// During a step one instance that holds streams is killed, and another is frozen for longer than
// the coordinator waits. The fault occurs if runs end with the instance that holds their streams,
// or continue at two engines.
func TestStreamsSurviveLossOfStreamHosts(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 4, engines: 4, eventInterval: 30 * time.Millisecond, cores: weakCores})
	s.awaitCoordinatorMembership()
	b := newStep("b1", "m0", 8, 4, 60)
	s.submitUntilAccepted(b)
	eventually(t, "runs with streams at other entries", func() bool { return len(s.engineRuns()) >= 16 && len(s.streamHosts()) > 0 })
	time.Sleep(500 * time.Millisecond)
	hosts := s.streamHosts()
	hosts[0].kill()
	if len(hosts) > 1 {
		hosts[1].signal(syscall.SIGSTOP)
		defer hosts[1].signal(syscall.SIGCONT)
	}
	s.readAll(b)
}

// TestHostedStreamsSurviveCoordinatorCrash guards against texts whose streams are held by other
// instances and that start again, or run twice, after a crash of the coordinator.
//
// Instances of low capacity hold the streams; the coordinator is killed while the texts are
// generated.
func TestHostedStreamsSurviveCoordinatorCrash(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 4, engines: 4, eventInterval: 20 * time.Millisecond, cores: weakCores})
	s.awaitCoordinatorMembership()
	b := newStep("b1", "m0", 1, 4, 150)
	s.submitUntilAccepted(b)
	eventually(t, "runs with streams at other entries", func() bool { return len(s.engineRuns()) == 4 && len(s.streamHosts()) > 0 })
	time.Sleep(1500 * time.Millisecond)
	s.coordinator().kill()
	s.readAll(b)
	s.checkResumed(20)
}
