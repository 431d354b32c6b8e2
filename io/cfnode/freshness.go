package cfnode

import (
	cf "currantford"
	"currantford/core/cfaccess"
	"currantford/io/cfingress"
	"currantford/io/cfwatch"
)

const (
	// outageAskAge is how long an instance knows nothing new before it asks another
	// whether it does.
	outageAskAge cf.Millis = 2000
	// sharedOutageLifetime is how long the word of another counts that it knows nothing new
	// either.
	sharedOutageLifetime cf.Millis = 5000
)

// configCurrentAt returns when the configuration here was last known to be the newest.
func (n *Node) configCurrentAt(now cf.Millis) cf.Millis {
	at := max(cf.Millis(n.feed.asOf.Load()), cf.Millis(n.lastCurrentAt.Load()))
	if w := n.watchers.Load(); w != nil {
		at = max(at, now-w.config.Age(now))
	}
	return at
}

// configBelief returns how far this instance can rely on its configuration.
//
// One that is cut off goes on with the keys that it knows, as its callers may reach no
// other; a key that was taken away meanwhile would serve there for as long. So it stops
// after the time that its settings allow. While another instance knows nothing new
// either the store is away for all, and no key can have been taken away: it goes on,
// unless its settings say that revocations are strict.
func (n *Node) configBelief() cfingress.Belief {
	now := cf.Uptime()
	age := now - n.configCurrentAt(now)
	maxAge := n.settings.Bounds.KeyTrustMs
	sharedOutage := !n.settings.Bounds.StrictKeys && now-cf.Millis(n.feed.outageConfirmedAt.Load()) < sharedOutageLifetime
	return cfingress.Belief{
		ConfigFreshness: cfaccess.ConfigFreshness{Current: age < cfwatch.MaxViewAge, KeysTrusted: maxAge == 0 || age < maxAge || sharedOutage},
		Age:             age,
	}
}

// updateBelief keeps what belief goes by. It is called several times a second.
func (n *Node) updateBelief(now cf.Millis) {
	currentAt := n.configCurrentAt(now)
	n.lastCurrentAt.Store(int64(currentAt))
	if now-currentAt >= outageAskAge && n.settings.Bounds.KeyTrustMs > 0 {
		n.confirmOutage()
	}
}
