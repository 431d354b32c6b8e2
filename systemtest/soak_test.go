package systemtest

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"currantford/platform/standin"
)

var (
	soakSeeds   = flag.String("soak.seeds", "1,3,36,1001,2001,3001,4001,4112,5001,6001,6011,6039,7002,8001,9001", "seeds of the fault soak, such as 1,2,10-20")
	soakSeconds = flag.Int("soak.seconds", 10, "length of each seed")
)

// firstLinkSeed is the first seed that also holds, slows and resets links. Lower seeds inject no
// link faults, so that each keeps its sequence of faults.
const firstLinkSeed = 1000

// firstRewardSeed is the first seed in which samples are scored.
const firstRewardSeed = 2000

// firstWeakSeed is the first seed with instances of low capacity, which share the streams of runs
// and read result pages from the store.
const firstWeakSeed = 3000

// firstHubSeed is the first seed with more entries and with hubs, which relay the coordinator's
// updates.
const firstHubSeed = 5000

// soak injects random faults into a small deployment while trainers and callers use it.
type soak struct {
	*deployment
	random *rand.Rand
	mu     sync.Mutex
	bids   map[string][]int // statuses of the attempts at each bid
	// heldBids are the answers that report a bid as quarantined, by bid.
	heldBids map[string]string
	// streams are the outcomes of streams, by ID. foreign lists answers that callers got to requests
	// of others.
	streams  map[string]streamOutcome
	foreign  []string
	down     map[*entry]bool // killed, stopped or frozen by the soak
	configMu sync.Mutex      // serializes changes of the configuration
	// peakMemory is the highest memory use seen in any process, in bytes.
	peakMemory int64
}

// TestSoak injects random faults into the programs from outside, and checks while they run and
// afterwards: every sample is complete and made with allowed weights; no result changes its
// position; bids run at most once and never after a refusal; configurations only become newer;
// scores come from successful answers to calls made after the text was complete; orders of two
// lease holders are 3 s apart and have increasing numbers.
//
// Some of the default seeds create the conditions of one particular fault:
//
//	3, 36: an engine executes an order 0.7 s late; a check by the times of execution
//	finds 2.95 s to the next holder's order, although the arrivals are 3.68 s apart
//	6011: instances that have just started send a quarantined request
//	4112, 6039: harmless requests are quarantined where none has succeeded yet
func TestSoak(t *testing.T) {
	for _, seed := range parseSeeds(t, *soakSeeds) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, seed)
		})
	}
}

func parseSeeds(t *testing.T, s string) []uint64 {
	t.Helper()
	var out []uint64
	for _, part := range strings.Split(s, ",") {
		from, to, ranged := strings.Cut(part, "-")
		if !ranged {
			to = from
		}
		a, err1 := strconv.ParseUint(from, 10, 64)
		b, err2 := strconv.ParseUint(to, 10, 64)
		if err1 != nil || err2 != nil {
			t.Fatalf("malformed seeds %q, want a list such as 1,2,10-20", s)
		}
		for ; a <= b; a++ {
			out = append(out, a)
		}
	}
	return out
}

