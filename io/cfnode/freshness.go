package cfnode

import (
	cf "currantford"
	"currantford/core/cfaccess"
	"currantford/io/cfingress"
	"currantford/io/cfwatch"
)

const (
	// askOutageAfter is how long an instance knows nothing new before it asks another
	// whether it does.
	askOutageAfter cf.Millis = 2000
	// outageShared is how long the word of another counts that it knows nothing new
	// either.
	outageShared cf.Millis = 5000
)

// knownAt returns when the configuration here was last known to be the newest.
func (n *Node) knownAt(now cf.Millis) cf.Millis {
	at := max(cf.Millis(n.feed.heard.Load()), cf.Millis(n.known.Load()))
	if w := n.watching.Load(); w != nil {
		at = max(at, now-w.config.Age(now))
	}
	return at
}

// belief returns how far this instance can rely on its configuration.
//
// One that is cut off goes on with the keys that it knows, as its callers may reach no
// other; a key that was taken away meanwhile would serve there for as long. So it stops
// after the time that its settings allow. While another instance knows nothing new
// either the store is away for all, and no key can have been taken away: it goes on,
// unless its settings say that revocations are strict.
func (n *Node) belief() cfingress.ConfigStatus {
	now := cf.Uptime()
	age := now - n.knownAt(now)
	most := n.settings.Bounds.KeyTrustMs
	shared := !n.settings.Bounds.StrictKeys && now-cf.Millis(n.feed.away.Load()) < outageShared
	return cfingress.ConfigStatus{
		ConfigFreshness: cfaccess.ConfigFreshness{Current: age < cfwatch.MaxViewAge, KeysTrusted: most == 0 || age < most || shared},
		Age:             age,
	}
}

// watchBelief keeps what belief goes by. It is called several times a second.
func (n *Node) watchBelief(now cf.Millis) {
	known := n.knownAt(now)
	n.known.Store(int64(known))
	if now-known >= askOutageAfter && n.settings.Bounds.KeyTrustMs > 0 {
		n.confirmOutage()
	}
}
