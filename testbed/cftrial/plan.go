// Package cftrial is the load and experiment tool for a whole deployment: it
// runs the platform's stand-ins for one or two groups of entry processes, the
// same load and faults for each, and writes a report that compares them.
//
// The entries are separate processes, started by whoever runs the tool
// (scripts/trial.sh), so that what is measured are the deployed programs.
//
// Usage:
//
//	plan, err := cftrial.ReadPlan("plan.json")
//	report, err := cftrial.Run(ctx, plan, groups, log)
//	err = report.WriteHTML("report.html")
package cftrial

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	cf "currantford"
	"currantford/platform/standin"
)

type (
	// Plan is a load with its faults.
	Plan struct {
		Name string `json:"name"`
		// Seconds is how long each seed's load lasts.
		Seconds float64                    `json:"seconds"`
		Seeds   []uint64                   `json:"seeds"`
		Site    standin.DeploymentSettings `json:"site"`
		Step    standin.StepShape          `json:"step"`
		// RequestsPerS is the rate of single requests.
		RequestsPerS float64 `json:"requests_per_s"`
		Faults       []Fault `json:"faults"`
	}

	// FaultKind names what goes wrong.
	FaultKind string

	// Fault is one thing that goes wrong, times from the start of a seed.
	Fault struct {
		Kind FaultKind      `json:"kind"`
		At   standin.Millis `json:"at_ms"`
		For  standin.Millis `json:"for_ms"`
		// Count is how many targets it concerns, Times how much slower they
		// are, Every which of the store's writes lose their answer.
		Count             int     `json:"count"`
		SlowFactor        float64 `json:"times"`
		DropResponseEvery int     `json:"every"`
	}

	// Group is a set of entry processes with one policy.
	Group struct {
		Name      string
		StoreAddr string // where its store's stand-in listens
		Entries   []string
	}
)

// Kinds of faults.
const (
	StoreDown         FaultKind = "store_down"
	StoreSlow         FaultKind = "store_slow"
	StoreResponseLost FaultKind = "store_lost"
	EngineSlow        FaultKind = "engine_slow"
	EngineAborts      FaultKind = "engine_break"
	EngineAtCapacity  FaultKind = "engine_full"
	PlainAtCapacity   FaultKind = "plain_full"
)

// slowStore is the delay of a slow store's answers, 75 times the usual.
const slowStore = 300

// ReadPlan reads and checks a plan. Errors name the JSON path of each fault.
func ReadPlan(path string) (Plan, error) {
	var p Plan
	raw, err := os.ReadFile(path)
	if err != nil {
		return p, eris.Wrap(err, "read plan")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return p, eris.Wrapf(cf.ErrInvalid, "%s: %v", path, err)
	}
	return p, p.Check()
}

// Check returns an error for each bad field.
func (p *Plan) Check() error {
	var errs []error
	bad := func(path, what string) {
		errs = append(errs, fmt.Errorf("%w: $.%s: %s", cf.ErrInvalid, path, what))
	}
	positive := []struct {
		path  string
		value float64
	}{
		{"seconds", p.Seconds}, {"site.engines", float64(p.Site.Engines)}, {"site.slots", float64(p.Site.Slots)},
		{"site.event_ms", float64(p.Site.EventInterval)}, {"step.groups", float64(p.Step.Groups)}, {"step.size", float64(p.Step.GroupSize)},
		{"step.want", p.Step.RequiredFraction}, {"step.events", p.Step.MedianEvents}, {"step.most", float64(p.Step.MaxEvents)},
		{"step.patience_ms", float64(p.Step.Timeout)},
	}
	for _, f := range positive {
		if f.value <= 0 {
			bad(f.path, "must be over 0")
		}
	}
	if len(p.Seeds) == 0 {
		bad("seeds", "needs one at least")
	}
	if len(p.Site.Models) == 0 {
		bad("site.models", "needs one at least")
	}
	if p.RequestsPerS > 0 && p.Site.PlainTargets == 0 {
		bad("site.plains", "must be over 0 for single requests")
	}
	for i, f := range p.Faults {
		switch f.Kind {
		case StoreDown, StoreSlow, StoreResponseLost, EngineSlow, EngineAborts, EngineAtCapacity, PlainAtCapacity:
		default:
			bad(fmt.Sprintf("faults[%d].kind", i), fmt.Sprintf("unknown kind %q", f.Kind))
		}
		if f.For <= 0 {
			bad(fmt.Sprintf("faults[%d].for_ms", i), "must be over 0")
		}
	}
	return errors.Join(errs...)
}
