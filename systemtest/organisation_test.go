package systemtest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"currantford/platform/standin"
)

const (
	keyA, keyA2, keyB = "secret-key-a1", "secret-key-a2", "secret-key-b1"
	orgA, orgB        = "coop-a", "coop-b"
)

// organisation returns an organisation as it is written in a configuration.
func organisation(name string, priority int, keys ...string) map[string]any {
	return map[string]any{"name": name, "api-keys": keys, "priority": priority}
}

// addOrganisations adds two organisations to a configuration, with public routes for single
// requests and for batches, and a route for streams.
func addOrganisations(c map[string]any) {
	c["tenants"] = []map[string]any{organisation(orgA, 1, keyA, keyA2), organisation(orgB, 2, keyB)}
	c["routes"] = append(c["routes"].([]map[string]any),
		map[string]any{"name": "r-open", "host": host, "path-prefix": "/open/", "kind": "safe", "timeout-ms": 2000, "slo-ms": 150,
			"priority": 2, "service": plainService, "max-attempts": 2, "public": true},
		map[string]any{"name": "r-open-batch", "host": host, "path-prefix": batchPrefix + "open/", "kind": "rollout", "timeout-ms": 10000, "slo-ms": 400,
			"priority": 1, "service": engineService, "max-attempts": 3, "max-wait-s": 40.0, "batch-slo-ms": 7500, "can-resume": true, "public": true},
		map[string]any{"name": "r-chat", "host": host, "path-prefix": "/chat/", "kind": "stream", "timeout-ms": 4000, "slo-ms": 400,
			"priority": 2, "service": engineService, "max-attempts": 3, "can-resume": true},
	)
}

func startWithOrganisations(t *testing.T, o options) *deployment {
	t.Helper()
	o.config = addOrganisations
	s := startDeployment(t, o)
	t.Cleanup(s.checkKeysNotLeaked)
	return s
}

// checkKeysNotLeaked checks that the callers' keys are stored only in the operator's configuration
// and do not occur in logs, and that no request reached a target with a key.
func (s *deployment) checkKeysNotLeaked() {
	for _, key := range []string{keyA, keyA2, keyB} {
		for _, e := range s.entries {
			raw, err := os.ReadFile(e.logPath)
			if err != nil {
				s.t.Error(err)
			}
			if i := strings.Index(string(raw), key); i >= 0 {
				s.t.Errorf("API key in the log of %s: %.200s", e.id, raw[max(i-100, 0):])
			}
		}
		if in := s.store.ObjectsContaining(key); !slices.Equal(in, []string{"config/main"}) {
			s.t.Errorf("API key stored in %v, want only config/main", in)
		}
	}
	for _, e := range slices.Concat(s.plainTargets, s.engines) {
		for _, r := range e.Runs() {
			if r.HasAPIKey {
				s.t.Errorf("request %s reached %s with an API key", r.ID, e.ID)
			}
		}
	}
}

// reconfigure changes the configuration and waits until the new version is in force at all entry
// instances.
func (s *deployment) reconfigure(change func(c map[string]any)) {
	s.t.Helper()
	change(s.config)
	s.config["version"] = s.config["version"].(int) + 1
	s.store.Put("config", "main", s.config)
	for _, e := range s.entries {
		eventually(s.t, "new configuration at "+e.id, func() bool {
			raw, _ := os.ReadFile(e.logPath)
			return strings.Contains(string(raw), fmt.Sprintf(`"config_in_force","component":"entry","id":%q,"config_version":%d`, e.id, s.config["version"]))
		})
	}
}

// organisationsOf returns the organisations named in the runs of a request.
func organisationsOf(es []*standin.Engine, id string) []string {
	out := []string{}
	for _, e := range es {
		for _, r := range e.Runs() {
			if r.ID == id {
				out = append(out, r.Organisation)
			}
		}
	}
	return out
}

