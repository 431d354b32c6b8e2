package cfnode

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	cf "currantford"
	"currantford/core/cfintake"
	"currantford/core/cfmember"
	"currantford/io/cfcoord"
)

type (
	// Settings configures a process of the deployment at its start.
	Settings struct {
		Entry  cf.EntryID       `json:"entry"`
		Domain cf.FailureDomain `json:"failure_domain"`
		Listen ListenSettings   `json:"listen"`
		Store  StoreSettings    `json:"store"`
		Bounds Bounds           `json:"bounds"`
		Memory MemorySettings   `json:"memory"`
		Intake IntakeSettings   `json:"intake"`
		// Machine describes the machine of the instance. A missing value counts as one core, or as
		// no limit.
		Machine MachineSettings `json:"machine"`
		// Control, Usage and Scaling configure what one instance at a time does through the
		// platform's API; nothing is done if they are missing.
		Control ControlSettings `json:"control"`
		Usage   UsageSettings   `json:"usage"`
		Scaling ScalingSettings `json:"scaling"`
		Policy  PolicySettings  `json:"policy"`
		Members MemberSettings  `json:"members"`
	}

	// MemberSettings configures how the instances learn of each other.
	MemberSettings struct {
		// HubThreshold is the number of instances from which hubs relay the coordinator's updates
		// to the other instances; the default is cfmember.DefaultHubThreshold.
		HubThreshold int `json:"hubs_from"`
	}

	// PolicySettings disables single decisions, to measure their effect.
	PolicySettings struct {
		cfcoord.Policy
		// NoStoreRelay disables store calls through other instances.
		NoStoreRelay bool `json:"no_store_relay"`
		// NoPreparing submits batches to the coordinator through the store only.
		NoPreparing bool `json:"no_preparing"`
		// DutyAnywhere lets an instance of any capacity keep the coordinator's duty.
		DutyAnywhere bool `json:"duty_anywhere"`
		// NoRunners makes the coordinator run all streams itself.
		NoRunners bool `json:"no_runners"`
		// NoQuarantine forwards requests that have crashed targets.
		NoQuarantine bool `json:"no_quarantine"`
		// NoAutoscale disables orders of engines.
		NoAutoscale bool `json:"no_autoscale"`
		// NoHoldBounds buffers answers without a limit and waits for slow callers.
		NoHoldBounds bool `json:"no_hold_bounds"`
		// NoIntakeBounds accepts requests and connections whatever they take. The size of a head
		// stays limited.
		NoIntakeBounds bool `json:"no_intake_bounds"`
		// NoAdmission forwards plain requests until targets refuse them.
		NoAdmission bool `json:"no_admission"`
		// IgnorePace chooses targets by past answers only and ignores the pace that targets report.
		IgnorePace bool `json:"ignore_pace"`
	}

	// ListenSettings holds the addresses to listen on, IP:PORT each. An empty one is not served.
	ListenSettings struct {
		Callers   string `json:"callers"`
		Ready     string `json:"ready"`
		Directory string `json:"directory"`
		// Peers serves the other instances. Metrics serves the metrics scraper and, if Profiles is
		// set, tools that read profiles of the process.
		Peers    string `json:"peers"`
		Metrics  string `json:"metrics"`
		Profiles bool   `json:"profiles"`
	}

	// StoreSettings configures the connection to the platform's store.
	StoreSettings struct {
		Addr       string `json:"addr"`
		ValueBytes int64  `json:"value_bytes"`
	}

	// Bounds holds the guarantees of the deployment that the process must respect.
	Bounds struct {
		// GraceS is how long a stop may take, in seconds, before the process is killed.
		GraceS float64 `json:"grace_s"`
		// KeepResultsS is how long after its acceptance, in seconds, a completed batch can still be
		// read.
		KeepResultsS float64 `json:"keep_results_s"`
		// LeaseMs is the minimum time between the orders of two holders.
		LeaseMs cf.Millis `json:"lease_ms"`
		// HeartbeatMs is the interval at which targets renew their entries of the instance list; by
		// default 1200.
		HeartbeatMs cf.Millis `json:"heartbeat_ms"`
		// KeyTrustMs is how long an instance without configuration updates continues to accept the
		// keys that it knows; zero means without a limit. StrictKeys applies this limit also while
		// no other instance has updates either.
		KeyTrustMs cf.Millis `json:"key_trust_ms"`
		StrictKeys bool      `json:"strict_keys"`
	}

	// MachineSettings describes what a process may use of its machine.
	MachineSettings struct {
		// CPUShare is the fraction of a core that the process may use. Cores is the speed of that
		// core, as a multiple of the core in which capacities are expressed.
		CPUShare float64 `json:"cpu_share"`
		Cores    float64 `json:"cores"`
		// LinkMbps is the rate of the machine's link in Mbit/s.
		LinkMbps float64 `json:"link_mbps"`
		// MaxFDs is the number of descriptors that the process may have open; by default it is the
		// limit that the operating system sets.
		MaxFDs int `json:"max_fds"`
	}

	// IntakeSettings limits what requests take until they have been read and answered. A zero
	// selects the default.
	IntakeSettings struct {
		// Connections is the number of connections that may be open together at the addresses on
		// which the instance listens; by default half of machine.max_fds.
		Connections int `json:"connections"`
		// MemoryMB is the memory that requests and their connections may take, in MB; by default a
		// quarter of memory.limit_mb. Small requests may take a quarter of it in addition.
		MemoryMB int64 `json:"memory_mb"`
		// HeadTimeoutMs is how long the head of a request may take, BodyTimeoutMs how long its body
		// may take if the request and its route have no deadline.
		HeadTimeoutMs cf.Millis `json:"head_timeout_ms"`
		BodyTimeoutMs cf.Millis `json:"body_timeout_ms"`
	}

	// ControlSettings configures the connection to the platform's API.
	ControlSettings struct {
		Addr string `json:"addr"`
		// Duties lists what the platform lets this deployment do; engines are ordered if it
		// contains DutyAutoscale.
		Duties []string `json:"duties"`
	}

	// ScalingSettings weighs the cost of engines against what they earn, in one unit.
	ScalingSettings struct {
		// EnginePrice is the price per second of a firm engine (one that the platform does not
		// reclaim) in service in a failure domain with a price of one. GroupValue is what a group
		// of a step earns that is complete in time.
		EnginePrice float64 `json:"engine_price"`
		GroupValue  float64 `json:"group_value"`
	}

	// UsageSettings configures usage reports.
	UsageSettings struct {
		// WindowS is the length of a reporting window in seconds; zero disables reports. LateS is
		// how long after the end of its window, in seconds, a report is still in time.
		WindowS float64 `json:"window_s"`
		LateS   float64 `json:"late_s"`
	}

	// MemorySettings limits the memory of the process.
	MemorySettings struct {
		LimitMB int64 `json:"limit_mb"`
	}
)

