package systemtest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"currantford/platform/standin"
)

// firstConfigSeed is the first seed in which the operator changes the configuration, which grows by
// hundreds of routes at a time, and in which entries of targets expire from the instance list.
const firstConfigSeed = 6000

// maxRoutes bounds the routes of the configuration: none are added once it has so many.
const maxRoutes = 3000

// changeConfig changes one route; half of the time it adds 100 to 700 routes first.
func (s *soak) changeConfig() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	routes := s.config["routes"].([]map[string]any)
	if added := s.duration(100, 700); s.intN(2) == 0 && len(routes) < maxRoutes {
		for range int(added.Milliseconds()) {
			name := fmt.Sprintf("%08x", s.intN(1<<31))
			routes = append(routes, map[string]any{
				"name": "r-" + name, "host": name + ".example", "path-prefix": "/" + name + "/", "kind": "safe", "timeout-ms": 800, "slo-ms": 150,
				"priority": 2, "service": plainService, "max-attempts": 2,
			})
		}
	}
	last := routes[len(routes)-1]
	last["timeout-ms"] = 2000 + s.intN(1000)
	s.config["routes"], s.config["version"] = routes, s.config["version"].(int)+1
	s.store.Put("config", "main", s.config)
}

// checkConfigs checks that each process's configurations only became newer, and that all processes
// have the newest one.
func (s *soak) checkConfigs(t *testing.T) {
	t.Helper()
	newest := s.config["version"].(int)
	for _, e := range s.entries {
		eventually(t, fmt.Sprintf("version %d at %s", newest, e.id), func() bool { return s.configVersion(t, e) == newest })
	}
}

// configVersion returns the version in force at an entry, according to its log.
func (s *soak) configVersion(t *testing.T, e *entry) (version int) {
	t.Helper()
	raw, err := os.ReadFile(e.logPath)
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(bytes.NewReader(raw))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct {
			Msg     string `json:"msg"`
			Version int    `json:"config_version"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue // a line that was truncated by a kill
		}
		switch line.Msg {
		case "started":
			version = 0
		case "config_in_force":
			if line.Version <= version {
				t.Errorf("%s: configuration version %d after %d", e.id, line.Version, version)
			}
			version = line.Version
		}
	}
	return version
}

// expireTargets takes targets out of the instance list and puts them back, for less time than a run
// takes.
func (s *soak) expireTargets() {
	targets := append(append([]*standin.Engine{}, s.engines...), s.plainTargets...)
	for range 3 {
		targets[s.intN(len(targets))].ExpireEntry(s.duration(20, 400))
	}
}