func runSoak(t *testing.T, seed uint64) {
	models := []string{"m0", "m1"}
	o := options{entries: 4, engines: 5, plainTargets: 3, models: models, weightLoadTime: 150 * time.Millisecond, eventInterval: 8 * time.Millisecond, links: true}
	if seed >= firstWeakSeed {
		o.cores, o.linkMbps = weakCores, 1
	}
	if seed >= firstCrashSeed {
		o.crashDowntime = crashDowntime
	}
	if seed >= firstHubSeed {
		o.entries, o.hubThreshold = 7, 4
	}
	if seed >= firstEndlessSeed {
		o.memoryMB = maxMemory >> 20
	}
	if seed >= firstStreamSeed {
		o.config, o.repeatAnswers = withStreams, true
	}
	s := &soak{
		deployment: startDeployment(t, o),
		random:     rand.New(rand.NewPCG(seed, 9)), bids: map[string][]int{}, streams: map[string]streamOutcome{}, heldBids: map[string]string{}, down: map[*entry]bool{},
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(*soakSeconds)*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var trainers []*standin.Trainer
	var addrs []string
	for _, e := range s.entries {
		addrs = append(addrs, e.callerAddr)
	}
	shape := standin.StepShape{
		Groups: 6, GroupSize: 4, RequiredFraction: 0.9, MedianEvents: 15, LogStdDev: 0.8, MaxEvents: 80, Interval: 1500, TrainTime: 200, Timeout: 12000,
	}
	if seed >= firstRewardSeed {
		shape.RewardFraction = 0.8
	}
	for i, m := range models {
		tr := standin.NewTrainer(standin.TrainerSettings{
			Model: m, Host: host, Prefix: batchPrefix, Seed: seed*10 + uint64(i), Shape: shape,
		}, s.store, func() []string { return addrs })
		trainers = append(trainers, tr)
		wg.Go(func() { tr.Run(ctx, time.Now()) })
	}
	wg.Go(func() { s.sendBids(ctx, seed) })
	if seed >= firstCrashSeed {
		wg.Go(func() { s.sendCrashing(ctx) })
	}
	if seed >= firstStreamSeed {
		wg.Go(func() { s.sendStreams(ctx, seed) })
	}
	s.injectFaults(ctx, seed)
	wg.Wait()
	s.clearFaults()
	s.checkRun(t, trainers)
}

// injectFaults injects one fault after another; some overlap.
func (s *soak) injectFaults(ctx context.Context, seed uint64) {
	faults := []func(){
		s.killOne, s.freezeOne, s.stopOne, s.storeDown, s.storeBusy, s.storeLost, s.storeSlow, s.store.DropHistory, s.targetFault, s.delayOrders,
	}
	if seed >= firstLinkSeed {
		faults = append(faults, s.targetLink, s.storeLink)
	}
	if seed >= firstCrashSeed {
		faults = append(faults, s.crashTarget)
	}
	if seed >= firstConfigSeed {
		faults = append(faults, s.changeConfig, s.changeConfig, s.expireTargets)
	}
	if seed >= firstEndlessSeed {
		faults = append(faults, s.answerEndlessly, s.answerEndlessly)
	}
	if seed >= firstStreamSeed {
		faults = append(faults, s.repeatAnswers, s.repeatAnswers, s.stopSeries, s.stopSeries, s.failWithPromise)
	}
	if seed >= firstMisbehavingSeed {
		faults = append(faults, s.misbehave, s.misbehave, s.misbehave)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		wg.Go(faults[s.intN(len(faults))])
		select {
		case <-ctx.Done():
		case <-time.After(s.duration(300, 1800)):
		}
	}
}

func (s *soak) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *soak) duration(low, high int) time.Duration {
	return time.Duration(low+s.intN(high-low)) * time.Millisecond
}

// claimEntry picks an entry for a fault, the coordinator half of the time. At most two entries are
// down at a time, so that at least two stay up.
func (s *soak) claimEntry() *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.down) >= 2 {
		return nil
	}
	e := s.entries[s.random.IntN(len(s.entries))]
	if c := s.coordinator(); c != nil && s.random.IntN(2) == 0 {
		e = c
	}
	if s.down[e] {
		return nil
	}
	s.down[e] = true
	return e
}

func (s *soak) releaseEntry(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.down, e)
}

func (s *soak) killOne() {
	if e := s.claimEntry(); e != nil {
		e.kill()
		time.Sleep(s.duration(100, 3000))
		e.start()
		s.releaseEntry(e)
	}
}

func (s *soak) freezeOne() {
	if e := s.claimEntry(); e != nil {
		e.signal(syscall.SIGSTOP)
		time.Sleep(s.duration(500, 4000))
		e.signal(syscall.SIGCONT)
		s.releaseEntry(e)
	}
}

func (s *soak) stopOne() {
	if e := s.claimEntry(); e != nil {
		e.signal(syscall.SIGTERM)
		<-e.done
		e.start()
		s.releaseEntry(e)
	}
}

func (s *soak) storeFault(f standin.StoreFaults, low, high int) {
	s.store.SetFaults(f)
	time.Sleep(s.duration(low, high))
	s.store.SetFaults(standin.StoreFaults{})
}

func (s *soak) storeDown() { s.storeFault(standin.StoreFaults{Down: true}, 300, 3500) }
func (s *soak) storeBusy() { s.storeFault(standin.StoreFaults{Busy: true}, 300, 3500) }
func (s *soak) storeSlow() {
	s.storeFault(standin.StoreFaults{ResponseDelay: 250 * time.Millisecond}, 500, 3000)
}
func (s *soak) storeLost() {
	s.storeFault(standin.StoreFaults{DropResponseEvery: 2, DroppedWriteDelay: s.duration(0, 1500)}, 500, 3000)
}

func (s *soak) targetFault() {
	targets := append(append([]*standin.Engine{}, s.engines...), s.plainTargets...)
	e := targets[s.intN(len(targets))]
	faults := []standin.EngineFaults{
		{AbortAfterEvents: 5}, {AtCapacity: true}, {Unresponsive: true}, {WrongRequestID: true}, {SlowFactor: 4}, {Status: http.StatusInternalServerError},
	}
	s.disturbTarget(e, faults[s.intN(len(faults))])
}

// disturbTarget lets a target have faults for a while.
func (s *soak) disturbTarget(e *standin.Engine, f standin.EngineFaults) {
	e.SetFaults(f)
	time.Sleep(s.duration(500, 3000))
	e.SetFaults(standin.EngineFaults{})
}

