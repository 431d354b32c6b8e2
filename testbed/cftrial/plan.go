// Package cftrial runs load experiments against a whole deployment. It starts the platform's
// stand-ins for one or two groups of entry processes, applies the same load and the same faults to
// each group, and writes a report that compares them.
//
// The entry processes are started by the user of the tool (scripts/trial.sh), so that the programs
// under test are the deployed ones.
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
	// Plan describes a load and its faults.
	Plan struct {
		Name string `json:"name"`
		// Seconds is the duration of the load of each seed.
		Seconds float64                    `json:"seconds"`
		Seeds   []uint64                   `json:"seeds"`
		Site    standin.DeploymentSettings `json:"site"`
		Step    standin.StepShape          `json:"step"`
		// RequestsPerS is the rate of single requests, per second.
		RequestsPerS float64 `json:"requests_per_s"`
		Faults       []Fault `json:"faults"`
	}

	// FaultKind is the kind of an injected fault.
	FaultKind string

	// Fault is an injected fault. Its times count from the start of a seed.
	Fault struct {
		Kind FaultKind      `json:"kind"`
		At   standin.Millis `json:"at_ms"`
		For  standin.Millis `json:"for_ms"`
		// Count is the number of affected targets, SlowFactor the factor by which they are slower.
		// The store drops the response of every DropResponseEvery-th write.
		Count             int     `json:"count"`
		SlowFactor        float64 `json:"times"`
		DropResponseEvery int     `json:"every"`
	}

	// Group is a set of entry processes with a common policy.
	Group struct {
		Name      string
		StoreAddr string // address at which the stand-in of the group's store listens
		Entries   []string
	}
)

// Kinds of injected faults.
const (
	StoreDown         FaultKind = "store_down"
	StoreSlow         FaultKind = "store_slow"
	StoreResponseLost FaultKind = "store_lost"
	EngineSlow        FaultKind = "engine_slow"
	EngineAborts      FaultKind = "engine_break"
	EngineAtCapacity  FaultKind = "engine_full"
	PlainAtCapacity   FaultKind = "plain_full"
)

// slowStoreDelayMs is the response delay of a slow store in ms, 75 times the usual delay.
const slowStoreDelayMs = 300

// ReadPlan reads and checks a plan. Errors name the JSON path of each invalid field.
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

// Check returns an error that names each invalid field.
func (p *Plan) Check() error {
	var errs []error
	addError := func(path, what string) {
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
			addError(f.path, "must be over 0")
		}
	}
	if len(p.Seeds) == 0 {
		addError("seeds", "must not be empty")
	}
	if len(p.Site.Models) == 0 {
		addError("site.models", "must not be empty")
	}
	if p.RequestsPerS > 0 && p.Site.PlainTargets == 0 {
		addError("site.plains", "must be over 0 if requests_per_s is")
	}
	for i, f := range p.Faults {
		switch f.Kind {
		case StoreDown, StoreSlow, StoreResponseLost, EngineSlow, EngineAborts, EngineAtCapacity, PlainAtCapacity:
		default:
			addError(fmt.Sprintf("faults[%d].kind", i), fmt.Sprintf("unknown kind %q", f.Kind))
		}
		if f.For <= 0 {
			addError(fmt.Sprintf("faults[%d].for_ms", i), "must be over 0")
		}
	}
	return errors.Join(errs...)
}
