// Package cfconfig reads the settings of a site: one JSON document, which is decoded into typed
// settings, completed with defaults and validated. Each validation error names its JSON path
// ("$.engines[2].addr: ...").
//
// All processes of a site read the same document. Each finds its own settings in it by its id: an
// entry instance reads its address and failure domain from its element of "entries", an engine
// stand-in from "engines", and so on. Without a document, an embedded default site is used, a small
// site on the loopback interface.
//
// Usage:
//
//	site, err := cfconfig.Load("site.json") // "" for the embedded default
//	var faults cfconfig.Faults
//	if errors.As(err, &faults) {
//		for _, f := range faults { fmt.Println(f) }
//	}
package cfconfig

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/rotisserie/eris"

	cf "currantford"
	"currantford/older/cfroute"
	"currantford/testbed/cfengine"
)

// The roles of an engine, by the requests that it accepts.
const (
	RoleLive    = "live"
	RoleRollout = "rollout"
	RoleShared  = "shared"
)

//go:embed defaults/site.json
var defaultSite []byte

type (
	// Site holds all settings of a site.
	Site struct {
		Platform Platform         `json:"platform"`
		Entries  []Entry          `json:"entries"`
		Engines  []Engine         `json:"engines"`
		Services []Service        `json:"services"`
		Scorer   Scorer           `json:"scorer"`
		Pools    []Pool           `json:"pools"`
		Trainers []Trainer        `json:"trainers"`
		Routing  cfroute.Settings `json:"routing"`
		Lease    Lease            `json:"lease"`
		// EntriesTTL is how long callers may cache the response of GET /v1/entries.
		EntriesTTL cf.Millis `json:"entries_ttl_ms"`
		// LoadPoll is the interval at which an entry reads the engines' load reports.
		LoadPoll cf.Millis `json:"load_poll_ms"`
		// Drain is how long a stopping process still accepts work while the instance list shows it
		// as "leaving". The instance list is delayed, so callers and entries need this time to
		// notice.
		Drain cf.Millis `json:"drain_ms"`
	}

	// Platform is the address of the object API, and the delay with which its stand-in shows
	// changes of the instance list.
	Platform struct {
		Addr        string    `json:"addr"`
		InstanceLag cf.Millis `json:"instance_lag_ms"`
	}

	// Entry is an entry instance.
	Entry struct {
		ID     cf.EntryID       `json:"id"`
		Addr   string           `json:"addr"`
		Domain cf.FailureDomain `json:"failure_domain"`
	}

	// Engine is a model engine.
	Engine struct {
		ID           cf.EngineID      `json:"id"`
		Addr         string           `json:"addr"`
		Domain       cf.FailureDomain `json:"failure_domain"`
		Role         string           `json:"role"`
		Model        cfengine.Model   `json:"model"`
		LoadLag      cf.Millis        `json:"load_lag_ms"`
		SwapDelay    cf.Millis        `json:"swap_ms"`
		CheckFencing bool             `json:"check_fencing"`
	}

	// Service is a target other than a model engine, such as bids or log readings.
	Service struct {
		Name string `json:"name"`
		Addr string `json:"addr"`
		// Idempotent allows retries. Calls of other services are sent at most once.
		Idempotent bool      `json:"idempotent"`
		Timeout    cf.Millis `json:"timeout_ms"`
	}

	// Scorer is the address of the scoring service.
	Scorer struct {
		Addr string `json:"addr"`
	}

	// Pool is a rollout pool with the trainers' claims on it.
	Pool struct {
		Name      cf.PoolName `json:"name"`
		GroupSize int         `json:"group_size"`
		MaxTokens cf.Tokens   `json:"max_tokens"`
		// MaxVersionLag and MaxSampleAge limit how stale a delivered sample may be: how many weight
		// versions it may be behind the pool's current one, and how old it may be.
		MaxVersionLag cf.WeightVersion `json:"staleness_versions"`
		MaxSampleAge  cf.Millis        `json:"staleness_ms"`
		Prompts       []string         `json:"prompts"`
		Claims        []Claim          `json:"claims"`
	}

	// Claim is a trainer's claim on a pool.
	Claim struct {
		Name cf.ClaimName `json:"name"`
		// Buffer is the number of scored samples that the pool keeps ready for the claim.
		Buffer int `json:"buffer"`
	}

	// Trainer is a trainer stand-in.
	Trainer struct {
		Name        string       `json:"name"`
		Pool        cf.PoolName  `json:"pool"`
		Claim       cf.ClaimName `json:"claim"`
		StepSamples int          `json:"samples_per_step"`
		Steps       int          `json:"steps"`
		TrainTime   cf.Millis    `json:"train_ms"`
	}

	// Lease holds the lifetime and the renewal interval of the pools' leases. Entries write their
	// heartbeat at the renewal interval too.
	Lease struct {
		TTL   cf.Millis `json:"ttl_ms"`
		Renew cf.Millis `json:"renew_ms"`
	}

	// Fault is a validation error at a JSON path.
	Fault struct {
		Path    string
		Message string
	}

	// Faults lists all validation errors of a document. Load and Parse return it for an invalid
	// document. It wraps ErrInvalid.
	Faults []Fault
)

