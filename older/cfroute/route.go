// Package cfroute places requests on engines. It has three policies behind
// currantford.Router, chosen by setting: round_robin, least_loaded, and
// marginal_cost, the calibrated marginal-cost scorer of "Calibrate, Then
// Route: A Measured Study of Learned Request Routing for Disaggregated LLM
// Serving" (PAPER-calibrate-then-route-measured-fb1f, §III).
//
// The marginal-cost score of a candidate is the completion time the request
// would see there: seconds of backlog + the request's own priced work
// (prefill and decode cost per token, predicted output length) + cache
// pressure after admission + SLO tightness for live work. The paper's own
// bounds are kept: the per-token costs are calibrated from measured spans
// (Observe), not taken from a guess (§V-B: a mispriced scorer degrades to
// queue counting); under scarcity two random candidates are priced instead
// of all (§V-C: greedy argmin collapses there); and narrow pools fall back
// to least-loaded (§VI: the advantage needs width of four or more).
//
// Load reports lag, so each router keeps a ledger of the work it has placed
// and not yet seen finish, and prices backlog from whichever is larger.
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

// Policy names.
const (
	RoundRobin   = "round_robin"
	LeastLoaded  = "least_loaded"
	MarginalCost = "marginal_cost"
)

// Reasons written in decision log lines.
const (
	reasonRoundRobin = "round_robin"
	reasonLeast      = "least_loaded"
	reasonCost       = "lowest_marginal_cost"
	reasonScarcity   = "two_choices_under_scarcity"
	reasonNarrow     = "least_loaded_narrow_pool"
)

// Settings choose and tune the policy. Zero values take DefaultSettings.
type Settings struct {
	Policy string `json:"policy"`
	// PrefillMicrosPerToken and DecodeMillisPerToken are the starting
	// costs, replaced by measured ones as spans are observed.
	PrefillMicrosPerToken float64 `json:"prefill_us_per_token"`
	DecodeMillisPerToken  float64 `json:"decode_ms_per_token"`
	// Calibrate fits the costs from observed spans; off, the starting costs
	// stay, which is the paper's uncalibrated variant.
	Calibrate bool `json:"calibrate"`
	// DecodeBatch is the engines' decode batch, to turn ledger work into backlog.
	DecodeBatch int `json:"batch"`
	// MinCandidates: pools narrower than this use least-loaded.
	MinCandidates int `json:"min_width"`
	// ScarcityBacklog: when every candidate's backlog exceeds it, two random
	// candidates are priced instead of all.
	ScarcityBacklog cf.Millis `json:"scarcity_backlog_ms"`
	// LiveSLO is the time to first token promised to live requests; the
	// SLO term makes a live request avoid engines that would miss it.
	LiveSLO cf.Millis `json:"live_ttft_slo_ms"`
	Seed    uint64    `json:"seed"`
}

// DefaultSettings returns the defaults used in the embedded site.
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
		settings Settings
		mu       sync.Mutex
		next     int
		rng      *rand.Rand
		ledger   map[cf.EngineID]*ledger
		tauPre   float64 // ms per prompt token
		tauDec   float64 // ms per output token
	}

	ledger struct {
		inflight int
		work     float64 // ms of priced work placed and not yet observed
	}
)

// New returns the router the settings name.
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
		settings: s,
		rng:      rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		ledger:   map[cf.EngineID]*ledger{},
		tauPre:   s.PrefillMicrosPerToken / 1000,
		tauDec:   s.DecodeMillisPerToken,
	}, nil
}

