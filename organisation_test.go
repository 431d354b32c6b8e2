package currantford

import "testing"

// TestIDsAreScopedByOrganisation guards against ids of two organisations that become equal for some
// choice of names and ids, and against scoped ids that do not yield the organisation and the
// caller's id again.
func TestIDsAreScopedByOrganisation(t *testing.T) {
	ids := []BatchID{"b", "a~b", "~b", "~", "", "a/b", "x y", "a~~b"}
	organisations := []Organisation{"", "a", "~", "a~b", "a b", "a/b", "%61"}
	seen := map[BatchID]string{}
	for _, o := range organisations {
		for _, id := range ids {
			scopedID := o.Batch(id)
			if scopedID.Unscoped() != string(id) || scopedID.Organisation() != o {
				t.Errorf("batch %q of organisation %q has id %q, which yields batch %q of organisation %q", id, o, scopedID, scopedID.Unscoped(), scopedID.Organisation())
			}
			if other, duplicate := seen[scopedID]; duplicate {
				t.Errorf("batch %q of organisation %q has the same id as %s", id, o, other)
			}
			seen[scopedID] = string(o) + "'s " + string(id)
		}
	}
	if got := Organisation("").Batch("7c41"); got != "7c41" {
		t.Errorf("id without an organisation: %q, want it unchanged", got)
	}
}