func (f Fault) String() string { return f.Path + ": " + f.Message }

func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes errors.Is(err, currantford.ErrInvalid) true.
func (fs Faults) Unwrap() error { return cf.ErrInvalid }

// Default returns the embedded default site.
func Default() Site {
	s, err := Parse(defaultSite)
	if err != nil {
		panic(fmt.Sprintf("embedded site is invalid: %v", err))
	}
	return s
}

// Load reads and validates the document at path, or the embedded default if path is empty.
func Load(path string) (Site, error) {
	if path == "" {
		return Parse(defaultSite)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Site{}, eris.Wrapf(err, "read settings %s", path)
	}
	return Parse(data)
}

// Parse decodes a document, sets defaults and validates it. The error for an invalid document is a
// Faults.
func Parse(data []byte) (Site, error) {
	var raw any
	if err := json.Unmarshal(data, &raw); err != nil {
		return Site{}, Faults{{Path: "$", Message: "not JSON: " + err.Error()}}
	}
	var faults Faults
	collectUnknownFields(reflect.TypeFor[Site](), raw, "$", &faults)
	var s Site
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&s); err != nil {
		faults = append(faults, Fault{Path: "$", Message: err.Error()})
	}
	if len(faults) > 0 {
		return Site{}, faults
	}
	s.applyDefaults()
	if faults = s.Validate(); len(faults) > 0 {
		return Site{}, faults
	}
	return s, nil
}

// applyDefaults sets the defaults of all fields that the document leaves out.
func (s *Site) applyDefaults() {
	d := cfroute.DefaultSettings()
	if s.Routing.Policy == "" {
		s.Routing = d
	}
	setDefault(&s.Lease.TTL, 3000)
	setDefault(&s.Lease.Renew, s.Lease.TTL/3)
	setDefault(&s.EntriesTTL, 5000)
	setDefault(&s.LoadPoll, 100)
	setDefault(&s.Drain, 1500)
	for i := range s.Engines {
		e := &s.Engines[i]
		if e.Role == "" {
			e.Role = RoleShared
		}
		if e.Model.MaxBatch == 0 {
			e.Model = cfengine.DefaultModel()
		}
		setDefault(&e.LoadLag, 200)
	}
	for i := range s.Services {
		setDefault(&s.Services[i].Timeout, 2000)
	}
	for i := range s.Pools {
		p := &s.Pools[i]
		if p.GroupSize == 0 {
			p.GroupSize = 4
		}
		if p.MaxTokens == 0 {
			p.MaxTokens = 16
		}
		for j := range p.Claims {
			if p.Claims[j].Buffer == 0 {
				p.Claims[j].Buffer = 4 * p.GroupSize
			}
		}
	}
}

func setDefault(v *cf.Millis, d cf.Millis) {
	if *v == 0 {
		*v = d
	}
}