// Route implements currantford.Router.
func (r *router) Route(job cf.Job, loads []cf.Load) (cf.Decision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := cf.Decision{Request: job.ID, Policy: r.settings.Policy}
	live := make([]cf.Load, 0, len(loads))
	for _, l := range loads {
		if !l.Leaving {
			live = append(live, l)
		}
	}
	if len(live) == 0 {
		return d, eris.Wrapf(cf.ErrNoCandidate, "request %s: %d engines, none live", job.ID, len(loads))
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Engine < live[j].Engine })
	var pick int
	switch {
	case r.settings.Policy == RoundRobin:
		pick, d.Reason = r.next%len(live), reasonRoundRobin
		r.next++
		d.Candidates = r.scores(job, live, r.queue)
	case r.settings.Policy == LeastLoaded:
		d.Candidates = r.scores(job, live, r.queue)
		pick, d.Reason = argmin(d.Candidates), reasonLeast
	case len(live) < r.settings.MinCandidates:
		d.Candidates = r.scores(job, live, r.queue)
		pick, d.Reason = argmin(d.Candidates), reasonNarrow
	default:
		d.Candidates = r.scores(job, live, r.cost)
		pick, d.Reason = argmin(d.Candidates), reasonCost
		if r.scarce(live) {
			a, b := r.rng.IntN(len(live)), r.rng.IntN(len(live)-1)
			if b >= a {
				b++
			}
			pick = a
			if d.Candidates[b].Score < d.Candidates[a].Score {
				pick = b
			}
			d.Reason = reasonScarcity
		}
	}
	d.Choice = live[pick].Engine
	l := r.entry(d.Choice)
	l.inflight++
	l.work += r.own(job)
	return d, nil
}

// Observe implements currantford.Router: it settles the ledger and, when
// calibrating, moves the per-token costs toward the measured ones.
func (r *router) Observe(engine cf.EngineID, prompt, output cf.Tokens, prefill, decode cf.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.entry(engine)
	// A failed request reports no tokens, so the ledger settles an
	// average share of its work rather than the request's own: pricing by
	// tokens would leave a failed request's work in the ledger for ever,
	// and the engine would look busier after each failure.
	if l.inflight > 0 {
		l.work -= l.work / float64(l.inflight)
		l.inflight--
	}
	if !r.settings.Calibrate {
		return
	}
	const weight = 0.1
	if prompt > 0 && prefill > 0 {
		r.tauPre += weight * (float64(prefill)/float64(prompt) - r.tauPre)
	}
	if output > 0 && decode > 0 {
		r.tauDec += weight * (float64(decode)/float64(output) - r.tauDec)
	}
}

func (r *router) entry(e cf.EngineID) *ledger {
	l := r.ledger[e]
	if l == nil {
		l = &ledger{}
		r.ledger[e] = l
	}
	return l
}

func (r *router) scores(job cf.Job, live []cf.Load, price func(cf.Job, cf.Load) float64) []cf.Candidate {
	out := make([]cf.Candidate, len(live))
	for i, l := range live {
		out[i] = cf.Candidate{Engine: l.Engine, Score: price(job, l)}
	}
	return out
}

// queue is the least-loaded score: sequences running and waiting, from the
// report or from our own ledger, whichever is larger.
func (r *router) queue(_ cf.Job, l cf.Load) float64 {
	return float64(max(l.Active+l.Queued, r.entry(l.Engine).inflight))
}

// own is the request's own priced work in milliseconds.
func (r *router) own(job cf.Job) float64 {
	return r.tauPre*float64(job.PromptTokens) + r.tauDec*float64(job.MaxTokens)
}

// cost is the marginal-cost score in milliseconds.
func (r *router) cost(job cf.Job, l cf.Load) float64 {
	backlog := max(float64(l.Backlog), r.entry(l.Engine).work/float64(r.settings.DecodeBatch))
	score := backlog + r.own(job)
	if l.KVBudget > 0 {
		after := float64(l.KVUsed+job.PromptTokens+job.MaxTokens) / float64(l.KVBudget)
		if after > 1 {
			// Admission would wait for KV room: price the wait as a
			// whole extra request's worth.
			score += r.own(job) * after
		}
	}
	if job.Live && r.settings.LiveSLO > 0 && backlog > float64(r.settings.LiveSLO) {
		score += backlog - float64(r.settings.LiveSLO)
	}
	return score
}

func (r *router) scarce(live []cf.Load) bool {
	if r.settings.ScarcityBacklog <= 0 {
		return false
	}
	for _, l := range live {
		if max(l.Backlog, cf.Millis(r.entry(l.Engine).work/float64(r.settings.DecodeBatch))) < r.settings.ScarcityBacklog {
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
