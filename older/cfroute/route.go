// Package cfroute selects the engine for each request. It implements currantford.Router with three
// policies, chosen in the settings: round_robin, least_loaded, and marginal_cost, which is the
// calibrated marginal-cost score of the paper "Calibrate, Then Route: A Measured Study of Learned
// Request Routing for Disaggregated LLM Serving" (§III). The section numbers below refer to this
// paper.
//
// The marginal-cost score of a candidate is an estimate of the completion time of the request on
// that engine. It is the sum of the engine's backlog, the cost of the request itself (prefill and
// decode cost per token, with the output length taken from the request's token limit), a penalty if
// the request would exceed the engine's KV cache, and, for live requests, a penalty for a backlog
// beyond the SLO. The limits that the paper states apply here too:
//
//   - The costs per token are calibrated from measured durations (Observe). With wrong costs the
//     score is no better than counting queued requests (§V-B).
//   - If all engines have a long backlog, two random candidates are compared instead of all,
//     because always taking the lowest score fails under scarcity (§V-C).
//   - With few candidates the policy is least_loaded, because the score has an advantage only with
//     four candidates or more (§VI).
//
// Load reports are outdated when they arrive. The router therefore records the requests that it has
// assigned to each engine and that have not finished, and uses the report or its own record,
// whichever shows more load.
//
// Usage:
//
//	r, err := cfroute.New(cfroute.Settings{Policy: cfroute.MarginalCost})
//	d, err := r.Route(job, loads) // d is logged as one JSON line
//	r.Observe(d.Choice, prompt, output, prefill, decode)
package cfroute

import (
	"math/rand/v2"
	"sort"
	"sync"

	"github.com/rotisserie/eris"

	cf "currantford"
)

// The policies that Settings.Policy selects from.
const (
	RoundRobin   = "round_robin"
	LeastLoaded  = "least_loaded"
	MarginalCost = "marginal_cost"
)

// Reasons for a decision, as written to the log.
const (
	reasonRoundRobin    = "round_robin"
	reasonLeastLoaded   = "least_loaded"
	reasonMarginalCost  = "lowest_marginal_cost"
	reasonTwoChoices    = "two_choices_under_scarcity"
	reasonFewCandidates = "least_loaded_narrow_pool"
)

// Settings selects the routing policy and its parameters. New replaces costs and a DecodeBatch that
// are not positive by those of DefaultSettings.
type Settings struct {
	Policy string `json:"policy"`
	// PrefillMicrosPerToken and DecodeMillisPerToken are the initial costs per token. With
	// Calibrate they are adjusted to the measured costs.
	PrefillMicrosPerToken float64 `json:"prefill_us_per_token"`
	DecodeMillisPerToken  float64 `json:"decode_ms_per_token"`
	// Calibrate adjusts the costs per token to the observed durations. Without it the initial costs
	// stay in use, which is the uncalibrated variant of the paper.
	Calibrate bool `json:"calibrate"`
	// DecodeBatch is the number of requests that an engine decodes at once. The cost of the
	// requests assigned to an engine is divided by it to estimate the engine's backlog.
	DecodeBatch int `json:"batch"`
	// MinCandidates is the number of engines below which marginal_cost uses the least_loaded score.
	MinCandidates int `json:"min_width"`
	// ScarcityBacklog is the backlog from which an engine counts as overloaded. If all candidates
	// are, marginal_cost compares two random ones instead of all. 0 turns this off.
	ScarcityBacklog cf.Millis `json:"scarcity_backlog_ms"`
	// LiveSLO is the promised time to the first token of live requests. A backlog beyond it adds to
	// the score for a live request, so that such engines are avoided. 0 turns this off.
	LiveSLO cf.Millis `json:"live_ttft_slo_ms"`
	Seed    uint64    `json:"seed"`
}

// DefaultSettings returns the settings used if a site's settings name no policy.
func DefaultSettings() Settings {
	return Settings{
		Policy:                MarginalCost,
		PrefillMicrosPerToken: 40,
		DecodeMillisPerToken:  2,
		Calibrate:             true,
		DecodeBatch:           8,
		MinCandidates:         4,
		ScarcityBacklog:       2000,
		LiveSLO:               500,
		Seed:                  1,
	}
}

type (
	router struct {
		settings          Settings
		mu                sync.Mutex
		next              int
		rng               *rand.Rand
		engines           map[cf.EngineID]*engineLedger
		prefillMsPerToken float64 // cost of one prompt token in ms
		decodeMsPerToken  float64 // cost of one output token in ms
	}

	engineLedger struct {
		inflight   int
		costMillis float64 // estimated total cost of the requests in flight, in ms
	}
)

// New returns a router with the policy that s selects.
func New(s Settings) (cf.Router, error) {
	switch s.Policy {
	case RoundRobin, LeastLoaded, MarginalCost:
	default:
		return nil, eris.Wrapf(cf.ErrInvalid, "routing policy %q", s.Policy)
	}
	d := DefaultSettings()
	if s.DecodeBatch <= 0 {
		s.DecodeBatch = d.DecodeBatch
	}
	if s.PrefillMicrosPerToken <= 0 {
		s.PrefillMicrosPerToken = d.PrefillMicrosPerToken
	}
	if s.DecodeMillisPerToken <= 0 {
		s.DecodeMillisPerToken = d.DecodeMillisPerToken
	}
	return &router{
		settings:          s,
		rng:               rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		engines:           map[cf.EngineID]*engineLedger{},
		prefillMsPerToken: s.PrefillMicrosPerToken / 1000,
		decodeMsPerToken:  s.DecodeMillisPerToken,
	}, nil
}

