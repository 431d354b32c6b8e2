// Package currantford defines the shared types of the rollout service: clock values, named ids and
// units, sentinel errors, and the interfaces that the cf* packages and the adapter in platform/
// implement.
//
// Currantford stands between callers and back ends. Entry instances forward live requests
// (completions, bids, log readings) to targets and deliver scored rollout samples to trainers, each
// sample with the weight versions that produced it. State that entry instances must agree on
// (leases, claim cursors, configuration versions) is kept in the platform's object API, reached
// through the ObjectStore interface; entry instances form no consensus group of their own.
//
// The deployed system (docs/SYSTEM.md) uses the interfaces Store, Targets and Ingress, which the
// adapter in platform/ implements or translates to a protocol. In it, batches of rollout items
// (Submission, Result) replace pools and claims. The packages under older/ use pools, claims and
// ObjectStore.
//
// Usage:
//
//	var r currantford.Router = cfroute.New(settings.Routing)
//	d, err := r.Route(job, loads)
//	if errors.Is(err, currantford.ErrNoCandidate) {
//		// answer 503 "not run" at once
//	}
package currantford

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

type (
	// Millis is the type of all clock values: an instant in milliseconds since the Unix epoch, an
	// Uptime in milliseconds, or a duration in milliseconds.
	Millis int64

	// EngineID identifies a model engine target, as in the settings.
	EngineID string
	// EntryID identifies an entry instance, as in the settings.
	EntryID string
	// FailureDomain is the name of a failure domain, such as "bayan-a".
	FailureDomain string
	// PoolName is the name of a rollout pool.
	PoolName string
	// ClaimName is the name of a trainer's claim on a pool.
	ClaimName string
	// SampleID identifies a rollout sample, in the form "pool/claim/seq".
	SampleID string
	// RequestID identifies a caller's request in logs and journals.
	RequestID string
	// WeightVersion is the version number of a model's weights; a higher one is newer.
	WeightVersion int64
	// Epoch is the fencing token of a lease; each new holder gets a higher one.
	Epoch int64
	// Tokens is a number of model tokens.
	Tokens int64
	// Watts is electric power in watts.
	Watts float64
)

// Sentinel errors. Callers test for them with errors.Is; packages wrap them with eris to add
// context.
var (
	// ErrNotFound means that the object, pool, claim or service does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a conditional update failed because the object has a newer version.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the platform or a target did not answer. The request may be retried
	// if it is idempotent.
	ErrUnavailable = errors.New("unavailable")
	// ErrNoCandidate means that no live engine can take the request. The request was not run.
	ErrNoCandidate = errors.New("no candidate engine")
	// ErrNotLeader means that this entry instance does not hold the required lease.
	ErrNotLeader = errors.New("not the leader")
	// ErrFenced means that an order or commit carried an outdated fencing token.
	ErrFenced = errors.New("fenced by a newer epoch")
	// ErrMaybeRan means that a non-idempotent request may have reached its service. Such a request
	// is never retried and never reported as "not run".
	ErrMaybeRan = errors.New("request may have run")
	// ErrNoProcess means that the machine is up but nothing listens at the address, so the process
	// there has ended. A process that hangs or a network partition does not cause this error.
	ErrNoProcess = errors.New("no process at the address")
	// ErrStopping is the cause of contexts that are cancelled because the instance shuts down.
	ErrStopping = errors.New("the instance is stopping")
	// ErrInvalid means that a settings or intent document failed validation.
	ErrInvalid = errors.New("invalid document")
)

// Now returns the current wall-clock instant.
func Now() Millis { return Millis(time.Now().UnixMilli()) }