func (s *soak) delayOrders() {
	delay := s.duration(500, 3000)
	for _, e := range s.engines[:2] {
		e.SetFaults(standin.EngineFaults{OrderDelay: delay})
	}
	time.Sleep(s.duration(500, 3000))
	for _, e := range s.engines[:2] {
		e.SetFaults(standin.EngineFaults{})
	}
}

// disturb slows a link, holds it in one or both directions, or resets it.
func (s *soak) disturb(p *tcpProxy) {
	faults := []linkFaults{
		{HoldUp: true}, {HoldDown: true}, {HoldUp: true, HoldDown: true}, {Delay: s.duration(20, 300)}, {},
	}
	p.setFaults(faults[s.intN(len(faults))])
	time.Sleep(s.duration(300, 3500))
	if s.intN(2) == 0 {
		p.reset()
	}
	p.setFaults(linkFaults{})
}

func (s *soak) targetLink() {
	links := append(append([]*tcpProxy{}, s.engineLinks...), s.plainLinks...)
	s.disturb(links[s.intN(len(links))])
}

func (s *soak) storeLink() { s.disturb(s.entries[s.intN(len(s.entries))].storeLink) }

func (s *soak) clearFaults() {
	for _, p := range append(append([]*tcpProxy{}, s.engineLinks...), s.plainLinks...) {
		p.setFaults(linkFaults{})
	}
	for _, e := range s.entries {
		e.storeLink.setFaults(linkFaults{})
	}
	s.store.SetFaults(standin.StoreFaults{})
	for _, e := range append(append([]*standin.Engine{}, s.engines...), s.plainTargets...) {
		e.SetFaults(standin.EngineFaults{})
	}
}

// sendBids sends bids, each with an id of its own.
func (s *soak) sendBids(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		e := s.entries[n%len(s.entries)]
		id := fmt.Sprintf("bid-%d-%d", seed, n)
		wg.Go(func() {
			status, answer := standin.Call(context.WithoutCancel(ctx), e.callerAddr, http.MethodPost, host, "/bids/x", id, []byte("100"))
			s.mu.Lock()
			defer s.mu.Unlock()
			if isHeld(answer) {
				s.heldBids[id] = string(answer)
			}
			s.bids[id] = append(s.bids[id], status)
		})
		time.Sleep(40 * time.Millisecond)
	}
}

// checkRun checks what must hold over the whole run.
func (s *soak) checkRun(t *testing.T, trainers []*standin.Trainer) {
	t.Helper()
	steps, completed := 0, 0
	for _, tr := range trainers {
		for _, st := range tr.Steps() {
			steps++
			if st.Completed {
				completed++
			}
			for _, f := range st.Faults {
				t.Errorf("%s step %d: %s", st.Model, st.Step, f)
			}
		}
	}
	t.Logf("%d steps, %d completed, %d bids", steps, completed, len(s.bids))
	for id, statuses := range s.bids {
		n := countRuns(s.plainTargets, id)
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
		if n > 0 && promisesNotRun(statuses[0]) {
			t.Errorf("%s was refused as not run with %d, but ran", id, statuses[0])
		}
	}
	checkWeightOrders(t, s.deployment)
	s.checkCrashes(t)
	s.checkConfigs(t)
	s.checkAccepted(t)
	s.checkMemory(t)
	s.checkStreams(t)
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkAccepted reads every batch in the store at an entry that is up: no batch may be lost, and
// none may list an item twice.
func (s *soak) checkAccepted(t *testing.T) {
	t.Helper()
	for _, id := range s.store.Names("currantford-batches") {
		var sub struct {
			Items []struct {
				ID      string            `json:"id"`
				Headers map[string]string `json:"headers"`
				Reward  *struct{}         `json:"reward"`
			} `json:"items"`
		}
		if err := json.Unmarshal(s.store.Spec("currantford-batches", id), &sub); err != nil {
			t.Fatal(err)
		}
		items := map[string]item{}
		for _, it := range sub.Items {
			items[it.ID] = item{ID: it.ID, Headers: it.Headers}
			if it.Reward != nil {
				items[it.ID] = item{ID: it.ID, Headers: it.Headers, Reward: standin.NewRewardCall(it.ID)}
			}
		}
		eventually(t, "complete read of "+id, func() bool {
			for _, e := range s.entries {
				p, r, err := e.readResults(id, 0, 0)
				if err != nil || r.status != http.StatusOK {
					continue
				}
				seen := map[string]bool{}
				for _, res := range p.Results {
					if seen[res.ID] {
						t.Errorf("%s: item %s is listed twice", id, res.ID)
					}
					seen[res.ID] = true
					if res.State == "done" {
						s.checkScore(items[res.ID], res)
					}
				}
				return p.Total == len(sub.Items)
			}
			return false
		})
	}
}
