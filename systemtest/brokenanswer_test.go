package systemtest

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"currantford/platform/standin"
)

// addRaw adds a target with answers of its own to a service. The entry also has the given fields.
func (s *deployment) addRaw(id, service string, answer func(*http.Request) (string, standin.RawEnd), fields map[string]any) {
	s.t.Helper()
	raw, err := standin.NewRawServer(answer)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(raw.Close)
	entry := map[string]any{
		"service": service, "addr": raw.Addr(), "zone": "domain-a", "version": "v1", "slots": slots, "state": "ready", "cold-left-ms": 0, "seq": 1,
	}
	maps.Copy(entry, fields)
	s.store.Put("servers", id, entry)
}

// addRawTarget adds a target with answers of its own to the plain service.
func (s *deployment) addRawTarget(id, answer string, end standin.RawEnd) {
	s.t.Helper()
	s.addRaw(id, plainService, func(*http.Request) (string, standin.RawEnd) { return answer, end }, nil)
}

// addRawEngine adds a target with answers of its own to the service of the model engines. It answers
// reports and orders like the others.
func (s *deployment) addRawEngine(id, model, answer string, end standin.RawEnd) (requests *atomic.Int64) {
	s.t.Helper()
	requests = &atomic.Int64{}
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	report := fmt.Sprintf(`{"phase":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0,"num-waiting":0,"num-running":0,"kv-used":0,"kv-total":90000,"handles":0}`, model)
	s.addRaw(id, engineService, func(r *http.Request) (string, standin.RawEnd) {
		if strings.HasPrefix(r.URL.Path, "/currantford/") {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", ok, len(report), report), standin.RawKeep
		}
		requests.Add(1)
		return answer, end
	}, map[string]any{"phase": "both", "models": []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}})
	return requests
}

// TestCutHeadsReachNoCaller guards against streams and items that end as complete, with no text or a part
// of it, because the connection to a target ended within the head of its answer.
func TestCutHeadsReachNoCaller(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nCurrantford-Request-Id: {id}\r\nCurrantford-Response-Stamp: s\r\n"
	for name, c := range map[string]struct {
		answer string
		end    standin.RawEnd
	}{
		"after the status line": {"HTTP/1.1 200 OK\r\n", standin.RawHalfClose},
		"in a name":             {head + "Content-Le", standin.RawHalfClose},
		"in a length":           {head + "Content-Type: text/event-stream\r\nContent-Length: 1", standin.RawHalfClose},
		"before the blank line": {head + "Content-Type: text/event-stream\r\n", standin.RawHalfClose},
		"in the blank line":     {head + "Content-Type: text/event-stream\r\n\r", standin.RawReset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startDeployment(t, options{entries: 2, engines: 3, eventInterval: time.Millisecond, config: withStreams})
			var cut []*atomic.Int64
			for i := range 2 {
				cut = append(cut, s.addRawEngine(fmt.Sprintf("i-raw-%d", i), "m0", c.answer, c.end))
			}
			statuses := map[int]int{}
			for i := range 40 {
				id := fmt.Sprintf("s-%d", i)
				r, complete, err := s.entries[i%2].stream(id, 4)
				statuses[r.status]++
				if err != nil || !complete && r.status != http.StatusBadGateway && r.status != http.StatusServiceUnavailable {
					t.Errorf("%s: status %d, %.40q, error %v; want the whole stream or a failure", id, r.status, r.body, err)
				}
				if r.status == http.StatusServiceUnavailable && countRuns(s.engines, id) > 0 {
					t.Errorf("%s: refused, and ran", id)
				}
			}
			streams := cut[0].Load() + cut[1].Load()
			b := newStep("b1", "m0", 12, 4, 4)
			s.submitUntilAccepted(b)
			s.readAll(b)
			items := cut[0].Load() + cut[1].Load() - streams
			t.Logf("streams by status: %v; %d streams and %d runs of items had an answer that was cut", statuses, streams, items)
			if streams == 0 || items == 0 {
				t.Error("want streams and items at targets whose answers are cut")
			}
		})
	}
}

// TestBrokenAnswersReachNoCaller guards against broken answers of some targets that callers get as
// successes. One of the targets is sound.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	const head = "Currantford-Request-Id: {id}\r\nCurrantford-Response-Stamp: s\r\n"
	for name, c := range map[string]struct {
		answer string
		end    standin.RawEnd
	}{
		"reset during the upload": {"HTTP/1.1 200 OK\r\n" + head + "\r\npart of the answer", standin.RawReset},
		"cut in the status line":  {"HTTP/1.1 200", standin.RawHalfClose},
		"cut before the end":      {"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n", standin.RawHalfClose},
		"cut during the upload":   {"HTTP/1.1 200 OK\r\n" + head, standin.RawReset},
		"blank before the colon":  {"HTTP/1.1 200 OK\r\n" + head + "Content-Length : 4\r\n\r\npart of the answer", standin.RawHalfClose},
		"blank in a name":         {"HTTP/1.1 200 OK\r\n" + head + "X Y: z\r\nContent-Length: 4\r\n\r\nbody", standin.RawKeep},
		"control byte in a name":  {"HTTP/1.1 200 OK\r\n" + head + "X\x01Y: z\r\nContent-Length: 4\r\n\r\nbody", standin.RawKeep},
		"blank in a trailer":      {"HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: z\r\n\r\n", standin.RawKeep},
		"chunks of HTTP/1.0":      {"HTTP/1.0 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", standin.RawHalfClose},
		"status 000":              {"HTTP/1.1 000 None\r\n" + head + "Content-Length: 4\r\n\r\nbody", standin.RawKeep},
		"status 600":              {"HTTP/1.1 600 None\r\n" + head + "Content-Length: 4\r\n\r\nbody", standin.RawKeep},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startDeployment(t, options{entries: 1, engines: 1, plainTargets: 1, config: func(c map[string]any) {
				c["limits"].(map[string]any)["max-body-bytes"] = 16 << 20
			}})
			for i := range 6 {
				s.addRawTarget(fmt.Sprintf("i-raw-%d", i), c.answer, c.end)
			}
			upload := "x"
			if c.end == standin.RawReset {
				upload = strings.Repeat("x", 8<<20) // more than the buffers of a connection hold
			}
			statuses := map[string]int{}
			for i := range 40 {
				for _, path := range []string{plainPrefix, "/bids/"} {
					id := fmt.Sprintf("r-%s-%d", strings.Trim(path, "/"), i)
					r := s.entries[0].post(path+"a", id, upload)
					statuses[fmt.Sprint(path, r.status)]++
					sound := r.status == http.StatusOK && string(r.body) == "echo "+upload
					if !sound && r.status != http.StatusBadGateway && r.status != http.StatusServiceUnavailable {
						t.Errorf("%s: status %d, %d bytes %.20q; want the answer of the sound target, or a failure", id, r.status, len(r.body), r.body)
					}
					if r.status == http.StatusServiceUnavailable && countRuns(s.plainTargets, id) > 0 {
						t.Errorf("%s: refused, and ran", id)
					}
				}
			}
			t.Logf("answers by route and status: %v", statuses)
			if statuses["/bids/502"] == 0 {
				t.Error("no request reached a target with broken answers")
			}
		})
	}
}
