// Package currantford holds the small, central types of the rollout service:
// the millisecond clock, the named ids and units, the sentinel errors, and the
// interfaces whose implementations live in the cf* packages below it.
//
// Currantford stands between callers and back ends. Entry instances answer
// live requests (completions, bids, log readings) and feed trainers with
// scored rollout samples that name the weight versions that produced them.
// What must be agreed between entry instances (leases, claim cursors,
// configuration versions) lives in the platform's object API, reached through
// the ObjectStore interface; nothing of ours is a consensus group.
//
// The deployed system (docs/SYSTEM.md) is built on the interfaces Store, Targets
// and Ingress, which the adapter in platform/ implements or translates; batches
// of rollout items (Submission, Result) take the place of pools and claims.
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
	// Millis is the project's one clock type: an instant in milliseconds
	// since the Unix epoch, or a span in milliseconds.
	Millis int64

	// EngineID names a model engine target, as in the settings.
	EngineID string
	// EntryID names an entry instance, as in the settings.
	EntryID string
	// FailureDomain names a failure domain such as "bayan-a".
	FailureDomain string
	// PoolName names a rollout pool.
	PoolName string
	// ClaimName names a trainer's claim on a pool.
	ClaimName string
	// SampleID names one rollout sample: "pool/claim/seq".
	SampleID string
	// RequestID names one caller request in logs and journals.
	RequestID string
	// WeightVersion numbers a model's weights; higher is newer.
	WeightVersion int64
	// Epoch is a lease's fencing number; each new holder gets a higher one.
	Epoch int64
	// Tokens counts model tokens.
	Tokens int64
	// Watts is electric power.
	Watts float64
)

// Sentinel errors. Callers test them with errors.Is; packages wrap them with
// eris to add context.
var (
	// ErrNotFound: the object, pool, claim or service does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict: a conditional update lost against a newer version.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable: the platform or a target did not answer; the request
	// may be retried if it is idempotent.
	ErrUnavailable = errors.New("unavailable")
	// ErrNoCandidate: no live engine can take the request; it was not run.
	ErrNoCandidate = errors.New("no candidate engine")
	// ErrNotLeader: this entry does not hold the lease asked for.
	ErrNotLeader = errors.New("not the leader")
	// ErrFenced: an order or commit carried an old fencing number.
	ErrFenced = errors.New("fenced by a newer epoch")
	// ErrMaybeRan: a non-idempotent request may have reached its service;
	// it is never retried and never reported as "not run".
	ErrMaybeRan = errors.New("request may have run")
	// ErrNoProcess: the machine is up and nothing listens at the address, so the
	// process there has ended. A process that hangs, or a link that is cut, does
	// not look like this.
	ErrNoProcess = errors.New("no process at the address")
	// ErrStopping is the cause of a context that ends as the instance does.
	ErrStopping = errors.New("the instance is stopping")
	// ErrInvalid: a settings or intent document failed validation.
	ErrInvalid = errors.New("invalid document")
)

// Now returns the current wall-clock instant.
func Now() Millis { return Millis(time.Now().UnixMilli()) }

