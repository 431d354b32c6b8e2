package cfnode

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/rotisserie/eris"

	cf "currantford"
)

type (
	// Settings are what a process of the deployment is told at its start.
	Settings struct {
		Entry  cf.EntryID       `json:"entry"`
		Domain cf.FailureDomain `json:"failure_domain"`
		Listen Listen           `json:"listen"`
		Store  StoreSettings    `json:"store"`
		Bounds Bounds           `json:"bounds"`
		Memory MemorySettings   `json:"memory"`
		Policy PolicySettings   `json:"policy"`
	}

	// PolicySettings turn decisions off, to measure what they bring.
	PolicySettings struct {
		// KeepSlowRuns leaves runs on engines that have turned slow.
		KeepSlowRuns bool `json:"keep_slow_runs"`
		// NoTextCopies keeps no copies of texts at a neighbour.
		NoTextCopies bool `json:"no_text_copies"`
		// NoTextStore keeps no copies of long texts in the store.
		NoTextStore bool `json:"no_text_store"`
		// NoStoreRelay makes no call to the store through another instance.
		NoStoreRelay bool `json:"no_store_relay"`
	}

	// Listen holds the addresses to serve at, IP:PORT each. An empty one is
	// not served.
	Listen struct {
		Callers   string `json:"callers"`
		Ready     string `json:"ready"`
		Directory string `json:"directory"`
		// Peers is for the other instances; Metrics for the scraper.
		Peers   string `json:"peers"`
		Metrics string `json:"metrics"`
	}

	// StoreSettings say how the platform's store is reached.
	StoreSettings struct {
		Addr       string `json:"addr"`
		ValueBytes int64  `json:"value_bytes"`
	}

	// Bounds are the deployment's promises that the product must know.
	Bounds struct {
		// GraceS is how long a stop may take, in seconds, before the process
		// is killed.
		GraceS float64 `json:"grace_s"`
		// KeepResultsS is how long, in seconds after its acceptance, an ended
		// batch can still be read.
		KeepResultsS float64 `json:"keep_results_s"`
		// LeaseMs is how long two holders' orders must lie apart.
		LeaseMs cf.Millis `json:"lease_ms"`
	}

	// MemorySettings bound the process's memory.
	MemorySettings struct {
		LimitMB int64 `json:"limit_mb"`
	}
)

// ReadSettings reads and checks a settings file. Errors name the JSON path of
// each bad field.
func ReadSettings(path string) (Settings, error) {
	var s Settings
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, eris.Wrap(err, "read settings")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, eris.Wrapf(cf.ErrInvalid, "%s: %v", path, err)
	}
	return s, s.Check()
}

// Check returns an error for each bad field.
func (s *Settings) Check() error {
	var errs []error
	bad := func(path, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%w: $.%s: %s", cf.ErrInvalid, path, fmt.Sprintf(format, args...)))
	}
	if s.Entry == "" {
		bad("entry", "is missing")
	}
	addrs := []struct {
		path, value string
		required    bool
	}{
		{"listen.callers", s.Listen.Callers, false},
		{"listen.ready", s.Listen.Ready, false},
		{"listen.directory", s.Listen.Directory, false},
		{"listen.peers", s.Listen.Peers, true},
		{"listen.metrics", s.Listen.Metrics, false},
		{"store.addr", s.Store.Addr, true},
	}
	for _, a := range addrs {
		if a.value == "" && !a.required {
			continue
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			bad(a.path, "%q is not HOST:PORT", a.value)
		}
	}
	if s.Bounds.GraceS <= 0 {
		bad("bounds.grace_s", "must be over 0")
	}
	if s.Bounds.KeepResultsS <= 0 {
		bad("bounds.keep_results_s", "must be over 0")
	}
	if s.Bounds.LeaseMs <= 0 {
		bad("bounds.lease_ms", "must be over 0")
	}
	if s.Store.ValueBytes <= 0 {
		bad("store.value_bytes", "must be over 0")
	}
	return errors.Join(errs...)
}