// Route implements currantford.Router.
func (r *router) Route(job cf.Job, loads []cf.Load) (cf.Decision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := cf.Decision{Request: job.ID, Policy: r.settings.Policy}
	available := make([]cf.Load, 0, len(loads))
	for _, l := range loads {
		if !l.Leaving {
			available = append(available, l)
		}
	}
	if len(available) == 0 {
		return d, eris.Wrapf(cf.ErrNoCandidate, "request %s: %d engines, none live", job.ID, len(loads))
	}
	sort.Slice(available, func(i, j int) bool { return available[i].Engine < available[j].Engine })
	var pick int
	switch {
	case r.settings.Policy == RoundRobin:
		pick, d.Reason = r.next%len(available), reasonRoundRobin
		r.next++
		d.Candidates = r.scoreAll(job, available, r.queueLength)
	case r.settings.Policy == LeastLoaded:
		d.Candidates = r.scoreAll(job, available, r.queueLength)
		pick, d.Reason = argmin(d.Candidates), reasonLeastLoaded
	case len(available) < r.settings.MinCandidates:
		d.Candidates = r.scoreAll(job, available, r.queueLength)
		pick, d.Reason = argmin(d.Candidates), reasonFewCandidates
	default:
		d.Candidates = r.scoreAll(job, available, r.marginalCost)
		pick, d.Reason = argmin(d.Candidates), reasonMarginalCost
		if r.allBacklogged(available) {
			a, b := r.rng.IntN(len(available)), r.rng.IntN(len(available)-1)
			if b >= a {
				b++
			}
			pick = a
			if d.Candidates[b].Score < d.Candidates[a].Score {
				pick = b
			}
			d.Reason = reasonTwoChoices
		}
	}
	d.Choice = available[pick].Engine
	l := r.ledgerOf(d.Choice)
	l.inflight++
	l.costMillis += r.requestCost(job)
	return d, nil
}

// Observe implements currantford.Router. It removes one finished request from the engine's record
// and, with Calibrate, moves the costs per token towards the measured ones.
func (r *router) Observe(engine cf.EngineID, prompt, output cf.Tokens, prefill, decode cf.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.ledgerOf(engine)
	// A failed request reports no tokens, so the average cost of the requests in flight is
	// subtracted, not the request's own cost. A cost computed from the reported tokens would leave
	// the cost of failed requests in the record for ever, and the engine would seem busier after
	// each failure.
	if l.inflight > 0 {
		l.costMillis -= l.costMillis / float64(l.inflight)
		l.inflight--
	}
	if !r.settings.Calibrate {
		return
	}
	const weight = 0.1
	if prompt > 0 && prefill > 0 {
		r.prefillMsPerToken += weight * (float64(prefill)/float64(prompt) - r.prefillMsPerToken)
	}
	if output > 0 && decode > 0 {
		r.decodeMsPerToken += weight * (float64(decode)/float64(output) - r.decodeMsPerToken)
	}
}

func (r *router) ledgerOf(e cf.EngineID) *engineLedger {
	l := r.engines[e]
	if l == nil {
		l = &engineLedger{}
		r.engines[e] = l
	}
	return l
}

func (r *router) scoreAll(job cf.Job, available []cf.Load, score func(cf.Job, cf.Load) float64) []cf.Candidate {
	out := make([]cf.Candidate, len(available))
	for i, l := range available {
		out[i] = cf.Candidate{Engine: l.Engine, Score: score(job, l)}
	}
	return out
}

// queueLength is the least_loaded score: the number of running and queued requests according to the
// load report, or the number of requests in flight from this router if that is larger.
func (r *router) queueLength(_ cf.Job, l cf.Load) float64 {
	return float64(max(l.Active+l.Queued, r.ledgerOf(l.Engine).inflight))
}

// requestCost returns the estimated cost of the request itself, in milliseconds.
func (r *router) requestCost(job cf.Job) float64 {
	return r.prefillMsPerToken*float64(job.PromptTokens) + r.decodeMsPerToken*float64(job.MaxTokens)
}

// marginalCost returns the marginal-cost score in milliseconds.
func (r *router) marginalCost(job cf.Job, l cf.Load) float64 {
	backlog := max(float64(l.Backlog), r.ledgerOf(l.Engine).costMillis/float64(r.settings.DecodeBatch))
	score := backlog + r.requestCost(job)
	if l.KVBudget > 0 {
		after := float64(l.KVUsed+job.PromptTokens+job.MaxTokens) / float64(l.KVBudget)
		if after > 1 {
			// The request would wait for KV cache memory. The wait is estimated as the cost of one
			// more request of this size, multiplied by the fill level.
			score += r.requestCost(job) * after
		}
	}
	if job.Live && r.settings.LiveSLO > 0 && backlog > float64(r.settings.LiveSLO) {
		score += backlog - float64(r.settings.LiveSLO)
	}
	return score
}

func (r *router) allBacklogged(available []cf.Load) bool {
	if r.settings.ScarcityBacklog <= 0 {
		return false
	}
	for _, l := range available {
		if max(l.Backlog, cf.Millis(r.ledgerOf(l.Engine).costMillis/float64(r.settings.DecodeBatch))) < r.settings.ScarcityBacklog {
			return false
		}
	}
	return true
}

func argmin(c []cf.Candidate) int {
	best := 0
	for i := range c {
		if c[i].Score < c[best].Score {
			best = i
		}
	}
	return best
}