// TestRequestsCarryTheirOrganisation guards against a request that runs for an organisation other
// than its caller's, that runs without a key, or that carries the key to a target.
//
// Each kind of caller sends to each instance, on routes that require a key and on public ones; some
// callers name an organisation themselves.
func TestRequestsCarryTheirOrganisation(t *testing.T) {
	t.Parallel()
	s := startWithOrganisations(t, options{entries: 2, engines: 1, plainTargets: 2})
	n := 0
	for _, c := range []struct {
		name   string
		path   string
		header []string
		status int
		org    string
	}{
		{"a key", plainPrefix, []string{"X-Api-Key", keyA}, http.StatusOK, orgA},
		{"another of its keys", plainPrefix, []string{"x-api-key", keyA2}, http.StatusOK, orgA},
		{"a key, and the name of another organisation", plainPrefix, []string{"X-Api-Key", keyB, "Currantford-Tenant", orgA}, http.StatusOK, orgB},
		{"no key", plainPrefix, nil, http.StatusUnauthorized, ""},
		{"no key, but an organisation's name", plainPrefix, []string{"Currantford-Tenant", orgA}, http.StatusUnauthorized, ""},
		{"an unknown key", plainPrefix, []string{"X-Api-Key", "secret-key-a"}, http.StatusUnauthorized, ""},
		{"an empty key", plainPrefix, []string{"X-Api-Key", ""}, http.StatusUnauthorized, ""},
		{"two keys", plainPrefix, []string{"X-Api-Key", keyA, "X-Api-Key", keyB}, http.StatusUnauthorized, ""},
		{"two keys in one header", plainPrefix, []string{"X-Api-Key", keyA + "," + keyB}, http.StatusUnauthorized, ""},
		{"at most once, a key", "/bids/", []string{"X-Api-Key", keyB}, http.StatusOK, orgB},
		{"at most once, no key", "/bids/", nil, http.StatusUnauthorized, ""},
		{"public, no key", "/open/", nil, http.StatusOK, ""},
		{"public, an organisation's name", "/open/", []string{"Currantford-Tenant", orgA}, http.StatusOK, ""},
		{"public, a key", "/open/", []string{"X-Api-Key", keyA}, http.StatusOK, orgA},
		{"public, an unknown key", "/open/", []string{"X-Api-Key", "x"}, http.StatusOK, ""},
		{"no route, a key", "/nowhere/", []string{"X-Api-Key", keyA}, http.StatusNotFound, ""},
	} {
		for _, e := range s.entries {
			n++
			id := fmt.Sprint("r", n)
			r, err := e.do(http.MethodPost, c.path+"x", id, []byte("reading"), c.header...)
			if err != nil || r.status != c.status {
				t.Errorf("%s at %s: status %d, want %d (%v)", c.name, e.id, r.status, c.status, err)
			}
			want := []string{}
			if c.status == http.StatusOK {
				want = []string{c.org}
			}
			if got := organisationsOf(s.plainTargets, id); !slices.Equal(got, want) {
				t.Errorf("%s at %s: ran for %q, want %q", c.name, e.id, got, want)
			}
		}
	}
}

