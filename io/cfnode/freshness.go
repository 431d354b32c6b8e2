package cfnode

import (
	cf "currantford"
	"currantford/core/cfaccess"
	"currantford/io/cfingress"
	"currantford/io/cfwatch"
)

const (
	// outageAskAge is the age of the configuration from which an instance asks another one whether
	// it receives updates.
	outageAskAge cf.Millis = 2000
	// sharedOutageLifetime is how long a report from another instance counts that says that the
	// store does not answer it either.
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

// configStatus returns how far this instance can rely on its configuration.
//
// An instance that is cut off continues with the keys that it knows, as its callers may not reach
// another one. A key that has been revoked in the meantime would be accepted there for just as
// long, so the instance stops after the time that its settings allow. While another instance has no
// answer from the store either, the store is unavailable to all and no key can have been revoked:
// the instance then continues, unless its settings make revocations strict.
func (n *Node) configStatus() cfingress.ConfigStatus {
	now := cf.Uptime()
	age := now - n.configCurrentAt(now)
	maxAge := n.settings.Bounds.KeyTrustMs
	sharedOutage := !n.settings.Bounds.StrictKeys && now-cf.Millis(n.feed.outageConfirmedAt.Load()) < sharedOutageLifetime
	return cfingress.ConfigStatus{
		ConfigFreshness: cfaccess.ConfigFreshness{Current: age < cfwatch.MaxViewAge, KeysTrusted: maxAge == 0 || age < maxAge || sharedOutage},
		Age:             age,
	}
}

// updateConfigStatus refreshes what configStatus depends on. It is called several times a second.
func (n *Node) updateConfigStatus(now cf.Millis) {
	currentAt := n.configCurrentAt(now)
	n.lastCurrentAt.Store(int64(currentAt))
	if now-currentAt >= outageAskAge && n.settings.Bounds.KeyTrustMs > 0 {
		n.confirmOutage()
	}
}
