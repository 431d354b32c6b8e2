package cfnode

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// TestProfilesAreOffByDefault checks that access to the metrics does not include access to the
// process's memory unless the settings allow it.
func TestProfilesAreOffByDefault(t *testing.T) {
	for _, on := range []bool{false, true} {
		w := httptest.NewRecorder()
		metricsHandler(prometheus.NewRegistry(), on).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/debug/pprof/heap?debug=1", nil))
		if got := strings.Contains(w.Body.String(), "heap profile"); got != on {
			t.Errorf("profiles %v: a heap profile is served: %v", on, got)
		}
	}
}