// TestAllPathsCarryTheOrganisation checks that every path by which a request reaches a target
// carries the organisation found from its key, and no key: first attempts, retries at other
// targets, hedged requests, streams and resumed streams, items, resumed items and items taken over
// by another coordinator, items whose streams other instances hold, and reward calls.
func TestAllPathsCarryTheOrganisation(t *testing.T) {
	t.Parallel()
	key := []string{"X-Api-Key", keyA, "Currantford-Tenant", orgB}
	stream := append([]string{"Currantford-Deadline-Ms", "3500", "Currantford-Model", "m0", "Currantford-Tokens-Used", "100,580"}, key...)
	b := newStep("b1", "m0", 4, 4, 20)
	b.key = keyA
	for i := range b.Items { // an organisation or key in an item's own headers must be ignored
		b.Items[i].Headers["currantford-tenant"], b.Items[i].Headers["X-API-KEY"] = orgB, keyA2
	}
	for _, c := range []struct {
		name    string
		options options
		inject  func(t *testing.T, s *deployment)
		want    string // the expected organisation of each run
		minRuns int    // the minimum number of runs
	}{
		{"first attempt", options{entries: 1, engines: 1, plainTargets: 1}, func(_ *testing.T, s *deployment) {
			_, _ = s.entries[0].do(http.MethodPost, plainPrefix+"x", "r", []byte("x"), key...)
		}, orgA, 1},
		{"retries at other targets", options{entries: 1, engines: 1, plainTargets: 3}, func(_ *testing.T, s *deployment) {
			s.setPlainFaults(standin.EngineFaults{WrongRequestID: true})
			_, _ = s.entries[0].do(http.MethodPost, plainPrefix+"x", "r", []byte("x"), key...)
		}, orgA, 2},
		{"hedges", options{entries: 1, engines: 1, plainTargets: 3}, func(_ *testing.T, s *deployment) {
			s.setPlainFaults(standin.EngineFaults{Unresponsive: true})
			_, _ = s.entries[0].do(http.MethodPost, plainPrefix+"x", "r", []byte("x"), append([]string{"Currantford-Deadline-Ms", "1500"}, key...)...)
		}, orgA, 2},
		{"resumed streams", options{entries: 1, engines: 3, plainTargets: 1}, func(_ *testing.T, s *deployment) {
			for _, e := range s.engines {
				e.SetFaults(standin.EngineFaults{AbortAfterEvents: 4})
			}
			_, _ = s.entries[0].do(http.MethodPost, "/chat/x", "r", []byte("x"), stream...)
		}, orgA, 3},
		{"resumed items", options{entries: 2, engines: 3, plainTargets: 1}, func(_ *testing.T, s *deployment) {
			for _, e := range s.engines {
				e.SetFaults(standin.EngineFaults{AbortAfterEvents: 12})
			}
			s.submitUntilAccepted(b)
			s.readAll(b)
		}, orgA, 17},
		{"items at other instances", options{entries: 4, engines: 4, plainTargets: 1, cores: weakCores, eventInterval: 20 * time.Millisecond}, func(t *testing.T, s *deployment) {
			s.awaitCoordinatorMembership()
			s.submitUntilAccepted(b)
			s.readAll(b)
			if len(s.streamHosts()) == 0 {
				t.Error("no other instance held a stream")
			}
		}, orgA, 16},
		{"items after a change of the coordinator", options{entries: 3, engines: 2, plainTargets: 1, eventInterval: 30 * time.Millisecond}, func(_ *testing.T, s *deployment) {
			s.submitUntilAccepted(b)
			s.awaitRuns(b)
			c := s.awaitCoordinator("")
			c.kill()
			s.entries = slices.DeleteFunc(s.entries, func(e *entry) bool { return e == c })
			s.readAll(b)
		}, orgA, 17},
		{"reward calls", options{entries: 1, engines: 2, plainTargets: 2}, func(_ *testing.T, s *deployment) {
			b := withRewards(newStep("b2", "m0", 2, 4, 3))
			b.key = keyA
			s.submitUntilAccepted(b)
			s.readAll(b)
		}, "", 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startWithOrganisations(t, c.options)
			c.inject(t, s)
			runs := 0
			for _, e := range slices.Concat(s.engines, s.plainTargets) {
				for _, r := range e.Runs() {
					want := orgA
					if strings.HasPrefix(r.ID, "reward-") {
						want = "" // reward calls are made by the deployment itself and have no organisation
					}
					runs++
					if r.Organisation != want {
						t.Errorf("%s ran at %s for %q, want %q", r.ID, e.ID, r.Organisation, want)
					}
				}
			}
			if runs < c.minRuns {
				t.Errorf("%d runs, want %d or more", runs, c.minRuns)
			}
		})
	}
}