// ReadSettings reads and checks a settings file. Its errors name the JSON path of each invalid
// field.
func ReadSettings(path string) (Settings, error) {
	s := Settings{Members: MemberSettings{HubThreshold: cfmember.DefaultHubThreshold}, Scaling: defaultScaling}
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

// Check returns an error for each invalid field.
func (s *Settings) Check() error {
	var errs []error
	addError := func(path, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%w: $.%s: %s", cf.ErrInvalid, path, fmt.Sprintf(format, args...)))
	}
	if s.Entry == "" {
		addError("entry", "is missing")
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
			addError(a.path, "%q is not HOST:PORT", a.value)
		}
	}
	if s.Bounds.GraceS <= 0 {
		addError("bounds.grace_s", "must be over 0")
	}
	if s.Bounds.KeepResultsS <= 0 {
		addError("bounds.keep_results_s", "must be over 0")
	}
	if s.Bounds.LeaseMs <= 0 {
		addError("bounds.lease_ms", "must be over 0")
	}
	if s.Bounds.HeartbeatMs < 0 {
		addError("bounds.heartbeat_ms", "must not be under 0")
	}
	if s.Bounds.KeyTrustMs < 0 {
		addError("bounds.key_trust_ms", "must not be under 0")
	}
	if s.Members.HubThreshold < 2 {
		addError("members.hubs_from", "must be over 1")
	}
	if s.Usage.WindowS < 0 || s.Usage.LateS < 0 {
		addError("usage", "must not be under 0")
	}
	if s.Scaling.EnginePrice < 0 || s.Scaling.GroupValue < 0 {
		addError("scaling", "must not be under 0")
	}
	if s.Machine.CPUShare < 0 || s.Machine.Cores < 0 || s.Machine.LinkMbps < 0 {
		addError("machine", "must not be under 0")
	}
	if s.Machine.MaxFDs < 0 || s.Machine.MaxFDs > 0 && s.Machine.MaxFDs < minFDs {
		addError("machine.max_fds", "must be 0 or at least %d", minFDs)
	}
	if s.Intake.Connections < 0 || s.Machine.MaxFDs > 0 && s.Intake.Connections > s.Machine.MaxFDs-ownFDs {
		addError("intake.connections", "must not be under 0, and must leave %d of machine.max_fds", ownFDs)
	}
	if s.Intake.MemoryMB < 0 || s.Memory.LimitMB > 0 && s.Intake.MemoryMB > s.Memory.LimitMB/2 {
		addError("intake.memory_mb", "must not be under 0, nor over half of memory.limit_mb")
	}
	if s.Intake.HeadTimeoutMs < 0 || s.Intake.BodyTimeoutMs < 0 {
		addError("intake", "timeouts must not be under 0")
	}
	if s.Store.ValueBytes <= 0 {
		addError("store.value_bytes", "must be over 0")
	}
	return errors.Join(errs...)
}

