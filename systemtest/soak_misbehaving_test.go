package systemtest

import (
	"time"
)

const (
	// firstMisbehavingSeed is the first seed in which clients send what TestMisbehavingClients does.
	firstMisbehavingSeed = 9000
	// soakCrowdSize is the number of clients that misbehave at the same time.
	soakCrowdSize = 100
)

// misbehave lets a crowd of clients misbehave at one address of an entry for a while, also while the
// entry stops, is down or starts.
func (s *soak) misbehave() {
	m := misbehaviours[s.intN(len(misbehaviours))]
	if m.settle != nil || m.config != nil {
		return // it needs a deployment of its own
	}
	e := s.entries[s.intN(len(s.entries))]
	addrs := []string{e.callerAddr, e.callerAddr, e.directoryAddr, e.readyAddr, e.metricsAddr, e.peerAddr}
	c := startCrowd(addrs[s.intN(len(addrs))], soakCrowdSize, m.send)
	time.Sleep(s.duration(500, 3000))
	c.end()
	s.recordMemory()
}
