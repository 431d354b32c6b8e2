package currantford

import (
	"net/http"
)

type (
	// BatchID names a batch; its submitter chooses it.
	BatchID string
	// ItemID names an item of a batch and is its request id at a target.
	ItemID string
	// GroupID names the items that share a prompt.
	GroupID string
	// ItemState is the outcome of a finished item.
	ItemState string

	// Item is one request of a batch.
	Item struct {
		ID        ItemID            `json:"id"`
		Group     GroupID           `json:"group,omitempty"`
		Path      string            `json:"path"`
		Headers   map[string]string `json:"headers,omitempty"`
		Body      []byte            `json:"body,omitempty"`
		MaxTokens Tokens            `json:"tokens,omitempty"`
		// PromptTokens is how many of these the prompt has.
		PromptTokens Tokens `json:"prompt_tokens,omitempty"`
		// LengthHint is the submitter's guess of the output tokens; zero
		// when it made none.
		LengthHint Tokens `json:"length_hint,omitempty"`
		// Reward is the request whose answer scores the finished text; nil
		// where samples carry no score.
		Reward *RewardCall `json:"reward,omitempty"`
	}

	// RewardCall asks a plain service to score an item's text. It goes out
	// once the text is complete, may be repeated, and is sent by the route of
	// its own host and path.
	RewardCall struct {
		ID   RequestID `json:"id"`
		Host string    `json:"host"`
		Path string    `json:"path"`
		Body []byte    `json:"body,omitempty"`
	}

	// Submission is a batch as it is accepted and kept in the store.
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
		// Parts counts the objects that hold the items, zero where this one
		// does.
		Parts int `json:"parts,omitempty"`
	}

	// BatchStatus is the status of a batch's object.
	BatchStatus struct {
		Ended bool `json:"ended"`
	}

	// Result is a finished item at its position in the batch.
	Result struct {
		ID       ItemID          `json:"id" cbor:"id"`
		State    ItemState       `json:"state" cbor:"state"`
		Output   string          `json:"output" cbor:"output"`
		Versions []WeightVersion `json:"versions" cbor:"versions"`
		// Score is the signature of the answer to the item's reward call;
		// empty for items without one.
		Score string `json:"score,omitempty" cbor:"score,omitempty"`
	}

	// ResultPage is a read of a batch's results from a position on.
	ResultPage struct {
		Total   int      `cbor:"total"`
		Next    int      `cbor:"next"`
		Results []Result `cbor:"results"`
	}

	// Request is one caller attempt as an entry instance took it.
	Request struct {
		ID          RequestID
		Credentials Credentials
		Method      string
		Host        string
		Path        string // path and query, as the caller sent them
		Route       string // path alone, decoded, by which the route is found
		Header      http.Header
		Body        []byte
		Timeout     Millis // what the caller still waits, zero when unsaid
		Received    Millis // Uptime at which the request was taken
		// ReleaseBody says that Body is not needed any more, while the answer may still be
		// on its way; it may be nil.
		ReleaseBody func()
		// ResumeAfter is the last event that the caller of a stream has, from
		// an attempt before this one; zero if it begins anew.
		ResumeAfter EventID
	}
)

// States of an item's result.
const (
	ItemDone   ItemState = "done"
	ItemFailed ItemState = "failed"
)
