package cfingress

import (
	"context"

	cf "currantford"
	"currantford/io/cfgate"
)

// RequestMemory implements currantford.Ingress.
func (in *Ingress) RequestMemory(ctx context.Context) cf.RequestMemory {
	return cfgate.FromContext(ctx)
}
