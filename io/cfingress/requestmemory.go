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

// BodyTimeout implements currantford.Ingress.
func (in *Ingress) BodyTimeout(host, path string, timeout cf.Millis) cf.Millis {
	route, ok := in.Site.Config().Match(host, path)
	if !ok || route.Timeout <= 0 || timeout > 0 && timeout < route.Timeout {
		return timeout
	}
	return route.Timeout
}