// Validate returns all validation errors of a decoded site.
func (s *Site) Validate() Faults {
	var fs Faults
	add := func(path, format string, args ...any) {
		fs = append(fs, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	checkAddr := func(path, addr string) {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			add(path, "must be host:port, got %q", addr)
		}
	}
	checkAddr("$.platform.addr", s.Platform.Addr)
	if len(s.Entries) == 0 {
		add("$.entries", "at least one entry instance is needed")
	}
	pathsByID := map[string]string{}
	checkUnique := func(path, id string) {
		if id == "" {
			add(path, "must not be empty")
		} else if prev, ok := pathsByID[id]; ok {
			add(path, "%q is also used at %s", id, prev)
		}
		pathsByID[id] = path
	}
	for i, e := range s.Entries {
		p := fmt.Sprintf("$.entries[%d]", i)
		checkUnique(p+".id", string(e.ID))
		checkAddr(p+".addr", e.Addr)
		if e.Domain == "" {
			add(p+".failure_domain", "must not be empty")
		}
	}
	for i, e := range s.Engines {
		p := fmt.Sprintf("$.engines[%d]", i)
		checkUnique(p+".id", string(e.ID))
		checkAddr(p+".addr", e.Addr)
		switch e.Role {
		case RoleLive, RoleRollout, RoleShared:
		default:
			add(p+".role", "must be live, rollout or shared, got %q", e.Role)
		}
		if e.Model.KVBudget <= 0 || e.Model.DecodeMillisPerToken <= 0 {
			add(p+".model", "kv_budget_tokens and decode_ms_per_token must be positive")
		}
	}
	for i, sv := range s.Services {
		p := fmt.Sprintf("$.services[%d]", i)
		checkUnique(p+".name", sv.Name)
		checkAddr(p+".addr", sv.Addr)
	}
	if len(s.Pools) > 0 {
		checkAddr("$.scorer.addr", s.Scorer.Addr)
	}
	claims := map[string]bool{}
	for i, pl := range s.Pools {
		p := fmt.Sprintf("$.pools[%d]", i)
		checkUnique(p+".name", string(pl.Name))
		if len(pl.Prompts) == 0 {
			add(p+".prompts", "at least one prompt is needed")
		}
		if pl.GroupSize < 1 {
			add(p+".group_size", "must be at least 1")
		}
		if pl.MaxVersionLag < 0 || pl.MaxSampleAge <= 0 {
			add(p, "staleness_versions must be >= 0 and staleness_ms > 0")
		}
		for j, c := range pl.Claims {
			if c.Name == "" {
				add(fmt.Sprintf("%s.claims[%d].name", p, j), "must not be empty")
			}
			claims[string(pl.Name)+"/"+string(c.Name)] = true
		}
	}
	for i, t := range s.Trainers {
		p := fmt.Sprintf("$.trainers[%d]", i)
		if !claims[string(t.Pool)+"/"+string(t.Claim)] {
			add(p+".claim", "no claim %q on pool %q", t.Claim, t.Pool)
		}
		if t.StepSamples < 1 {
			add(p+".samples_per_step", "must be at least 1")
		}
	}
	if _, err := cfroute.New(s.Routing); err != nil {
		add("$.routing.policy", "must be round_robin, least_loaded or marginal_cost, got %q", s.Routing.Policy)
	}
	if s.Lease.Renew >= s.Lease.TTL {
		add("$.lease.renew_ms", "must be shorter than ttl_ms")
	}
	return fs
}

// collectUnknownFields compares a decoded document with the settings type t and adds an error to fs
// for each key that t has no field for.
func collectUnknownFields(t reflect.Type, v any, path string, fs *Faults) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		obj, ok := v.(map[string]any)
		if !ok {
			return
		}
		fields := map[string]reflect.Type{}
		for i := range t.NumField() {
			f := t.Field(i)
			name := strings.Split(f.Tag.Get("json"), ",")[0]
			if name != "" && name != "-" {
				fields[name] = f.Type
			}
		}
		keys := make([]string, 0, len(obj))
		for k := range obj {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			ft, ok := fields[k]
			if !ok {
				*fs = append(*fs, Fault{Path: path + "." + k, Message: "unknown field"})
				continue
			}
			collectUnknownFields(ft, obj[k], path+"."+k, fs)
		}
	case reflect.Slice:
		list, ok := v.([]any)
		if !ok {
			return
		}
		for i, item := range list {
			collectUnknownFields(t.Elem(), item, fmt.Sprintf("%s[%d]", path, i), fs)
		}
	}
}

// Entry returns the settings of an entry instance.
func (s *Site) Entry(id cf.EntryID) (Entry, error) {
	for _, e := range s.Entries {
		if e.ID == id {
			return e, nil
		}
	}
	return Entry{}, eris.Wrapf(cf.ErrNotFound, "entry %q is not in the settings", id)
}

// Engine returns the settings of an engine.
func (s *Site) Engine(id cf.EngineID) (Engine, error) {
	for _, e := range s.Engines {
		if e.ID == id {
			return e, nil
		}
	}
	return Engine{}, eris.Wrapf(cf.ErrNotFound, "engine %q is not in the settings", id)
}

// Service returns the settings of a service.
func (s *Site) Service(name string) (Service, error) {
	for _, sv := range s.Services {
		if sv.Name == name {
			return sv, nil
		}
	}
	return Service{}, eris.Wrapf(cf.ErrNotFound, "service %q is not in the settings", name)
}

// Trainer returns the settings of a trainer.
func (s *Site) Trainer(name string) (Trainer, error) {
	for _, t := range s.Trainers {
		if t.Name == name {
			return t, nil
		}
	}
	return Trainer{}, eris.Wrapf(cf.ErrNotFound, "trainer %q is not in the settings", name)
}

// Pool returns the settings of a pool.
func (s *Site) Pool(name cf.PoolName) (Pool, error) {
	for _, p := range s.Pools {
		if p.Name == name {
			return p, nil
		}
	}
	return Pool{}, eris.Wrapf(cf.ErrNotFound, "pool %q is not in the settings", name)
}

// PlatformURL returns the base URL of the object API.
func (s *Site) PlatformURL() string { return "http://" + s.Platform.Addr }