// MillisOf converts a Go duration to Millis, rounded down.
func MillisOf(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Duration converts m to a Go duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Since returns the time elapsed since the instant m.
func (m Millis) Since() Millis { return Now() - m }

// Load holds what an entry instance knows about an engine when it routes a request: the engine's
// latest load report, which may be outdated, its address and failure domain, and whether the
// instance list marks it as leaving.
type Load struct {
	Engine   EngineID      `json:"engine" cbor:"engine"`
	Addr     string        `json:"addr" cbor:"addr"`
	Domain   FailureDomain `json:"failure_domain" cbor:"failure_domain"`
	Active   int           `json:"active" cbor:"active"`
	Queued   int           `json:"queued" cbor:"queued"`
	KVUsed   Tokens        `json:"kv_used" cbor:"kv_used"`
	KVBudget Tokens        `json:"kv_budget" cbor:"kv_budget"`
	// Backlog is the engine's own estimate of the time that the work ahead of a new request takes
	// (the seconds-of-backlog load signal).
	Backlog  Millis        `json:"backlog_ms" cbor:"backlog_ms"`
	Weights  WeightVersion `json:"weight_version" cbor:"weight_version"`
	Power    Watts         `json:"watts" cbor:"watts"`
	Reported Millis        `json:"reported_ms" cbor:"reported_ms"`
	Leaving  bool          `json:"leaving" cbor:"leaving"`
}

// Job is a request to be routed, with its size as known at admission.
type Job struct {
	ID           RequestID `json:"request_id"`
	PromptTokens Tokens    `json:"prompt_tokens"`
	MaxTokens    Tokens    `json:"max_tokens"`
	// Live is true for caller requests and false for rollout work. Live requests have priority when
	// capacity is short.
	Live bool `json:"live"`
}

// Candidate is an engine with the score that the router gave it.
type Candidate struct {
	Engine EngineID `json:"engine"`
	Score  float64  `json:"score"`
}

// Decision is a routing decision. It is logged as one line of JSON.
type Decision struct {
	Request    RequestID   `json:"request_id"`
	Policy     string      `json:"policy"`
	Candidates []Candidate `json:"candidates"`
	Choice     EngineID    `json:"choice"`
	Reason     string      `json:"reason"`
}

// Router selects an engine for a job from the given loads. Package cfroute implements it. Route
// returns ErrNoCandidate if no engine can take the job, and must not retain loads after it returns.
type Router interface {
	Route(job Job, loads []Load) (Decision, error)
	// Observe reports that a routed job has finished, with its measured prefill and decode times.
	// Calibrating routers fit their cost models to them.
	Observe(engine EngineID, promptTokens, outputTokens Tokens, prefill, decode Millis)
}

// Object is a versioned value of the platform's object API. Version is the store's revision at the
// object's latest write; it never decreases.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Version conditions for ObjectStore.Put.
const (
	// AnyVersion writes regardless of the current version.
	AnyVersion int64 = -1
	// CreateOnly writes only if the object does not exist yet.
	CreateOnly int64 = 0
)

// ObjectStore is the platform's object API: versioned objects, conditional updates and watches.
// cfplatform.Client, used in production and in tests, implements it and returns ErrNotFound,
// ErrConflict and ErrUnavailable.
type ObjectStore interface {
	// Get returns the named object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes value if the object's version equals ifVersion. With AnyVersion it writes
	// regardless of the version, with CreateOnly only if there is no such object.
	Put(ctx context.Context, kind, name string, value []byte, ifVersion int64) (Object, error)
	// Watch returns the objects of kind that were written after revision after, and the store's
	// revision. It waits up to wait for such an object.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Object, int64, error)
}

// Sample is a scored rollout sample. Weights lists every weight version that produced one of its
// tokens, oldest first: a generation during which the weights were swapped has both versions.
type Sample struct {
	ID      SampleID        `json:"sample_id" cbor:"sample_id"`
	Seq     int64           `json:"seq" cbor:"seq"`
	Group   string          `json:"group" cbor:"group"`
	Prompt  string          `json:"prompt" cbor:"prompt"`
	Text    string          `json:"text" cbor:"text"`
	Score   float64         `json:"score" cbor:"score"`
	Weights []WeightVersion `json:"weight_versions" cbor:"weight_versions"`
	Engine  EngineID        `json:"engine" cbor:"engine"`
	Created Millis          `json:"created_ms" cbor:"created_ms"`
}

// Batch is the result of a claim's fetch: samples after the committed cursor, in whole groups only,
// and the cursor that acknowledges all of them.
type Batch struct {
	Samples []Sample `json:"samples" cbor:"samples"`
	Cursor  int64    `json:"cursor" cbor:"cursor"`
	// Weights is the pool's weight version when the batch was sent.
	Weights WeightVersion `json:"weight_version" cbor:"weight_version"`
}

// Generation is the output of a rollout as returned by the engine.
type Generation struct {
	Text    string
	Weights []WeightVersion
	Engine  EngineID
}

// Backend provides what a pool's leader needs from the targets: rollouts on the engines, scores
// from the scoring service, and weight orders. The entry instance implements it over HTTP; tests
// implement it in memory.
type Backend interface {
	// Generate runs a rollout, routed like any other request.
	Generate(ctx context.Context, job Job, prompt string) (Generation, error)
	// Score returns the scoring service's score of a sample.
	Score(ctx context.Context, prompt, text string) (float64, error)
	// LoadWeights orders every rollout engine to load version, with epoch as the fencing token.
	// Before each order to an engine that ignores fencing tokens it calls check, which fails if the
	// lease is lost.
	LoadWeights(ctx context.Context, version WeightVersion, epoch Epoch, check func(context.Context) error) error
}
