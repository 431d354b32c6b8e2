package cfbatch

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/rotisserie/eris"

	cf "currantford"
)

const (
	// objectOverhead is left of the store's value limit for an object's own fields.
	objectOverhead = 64 << 10
	// maxHeadBytes is the largest batch that is kept in its head. A coordinator
	// that takes over lists all heads, those of ended batches too.
	maxHeadBytes = 16 << 10
)

// Part is the spec of an object that holds some of a batch's items.
type Part struct {
	Items []cf.Item `json:"items"`
}

// Split divides a submission for a store whose values are limited: the head,
// which is the batch's object, and the parts, which are written before it. Small
// batches fit into their head. The division depends on the submission
// alone, so that one that is handed in again finds its own parts.
func Split(sub cf.Submission, limit int64) (head cf.Submission, parts []Part, err error) {
	limit -= objectOverhead
	sizes, total, err := encodedSizes(sub.Items)
	if err != nil || total <= min(limit, maxHeadBytes) {
		return sub, nil, err
	}
	var part Part
	room := limit
	for i, it := range sub.Items {
		n := sizes[i]
		if n > limit {
			return head, nil, eris.Wrapf(cf.ErrInvalid, "item %s has %d bytes, over the store's limit", it.ID, n)
		}
		if n > room {
			parts = append(parts, part)
			part, room = Part{}, limit
		}
		part.Items = append(part.Items, it)
		room -= n
	}
	head = sub
	head.Items = nil
	head.Parts = len(parts) + 1
	return head, append(parts, part), nil
}

// encodedSizes returns the bytes that each item has in the store, and all of them.
func encodedSizes(items []cf.Item) (each []int64, total int64, err error) {
	each = make([]int64, 0, len(items))
	for _, it := range items {
		raw, err := json.Marshal(it)
		if err != nil {
			return nil, 0, eris.Wrapf(err, "encode item %s", it.ID)
		}
		each = append(each, int64(len(raw)))
		total += int64(len(raw))
	}
	return each, total, nil
}

// PartName is the name of a part's object.
func PartName(i int) string { return fmt.Sprintf("%06d", i) }

// DecodeHead reads a batch's object.
func DecodeHead(object cf.Record) (cf.Submission, error) {
	var sub cf.Submission
	if err := json.Unmarshal(object.Spec, &sub); err != nil {
		return sub, eris.Wrapf(cf.ErrInvalid, "batch %s: %v", object.Name, err)
	}
	if sub.ID == "" || string(sub.ID) != object.Name {
		return sub, eris.Wrapf(cf.ErrInvalid, "batch %q in the object %q", sub.ID, object.Name)
	}
	return sub, nil
}

// Join adds the items of the parts' objects to a head.
func Join(head cf.Submission, parts []cf.Record) (cf.Submission, error) {
	sort.Slice(parts, func(i, j int) bool { return parts[i].Name < parts[j].Name })
	if len(parts) < head.Parts {
		return head, eris.Wrapf(cf.ErrInvalid, "batch %s has %d of %d parts", head.ID, len(parts), head.Parts)
	}
	for _, r := range parts[:head.Parts] {
		var p Part
		if err := json.Unmarshal(r.Spec, &p); err != nil {
			return head, eris.Wrapf(cf.ErrInvalid, "part %s of batch %s: %v", r.Name, head.ID, err)
		}
		head.Items = append(head.Items, p.Items...)
	}
	return head, nil
}
