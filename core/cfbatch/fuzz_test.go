package cfbatch_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
)

// FuzzStoredBatch decodes arbitrary stored objects of a batch. No decoder may panic, and no item
// may be listed at two positions.
func FuzzStoredBatch(f *testing.F) {
	head := `{"id":"b","target_groups":1,"items":[{"id":"1","group":"g"},{"id":"2","group":"g","reward":{"id":"r"}}]}`
	f.Add([]byte(head), []byte(`{"results":[{"id":"1","state":"done","output":"x","versions":[1],"score":"s"}]}`), []byte(`{"ended":true}`))
	f.Add([]byte(head), []byte(`{"results":[{"id":"3"},{"id":"1"},{"id":"1"}]}`), []byte(`null`))
	f.Add([]byte(`{}`), []byte(`{"results":[{"id":"1"}]}`), []byte(`{`))
	f.Add([]byte(`{"parts":-1}`), []byte(`{"items":[{}]}`), []byte(``))
	f.Fuzz(func(t *testing.T, object, chunk, status []byte) {
		r := cf.Record{Name: "b", Spec: object, Status: status}
		_ = cfbatch.Ended(r)
		sub, err := cfbatch.DecodeHead(r)
		if err != nil {
			return
		}
		if joined, err := cfbatch.Join(sub, []cf.Record{{Name: "000000", Spec: chunk}}); err == nil {
			sub = joined
		}
		b := cfbatch.New(sub)
		_ = b.ApplyAll([]cf.Record{{Name: "000000", Spec: chunk}})
		seen := map[cf.ItemID]bool{}
		for _, res := range b.ListedFrom(0) {
			if _, known := b.Item(res.ID); !known || seen[res.ID] {
				t.Errorf("item %q is unknown or listed twice", res.ID)
			}
			seen[res.ID] = true
		}
		_ = b.Page(0)
		_ = b.EnoughGroups(nil)
	})
}