// TestBatchesAreIsolatedByOrganisation guards against an organisation that reads, deletes or learns
// of another organisation's batch, or gets the text of another organisation's item.
//
// Two organisations choose the same ids. Each asks for the other's batch and items, and a caller
// without a key asks for those of both.
func TestBatchesAreIsolatedByOrganisation(t *testing.T) {
	t.Parallel()
	s := startWithOrganisations(t, options{entries: 2, engines: 2, eventInterval: 15 * time.Millisecond})
	batchA, batchB := newStep("same", "m0", 2, 4, 40), newStep("same", "m0", 2, 4, 6)
	batchA.key, batchB.key = keyA, keyB
	s.submitUntilAccepted(batchA)
	for _, e := range s.entries {
		for _, c := range []struct {
			key    string
			status int
		}{{keyA, http.StatusOK}, {keyA2, http.StatusOK}, {keyB, http.StatusNotFound}, {"", http.StatusUnauthorized}, {"unknown", http.StatusUnauthorized}} {
			for _, path := range []string{"/currantford/lots/same?after=0", "/currantford/items/same?id=" + batchA.Items[0].ID} {
				r, err := e.do(http.MethodGet, path, "", nil, keyHeader(c.key)...)
				noBody := c.status == http.StatusOK && r.status == http.StatusNotFound && strings.Contains(path, "items")
				if err != nil || r.status != c.status && !noBody {
					t.Errorf("%s with key %q at %s: status %d, want %d", path, c.key, e.id, r.status, c.status)
				}
			}
			if c.status == http.StatusOK {
				continue
			}
			if r, err := e.do(http.MethodDelete, "/currantford/lots/same", "", nil, keyHeader(c.key)...); err != nil || r.status != c.status {
				t.Errorf("delete with key %q at %s: status %d, want %d", c.key, e.id, r.status, c.status)
			}
			if r, err := e.do(http.MethodGet, "/currantford/lots/none", "", nil, keyHeader(c.key)...); err != nil || r.status != c.status {
				t.Errorf("unknown batch with key %q at %s: status %d, want %d as for another organisation's batch", c.key, e.id, r.status, c.status)
			}
		}
	}
	s.submitUntilAccepted(batchB)
	s.readAll(batchB) // readAll also checks the length of each text, which differs between the two batches
	s.readAll(batchA)
	for _, it := range batchA.Items {
		if got := organisationsOf(s.engines, it.ID); !slices.Contains(got, orgA) || !slices.Contains(got, orgB) {
			t.Errorf("item %s ran for %q, want for both", it.ID, got)
		}
	}
	if r, err := s.entries[0].do(http.MethodDelete, "/currantford/lots/same", "", nil, keyHeader(keyB)...); err != nil || r.status != http.StatusOK {
		t.Errorf("delete of an own batch: status %d, want 200", r.status)
	}
	if _, r, err := s.entries[1].readResults("same", 0, 0, keyHeader(keyA)...); err != nil || r.status != http.StatusOK {
		t.Errorf("read of the other organisation's batch after it: status %d, want 200", r.status)
	}
}

// TestPublicBatches checks that a batch on a public route is read without a key, by its id alone.
func TestPublicBatches(t *testing.T) {
	t.Parallel()
	s := startWithOrganisations(t, options{entries: 1, engines: 1})
	b := newStep("open-1", "m0", 1, 2, 3)
	raw := fmt.Sprintf(`{"step":1,"model":"m0","min-version":1,"target-groups":1,"items":[{"id":"i1","path":%q,"headers":{"Currantford-Model":"m0","Currantford-Tokens-Used":"100,58"},"body":"eA==","tokens":158,"group":"g"}]}`, batchPrefix+"open/x")
	if r, err := s.entries[0].do(http.MethodPost, batchPrefix+"open/x", b.id, []byte(raw)); err != nil || r.status != http.StatusAccepted {
		t.Fatalf("public batch: status %d, want 202", r.status)
	}
	eventually(t, "result of the public batch", func() bool {
		p, _, err := s.entries[0].readResults(b.id, 0, 300*time.Millisecond)
		return err == nil && len(p.Results) == 1 && p.Results[0].ID == "i1"
	})
	if got := organisationsOf(s.engines, "i1"); !slices.Equal(got, []string{""}) {
		t.Errorf("the item ran for %q, want no organisation", got)
	}
}

