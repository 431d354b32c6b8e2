// Package cfengine is a stand-in for a model engine: an OpenAI-compatible completions server. Its
// timing follows a simple model of continuous batching, with a KV budget in tokens, priorities,
// delayed load reports, a power draw, and orders to load new weights that carry a fencing epoch.
//
// The routing benchmarks of cfroute use the timing model on its own, with a virtual clock, so that
// policies are compared at the same costs as with the stand-in process.
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

// Model is the cost model of an engine. Its costs are those that a calibration run yields for the
// hardware: tau_pre and tau_dec in the paper "Calibrate, Then Route", §III-B.
type Model struct {
	// PrefillBase is the fixed cost of a prefill.
	PrefillBase cf.Millis `json:"prefill_base_ms"`
	// PrefillMicrosPerToken is the cost of a prefill per prompt token.
	PrefillMicrosPerToken float64 `json:"prefill_us_per_token"`
	// DecodeMillisPerToken is the cost of an output token with a single sequence in the batch.
	DecodeMillisPerToken float64 `json:"decode_ms_per_token"`
	// BatchSlope is the relative slowdown of a decode step for each additional sequence in the
	// batch. It is small, as is usual with continuous batching.
	BatchSlope float64 `json:"batch_slope"`
	// MaxBatch is the maximum number of sequences in the batch.
	MaxBatch int `json:"max_batch"`
	// KVBudget is the size of the KV cache in tokens. A request waits while its prompt and output
	// tokens do not fit into it together with those of the running sequences.
	KVBudget cf.Tokens `json:"kv_budget_tokens"`
	// IdlePower is the power draw without sequences. Each active sequence adds ActivePower.
	IdlePower   cf.Watts `json:"idle_watts"`
	ActivePower cf.Watts `json:"active_watts_per_sequence"`
}

// DefaultModel returns a small engine that is fast enough for tests and the demo.
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

// PrefillTime returns the duration of a prefill of n prompt tokens, in ms.
func (m Model) PrefillTime(n cf.Tokens) float64 {
	return float64(m.PrefillBase) + m.PrefillMicrosPerToken*float64(n)/1000
}

// DecodeStepTime returns the duration of a decode step, in ms, with the given number of active
// sequences in the batch.
func (m Model) DecodeStepTime(active int) float64 {
	return m.DecodeMillisPerToken * (1 + m.BatchSlope*float64(max(active-1, 0)))
}

// RequestTime returns the duration of a whole request, in ms, with the given number of active
// sequences in the batch.
func (m Model) RequestTime(prompt, output cf.Tokens, active int) float64 {
	return m.PrefillTime(prompt) + float64(output)*m.DecodeStepTime(active)
}

// Power returns the power draw with the given number of active sequences.
func (m Model) Power(active int) cf.Watts {
	return m.IdlePower + m.ActivePower*cf.Watts(active)
}