// MillisOf converts a Go duration to Millis, rounding down.
func MillisOf(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Duration converts a span to a Go duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Since returns the span from m to now.
func (m Millis) Since() Millis { return Now() - m }

// Load is what an entry knows of one engine at routing time: its last load
// report (which lags), its place and whether the instance list says it is
// leaving.
type Load struct {
	Engine   EngineID      `json:"engine" cbor:"engine"`
	Addr     string        `json:"addr" cbor:"addr"`
	Domain   FailureDomain `json:"failure_domain" cbor:"failure_domain"`
	Active   int           `json:"active" cbor:"active"`
	Queued   int           `json:"queued" cbor:"queued"`
	KVUsed   Tokens        `json:"kv_used" cbor:"kv_used"`
	KVBudget Tokens        `json:"kv_budget" cbor:"kv_budget"`
	// Backlog is the engine's own estimate of the work ahead of a new
	// request, the paper's seconds-of-backlog signal.
	Backlog  Millis        `json:"backlog_ms" cbor:"backlog_ms"`
	Weights  WeightVersion `json:"weight_version" cbor:"weight_version"`
	Power    Watts         `json:"watts" cbor:"watts"`
	Reported Millis        `json:"reported_ms" cbor:"reported_ms"`
	Leaving  bool          `json:"leaving" cbor:"leaving"`
}

// Job is one request to place: its size as known at admission.
type Job struct {
	ID           RequestID `json:"request_id"`
	PromptTokens Tokens    `json:"prompt_tokens"`
	MaxTokens    Tokens    `json:"max_tokens"`
	// Live is true for caller requests, false for rollout work; live work
	// goes first when capacity is short.
	Live bool `json:"live"`
}

// Candidate is one engine as a router priced it.
type Candidate struct {
	Engine EngineID `json:"engine"`
	Score  float64  `json:"score"`
}

// Decision is one routing decision, logged as one JSON line.
type Decision struct {
	Request    RequestID   `json:"request_id"`
	Policy     string      `json:"policy"`
	Candidates []Candidate `json:"candidates"`
	Choice     EngineID    `json:"choice"`
	Reason     string      `json:"reason"`
}

// Router places a job on one of the loads offered. Implementations live in
// cfroute. Route returns ErrNoCandidate when none can take it; it must not
// keep references to loads after it returns.
type Router interface {
	Route(job Job, loads []Load) (Decision, error)
	// Observe tells the router a placed job finished, with its measured
	// prefill and decode spans; calibrating routers fit their costs from it.
	Observe(engine EngineID, promptTokens, outputTokens Tokens, prefill, decode Millis)
}

// Object is one versioned value of the platform's object API. Version is the
// store's revision at the object's last write; it only grows.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Version conditions for ObjectStore.Put.
const (
	// AnyVersion writes whatever the current version is.
	AnyVersion int64 = -1
	// CreateOnly writes only if the object does not exist yet.
	CreateOnly int64 = 0
)

// ObjectStore is the platform's object API: versioned objects, conditional
// updates and watches. The implementation used in production and tests is
// cfplatform.Client; it returns ErrNotFound, ErrConflict and ErrUnavailable.
type ObjectStore interface {
	// Get returns one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes value if the object's version equals ifVersion (or any
	// version for AnyVersion, no object for CreateOnly).
	Put(ctx context.Context, kind, name string, value []byte, ifVersion int64) (Object, error)
	// Watch returns the objects of kind written after revision after,
	// waiting up to wait for one; it returns the store's revision.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Object, int64, error)
}

// Sample is one scored rollout sample. Weights lists every weight version
// that produced one of its tokens, oldest first: a generation that spanned
// a swap names both.
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

// Batch is what a claim's fetch returns: samples after the committed cursor,
// whole groups only, and the cursor that acknowledges all of them.
type Batch struct {
	Samples []Sample `json:"samples" cbor:"samples"`
	Cursor  int64    `json:"cursor" cbor:"cursor"`
	// Weights is the pool's current weight version when the batch left.
	Weights WeightVersion `json:"weight_version" cbor:"weight_version"`
}

// Generation is one rollout's output as the engine returned it.
type Generation struct {
	Text    string
	Weights []WeightVersion
	Engine  EngineID
}

// Backend is what a pool's leader needs of the targets: rollouts on the
// engines, scores from the scoring service, and weight orders. The entry
// implements it over HTTP; tests implement it in memory.
type Backend interface {
	// Generate runs one rollout, routed like any other request.
	Generate(ctx context.Context, job Job, prompt string) (Generation, error)
	// Score asks the scoring service for a sample's score.
	Score(ctx context.Context, prompt, text string) (float64, error)
	// LoadWeights orders every rollout engine to load version, carrying
	// epoch as the fencing number. For engines that ignore fencing numbers
	// it calls check before each order, which fails if the lease is lost.
	LoadWeights(ctx context.Context, version WeightVersion, epoch Epoch, check func(context.Context) error) error
}