// TestKeyChangesTakeEffect guards against a caller that can still use a revoked key, or that is
// refused with a new one.
//
// On a persistent connection, configurations revoke the key, assign it to another organisation, and
// restore it; an organisation loses all its keys and gets them back; one configuration is rejected.
func TestKeyChangesTakeEffect(t *testing.T) {
	t.Parallel()
	s := startWithOrganisations(t, options{entries: 2, engines: 2, plainTargets: 1, eventInterval: 20 * time.Millisecond})
	b := newStep("b1", "m0", 4, 4, 60)
	b.key = keyA
	s.submitUntilAccepted(b)
	set := func(organisations ...map[string]any) {
		s.reconfigure(func(c map[string]any) { c["tenants"] = organisations })
	}
	var conns []*keepAliveConn
	for _, e := range s.entries {
		conns = append(conns, dialKeepAlive(t, e))
	}
	n := 0
	expect := func(what, key string, status int, org string) {
		t.Helper()
		for i, c := range conns {
			n++
			id := fmt.Sprintf("k%d", n)
			if got := c.post(plainPrefix+"x", id, key); got != status {
				t.Errorf("%s at %s: status %d, want %d", what, s.entries[i].id, got, status)
			}
			if got := organisationsOf(s.plainTargets, id); status == http.StatusOK && !slices.Equal(got, []string{org}) || status != http.StatusOK && len(got) > 0 {
				t.Errorf("%s at %s: ran for %q, want %q", what, s.entries[i].id, got, org)
			}
		}
	}
	expect("initial configuration", keyA, http.StatusOK, orgA)
	set(organisation(orgA, 1, keyA2), organisation(orgB, 2, keyB))
	expect("revoked key", keyA, http.StatusUnauthorized, "")
	expect("other key of the organisation", keyA2, http.StatusOK, orgA)
	set(organisation(orgA, 1, keyA2), organisation(orgB, 2, keyB, keyA))
	expect("key of another organisation now", keyA, http.StatusOK, orgB)
	set(organisation(orgA, 1), organisation(orgB, 2, keyB))
	expect("organisation without keys", keyA2, http.StatusUnauthorized, "")
	s.store.Put("config", "main", map[string]any{"version": 50, "tenants": []map[string]any{organisation(orgA, 1, keyA), organisation(orgB, 1, keyA)}})
	time.Sleep(time.Second) // the configuration is rejected as a whole
	expect("rejected configuration", keyB, http.StatusOK, orgB)
	s.config["version"] = 60
	set(organisation(orgA, 1, keyA, keyA2), organisation(orgB, 2, keyB))
	expect("back", keyA, http.StatusOK, orgA)
	// A batch continues after its key was revoked.
	s.readAll(b)
	for _, it := range b.Items {
		if got := slices.Compact(organisationsOf(s.engines, it.ID)); !slices.Equal(got, []string{orgA}) {
			t.Errorf("item %s ran for %q, want %q", it.ID, got, orgA)
		}
	}
}

// keepAliveConn is a persistent connection for many requests.
type keepAliveConn struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func dialKeepAlive(t *testing.T, e *entry) *keepAliveConn {
	t.Helper()
	conn, err := net.Dial("tcp", e.callerAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &keepAliveConn{t, conn, bufio.NewReader(conn)}
}

func (k *keepAliveConn) post(path, id, key string) int {
	k.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+host+path, strings.NewReader("reading"))
	if err != nil {
		k.t.Fatal(err)
	}
	req.Header.Set("Currantford-Request-Id", id)
	req.Header.Set("Currantford-Deadline-Ms", "1500")
	req.Header.Set("X-Api-Key", key)
	if err := req.Write(k.conn); err != nil {
		k.t.Fatal(err)
	}
	resp, err := http.ReadResponse(k.r, req)
	if err != nil {
		k.t.Fatal(err)
	}
	defer resp.Body.Close()
	buf := make([]byte, 4096)
	for err == nil {
		_, err = resp.Body.Read(buf)
	}
	return resp.StatusCode
}

// TestPartitionedInstanceDoesNotRejectKeys guards against an instance without a connection to the
// store that permanently refuses callers with a key that was added meanwhile, or that accepts a
// revoked key forever.
//
// The only instance loses its link to the store. It must answer 503 for a key that it does not
// know, accept a known key only for the time set by key_trust_ms, and answer 401 again once the
// link has recovered.
func TestPartitionedInstanceDoesNotRejectKeys(t *testing.T) {
	t.Parallel()
	s := startWithOrganisations(t, options{entries: 1, engines: 1, plainTargets: 1, links: true, bounds: map[string]any{"key_trust_ms": 4000}})
	e := s.entries[0]
	e.storeLink.setFaults(linkFaults{HoldUp: true, HoldDown: true})
	status := func(key string) int {
		r, err := e.do(http.MethodPost, plainPrefix+"x", "r", []byte("x"), keyHeader(key)...)
		if err != nil {
			t.Fatal(err)
		}
		return r.status
	}
	eventually(t, "doubt", func() bool { return status("new") == http.StatusServiceUnavailable })
	if got := status(keyA); got != http.StatusOK {
		t.Errorf("known key, right after that: status %d, want 200", got)
	}
	eventually(t, "503 for a known key", func() bool { return status(keyA) == http.StatusServiceUnavailable })
	if got := status("new"); got != http.StatusServiceUnavailable {
		t.Errorf("unknown key: status %d, want 503", got)
	}
	e.storeLink.setFaults(linkFaults{})
	eventually(t, "200 after the recovery of the link", func() bool { return status(keyA) == http.StatusOK })
	if got := status("new"); got != http.StatusUnauthorized {
		t.Errorf("unknown key after the recovery of the link: status %d, want 401", got)
	}
}
