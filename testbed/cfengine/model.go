// Package cfengine is the stand-in of a model engine: an OpenAI-compatible
// completions server whose timing follows a small model of continuous
// batching, with a KV budget in tokens, priorities, load reports that lag,
// a power draw, and orders to load new weights that carry a fencing number.
//
// The timing model is also used on its own, with a virtual clock, by the
// routing benchmarks in cfroute, so that policies are compared on the same
// costs the stand-in process charges.
//
// Usage:
//
//	e := cfengine.New(cfengine.Settings{ID: "forecast-1", Model: cfengine.DefaultModel()})
//	defer e.Close()
//	http.Serve(listener, e.Handler())
package cfengine

import (
	cf "currantford"
)

// Model prices one request on an engine. Costs are what a calibration run
// measures on the hardware: the paper's tau_pre and tau_dec ("Calibrate,
// Then Route", §III-B).
type Model struct {
	// PrefillBase is the fixed cost of a prompt pass.
	PrefillBase cf.Millis `json:"prefill_base_ms"`
	// PrefillMicrosPerToken is the prompt cost per token.
	PrefillMicrosPerToken float64 `json:"prefill_us_per_token"`
	// DecodeMillisPerToken is the cost of one output token with one
	// sequence in the batch.
	DecodeMillisPerToken float64 `json:"decode_ms_per_token"`
	// BatchSlope is the fractional slowdown of each decode step per extra
	// sequence in the batch: continuous batching's flat curve.
	BatchSlope float64 `json:"batch_slope"`
	// MaxBatch is the number of sequences decoded together.
	MaxBatch int `json:"max_batch"`
	// KVBudget is the KV cache in tokens; admission waits while the
	// running sequences' prompt and output tokens would exceed it.
	KVBudget cf.Tokens `json:"kv_budget_tokens"`
	// IdlePower and ActivePower give the draw: idle plus per sequence.
	IdlePower   cf.Watts `json:"idle_watts"`
	ActivePower cf.Watts `json:"active_watts_per_sequence"`
}

// DefaultModel is a small engine whose spans fit tests and the demo.
func DefaultModel() Model {
	return Model{
		PrefillBase:           5,
		PrefillMicrosPerToken: 40,
		DecodeMillisPerToken:  2,
		BatchSlope:            0.04,
		MaxBatch:              8,
		KVBudget:              16000,
		IdlePower:             90,
		ActivePower:           25,
	}
}

// PrefillTime is the prompt pass's span for n prompt tokens.
func (m Model) PrefillTime(n cf.Tokens) float64 {
	return float64(m.PrefillBase) + m.PrefillMicrosPerToken*float64(n)/1000
}

// DecodeStepTime is one decode step's span with active sequences in the batch.
func (m Model) DecodeStepTime(active int) float64 {
	return m.DecodeMillisPerToken * (1 + m.BatchSlope*float64(max(active-1, 0)))
}

// RequestTime is the span, in milliseconds, of a whole request at a batch of
// active sequences.
func (m Model) RequestTime(prompt, output cf.Tokens, active int) float64 {
	return m.PrefillTime(prompt) + float64(output)*m.DecodeStepTime(active)
}

// Power is the draw with active sequences.
func (m Model) Power(active int) cf.Watts {
	return m.IdlePower + m.ActivePower*cf.Watts(active)
}
