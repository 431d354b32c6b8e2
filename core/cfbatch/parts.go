package cfbatch

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/rotisserie/eris"

	cf "currantford"
)

const (
	// objectOverhead is the part of the store's value limit that is reserved for the fields of an
	// object other than the items.
	objectOverhead = 64 << 10
	// maxHeadBytes is the largest total size of the items that are stored in the head itself. The
	// limit is small because a coordinator that takes over lists all heads, including those of
	// ended batches.
	maxHeadBytes = 16 << 10
)

// Part is the spec of an object that holds some of a batch's items.
type Part struct {
	Items []cf.Item `json:"items"`
}

// Split divides a submission for a store that limits the size of a value. The head is the batch's
// own object; the parts are objects with its items, and are written before it. The head of a small
// batch holds the items itself, and there are no parts. The division depends on the submission
// alone, so a batch that is submitted again has the same parts as before.
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

// encodedSizes returns the size of each item as stored, and the total.
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

// PartName returns the name of the object of part i.
func PartName(i int) string { return fmt.Sprintf("%06d", i) }

// DecodeHead decodes a batch's own object.
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

// Join adds the items of the part objects to a head.
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
