package currantford

import (
	"net/http"
)

type (
	// BatchID identifies a batch; its submitter chooses it.
	BatchID string
	// ItemID identifies an item of a batch. It is the request id that the target sees.
	ItemID string
	// GroupID identifies a group of items that share a prompt.
	GroupID string
	// ItemState is the outcome of a finished item.
	ItemState string

	// Item is a single request of a batch. MaxTokens limits the tokens of its prompt and output
	// together; zero means that no limit is known.
	Item struct {
		ID        ItemID            `json:"id"`
		Group     GroupID           `json:"group,omitempty"`
		Path      string            `json:"path"`
		Headers   map[string]string `json:"headers,omitempty"`
		Body      []byte            `json:"body,omitempty"`
		MaxTokens Tokens            `json:"tokens,omitempty"`
		// PromptTokens is the number of tokens in the prompt.
		PromptTokens Tokens `json:"prompt_tokens,omitempty"`
		// LengthHint is the submitter's estimate of the number of output tokens, zero without an
		// estimate.
		LengthHint Tokens `json:"length_hint,omitempty"`
		// Reward is the request that scores the finished text, nil if the item is not scored.
		Reward *RewardCall `json:"reward,omitempty"`
	}

	// RewardCall is a request to a plain service that scores an item's text. It is sent once the
	// text is complete, may be repeated, and is routed by its own host and path.
	RewardCall struct {
		ID   RequestID `json:"id"`
		Host string    `json:"host"`
		Path string    `json:"path"`
		Body []byte    `json:"body,omitempty"`
	}

	// Submission is a batch as it is accepted and stored.
	Submission struct {
		ID           BatchID       `json:"id"`
		Host         string        `json:"host"`
		Path         string        `json:"path"`
		Step         int64         `json:"step"`
		Model        ModelName     `json:"model"`
		MinVersion   WeightVersion `json:"min_version"`
		TargetGroups int           `json:"target_groups"`
		Accepted     Millis        `json:"accepted_ms"`
		Items        []Item        `json:"items,omitempty"`
		// Parts is the number of separate objects that hold the items, zero if Items holds them.
		Parts int `json:"parts,omitempty"`
	}

	// BatchStatus is the status of a stored batch.
	BatchStatus struct {
		Ended bool `json:"ended"`
	}

	// Result is the result of a finished item, stored at the item's position in the batch.
	Result struct {
		ID       ItemID          `json:"id" cbor:"id"`
		State    ItemState       `json:"state" cbor:"state"`
		Output   string          `json:"output" cbor:"output"`
		Versions []WeightVersion `json:"versions" cbor:"versions"`
		// Score is the signature of the response to the item's reward call, empty for items without
		// one.
		Score string `json:"score,omitempty" cbor:"score,omitempty"`
	}

	// ResultPage is a page of a batch's results from a given position on.
	ResultPage struct {
		Total   int      `cbor:"total"`
		Next    int      `cbor:"next"`
		Results []Result `cbor:"results"`
	}

	// Request is a single attempt of a caller's request, as received by an entry instance.
	Request struct {
		ID          RequestID
		Credentials Credentials
		Method      string
		Host        string
		Path        string // path and query, as sent by the caller
		Route       string // decoded path without the query, used to find the route
		Header      http.Header
		Body        []byte
		Timeout     Millis // remaining time that the caller waits, zero if not specified
		Received    Millis // Uptime at which the request arrived
		// ReleaseBody reports that Body is no longer needed, possibly before the answer is
		// complete. It may be nil.
		ReleaseBody func()
		// ResumeAfter is the last event that the caller of a stream received in an earlier attempt,
		// zero for a stream from the beginning.
		ResumeAfter EventID
		// MaxOutput is the maximum number of tokens that a target generates for the request, zero if
		// it is not given.
		MaxOutput Tokens
	}
)

// States of a finished item.
const (
	ItemDone   ItemState = "done"
	ItemFailed ItemState = "failed"
)
