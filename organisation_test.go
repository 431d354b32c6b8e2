package currantford

import "testing"

// Ids of two organisations never meet, however they are chosen, and each is found again
// as its caller chose it.
func TestIDsBelongToTheirOrganisation(t *testing.T) {
	ids := []BatchID{"b", "a~b", "~b", "~", "", "a/b", "x y", "a~~b"}
	organisations := []Organisation{"", "a", "~", "a~b", "a b", "a/b", "%61"}
	seen := map[BatchID]string{}
	for _, o := range organisations {
		for _, id := range ids {
			in := o.Batch(id)
			if in.Unscoped() != string(id) || in.Organisation() != o {
				t.Errorf("batch %q of %q is %q: %q of %q", id, o, in, in.Unscoped(), in.Organisation())
			}
			if other, met := seen[in]; met {
				t.Errorf("batch %q of %q is that of %s", id, o, other)
			}
			seen[in] = string(o) + "'s " + string(id)
		}
	}
	if got := Organisation("").Batch("7c41"); got != "7c41" {
		t.Errorf("without an organisation: %q", got)
	}
}
