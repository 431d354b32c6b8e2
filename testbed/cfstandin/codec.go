package cfstandin

import (
	"encoding/json"

	cf "currantford"
	"currantford/core/cfsite"
)

// Codec decodes records that contain the product's own types in JSON. Tests use it in place of the
// platform adapter.
type Codec struct{}

var _ cfsite.Codec = Codec{}

// Kinds implements cfsite.Codec.
func (Codec) Kinds() cfsite.Kinds {
	return cfsite.Kinds{Config: "config", Targets: "targets", Versions: "versions", Retirements: "retirements"}
}

// Config implements cfsite.Codec.
func (Codec) Config(r cf.Record) (cfsite.Config, error) { return decode[cfsite.Config](r) }

// Target implements cfsite.Codec.
func (Codec) Target(r cf.Record) (cf.Target, error) { return decode[cf.Target](r) }

// Version implements cfsite.Codec.
func (Codec) Version(r cf.Record) (cf.ModelState, error) { return decode[cf.ModelState](r) }

// RetirementDone implements cfsite.Codec.
func (Codec) RetirementDone() any { return "done" }

// Record returns a record that Codec decodes to v. It panics if v cannot be encoded, since that is
// a mistake in the test.
func Record(name string, rev cf.Revision, v any) cf.Record {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return cf.Record{Name: name, Rev: rev, Spec: raw}
}

func decode[T any](r cf.Record) (T, error) {
	var v T
	return v, json.Unmarshal(r.Spec, &v)
}
