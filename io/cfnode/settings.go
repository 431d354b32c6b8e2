package cfnode

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	cf "currantford"
	"currantford/core/cfmember"
	"currantford/io/cfcoord"
)

type (
	// Settings are what a process of the deployment is told at its start.
	Settings struct {
		Entry  cf.EntryID       `json:"entry"`
		Domain cf.FailureDomain `json:"failure_domain"`
		Listen ListenSettings   `json:"listen"`
		Store  StoreSettings    `json:"store"`
		Bounds Bounds           `json:"bounds"`
		Memory MemorySettings   `json:"memory"`
		// Machine is what the instance runs on; what is not given counts as
		// one core, or as no bound.
		Machine MachineSettings `json:"machine"`
		// Control and Usage say what one instance at a time does on the platform;
		// nothing of it where they are not given.
		Control ControlSettings `json:"control"`
		Usage   UsageSettings   `json:"usage"`
		Scaling ScalingSettings `json:"scaling"`
		Policy  PolicySettings  `json:"policy"`
		Members MemberSettings  `json:"members"`
	}

	// MemberSettings say how the instances hear of each other.
	MemberSettings struct {
		// HubsFrom is from how many instances on some pass the coordinator's news on to
		// the others; cfmember.DefaultHubThreshold where it is not given.
		HubsFrom int `json:"hubs_from"`
	}

	// PolicySettings turn decisions off, to measure what they bring.
	PolicySettings struct {
		cfcoord.Policy
		// NoStoreRelay makes no call to the store through another instance.
		NoStoreRelay bool `json:"no_store_relay"`
		// NoPreparing gives batches to the coordinator by the store alone.
		NoPreparing bool `json:"no_preparing"`
		// DutyAnywhere leaves the coordinator's duty to whoever takes it.
		DutyAnywhere bool `json:"duty_anywhere"`
		// NoRunners leaves all streams of runs to the coordinator.
		NoRunners bool `json:"no_runners"`
		// NoQuarantine sends requests on that have crashed targets.
		NoQuarantine bool `json:"no_quarantine"`
		// NoAutoscale orders no engines.
		NoAutoscale bool `json:"no_autoscale"`
		// NoHoldBounds holds answers without a bound, and waits for slow callers.
		NoHoldBounds bool `json:"no_hold_bounds"`
		// NoAdmission sends plain requests on until targets refuse them.
		NoAdmission bool `json:"no_admission"`
		// IgnorePace chooses targets by past answers alone, whatever pace they say they have.
		IgnorePace bool `json:"ignore_pace"`
	}

	// ListenSettings holds the addresses to serve at, IP:PORT each. An empty one is
	// not served.
	ListenSettings struct {
		Callers   string `json:"callers"`
		Ready     string `json:"ready"`
		Directory string `json:"directory"`
		// Peers is for the other instances; Metrics for the scraper, and with Profiles
		// for the tool that reads profiles of the process.
		Peers    string `json:"peers"`
		Metrics  string `json:"metrics"`
		Profiles bool   `json:"profiles"`
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
		// KeyTrustMs is how long an instance that hears of no configuration goes on
		// with the keys that it knows, zero without bound. StrictKeys says that it
		// counts also while no other instance hears of one.
		KeyTrustMs cf.Millis `json:"key_trust_ms"`
		StrictKeys bool      `json:"strict_keys"`
	}

	// MachineSettings are what a process may use of its machine.
	MachineSettings struct {
		// CPUShare is its part of a core, of a speed of Cores.
		CPUShare float64 `json:"cpu_share"`
		Cores    float64 `json:"cores"`
		// LinkMbps is the rate of its link, in Mbit/s.
		LinkMbps float64 `json:"link_mbps"`
	}

	// ControlSettings say how the platform's API is reached.
	ControlSettings struct {
		Addr string `json:"addr"`
		// Duties names what it takes from this deployment; engines are ordered where
		// DutyAutoscale is among them.
		Duties []string `json:"duties"`
	}

	// ScalingSettings weigh what engines cost against what they earn, in one unit.
	ScalingSettings struct {
		// EnginePrice is the price of a firm engine in service for a second, where its
		// failure domain's price is one; GroupValue what a group of a step earns that is
		// whole in time.
		EnginePrice float64 `json:"engine_price"`
		GroupValue  float64 `json:"group_value"`
	}

	// UsageSettings say how use is reported.
	UsageSettings struct {
		// WindowS is the length of a window in seconds, zero where none is reported;
		// LateS is how long after its end a report is in time.
		WindowS float64 `json:"window_s"`
		LateS   float64 `json:"late_s"`
	}

	// MemorySettings bound the process's memory.
	MemorySettings struct {
		LimitMB int64 `json:"limit_mb"`
	}
)

// ReadSettings reads and checks a settings file. Errors name the JSON path of
// each bad field.
func ReadSettings(path string) (Settings, error) {
	s := Settings{Members: MemberSettings{HubsFrom: cfmember.DefaultHubThreshold}, Scaling: defaultScaling}
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
		{"control.addr", s.Control.Addr, s.Usage.WindowS > 0 || s.autoscales()},
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
	if s.Bounds.KeyTrustMs < 0 {
		bad("bounds.key_trust_ms", "must not be under 0")
	}
	if s.Members.HubsFrom < 2 {
		bad("members.hubs_from", "must be over 1")
	}
	if s.Usage.WindowS < 0 || s.Usage.LateS < 0 {
		bad("usage", "must not be under 0")
	}
	if s.Scaling.EnginePrice < 0 || s.Scaling.GroupValue < 0 {
		bad("scaling", "must not be under 0")
	}
	if s.Machine.CPUShare < 0 || s.Machine.Cores < 0 || s.Machine.LinkMbps < 0 {
		bad("machine", "must not be under 0")
	}
	if s.Store.ValueBytes <= 0 {
		bad("store.value_bytes", "must be over 0")
	}
	return errors.Join(errs...)
}

// DutyAutoscale is the duty of ordering engines.
const DutyAutoscale = "autoscale"

// defaultScaling is for where the operator gives no prices: a firm engine of a model costs
// as much in five minutes as a group of a step earns.
var defaultScaling = ScalingSettings{EnginePrice: 0.0055, GroupValue: 2}

// autoscales says whether this deployment orders engines.
func (s *Settings) autoscales() bool {
	return slices.Contains(s.Control.Duties, DutyAutoscale) && !s.Policy.NoAutoscale
}

func (u UsageSettings) length() cf.Millis { return cf.Millis(u.WindowS * 1000) }

func (u UsageSettings) late() cf.Millis { return cf.Millis(u.LateS * 1000) }

// mbpsPerCore is the rate of the link that a coordinator uses beside a whole core,
// in Mbit/s: 15 for the texts of a trainer at a tenth of a core.
const mbpsPerCore = 150

// Capacity is what the machine can carry, in cores.
func (m MachineSettings) Capacity() float64 {
	cores := 1.0
	if m.CPUShare > 0 {
		cores = m.CPUShare
	}
	if m.Cores > 0 {
		cores *= m.Cores
	}
	if m.LinkMbps > 0 {
		cores = min(cores, m.LinkMbps/mbpsPerCore)
	}
	return cores
}