// DutyAutoscale is the name of the duty of ordering engines.
const DutyAutoscale = "autoscale"

// defaultScaling applies if the operator gives no prices: a firm engine costs as much in five
// minutes as a group of a step earns.
var defaultScaling = ScalingSettings{EnginePrice: 0.0055, GroupValue: 2}

const (
	// minFDs is the least number of descriptors with which an instance can work.
	minFDs = 128
	// ownFDs is the number of descriptors for calls to targets, other instances and the store that
	// connections of callers must leave in any case.
	ownFDs = 64
	// connectionsDivisor divides the descriptors of the process: connections of callers may take
	// that part.
	connectionsDivisor = 2
)

// intakeBounds returns the limits for requests and connections.
func (s *Settings) intakeBounds() cfintake.Bounds {
	if s.Policy.NoIntakeBounds {
		return cfintake.Bounds{}
	}
	connections := s.Intake.Connections
	if connections == 0 {
		connections = maxFDs(s.Machine.MaxFDs) / connectionsDivisor
	}
	if s.Intake.MemoryMB > 0 {
		return cfintake.WithSpare(s.Intake.MemoryMB<<20, connections)
	}
	return cfintake.BoundsFor(s.Memory.LimitMB<<20, connections)
}

// batchMemory returns the memory limit in bytes that applies to batches, zero if there is none.
func (s *Settings) batchMemory() int64 {
	if s.Policy.NoIntakeBounds {
		return 0
	}
	return s.Memory.LimitMB << 20
}

// maxFDs returns the number of descriptors that the process may have open, zero if it is unknown.
func maxFDs(setting int) int {
	if setting > 0 {
		return setting
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// autoscales reports whether this deployment orders engines.
func (s *Settings) autoscales() bool {
	return slices.Contains(s.Control.Duties, DutyAutoscale) && !s.Policy.NoAutoscale
}

func (u UsageSettings) window() cf.Millis { return cf.Millis(u.WindowS * 1000) }

func (u UsageSettings) maxDelay() cf.Millis { return cf.Millis(u.LateS * 1000) }

// mbpsPerCore is the link rate that a coordinator uses along with a whole core, in Mbit/s. The
// texts of a trainer take 15 Mbit/s at a tenth of a core.
const mbpsPerCore = 150

// Capacity returns the capacity of the machine, in cores.
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
