package cftrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/platform/standin"
)

const (
	// readyWait bounds the wait for a group's entries.
	readyWait = 20 * time.Second
	// seedPause lets a seed's last steps end before the next begins.
	seedPause = 500 * time.Millisecond
)

type (
	// Report is what a run came to.
	Report struct {
		Plan   Plan          `json:"plan"`
		Groups []GroupReport `json:"groups"`
	}

	// GroupReport is one group's part of it.
	GroupReport struct {
		Name  string               `json:"name"`
		Steps []standin.StepReport `json:"steps"`
		Calls []standin.CallReport `json:"calls"`
		// StoreCalls counts the calls to the store by method and kind.
		StoreCalls  map[string]int `json:"store_calls"`
		WeightLoads int            `json:"weight_loads"`
		ItemRuns    int            `json:"item_runs"`
	}
)

// Run plays a plan on all groups at the same time, one seed after the other.
func Run(ctx context.Context, p Plan, groups []Group, log *zap.Logger) (Report, error) {
	r := Report{Plan: p, Groups: make([]GroupReport, len(groups))}
	errs := make([]error, len(groups))
	var wg sync.WaitGroup
	for i, g := range groups {
		wg.Go(func() { r.Groups[i], errs[i] = runGroup(ctx, p, g, log) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return r, err
		}
	}
	return r, nil
}

func runGroup(ctx context.Context, p Plan, g Group, log *zap.Logger) (GroupReport, error) {
	r := GroupReport{Name: g.Name}
	site, err := standin.StartDeployment(p.Site, g.StoreAddr)
	if err != nil {
		return r, eris.Wrapf(err, "stand-ins of group %s", g.Name)
	}
	defer func() { _ = site.Close() }()
	if err := waitReady(ctx, g); err != nil {
		return r, err
	}
	log.Info("group_ready", zap.String("group", g.Name), zap.Strings("entries", g.Entries))
	for _, seed := range p.Seeds {
		steps, calls := runSeed(ctx, p, g, site, seed)
		r.Steps = append(r.Steps, steps...)
		r.Calls = append(r.Calls, calls...)
		log.Info("seed_played", zap.String("group", g.Name), zap.Uint64("seed", seed), zap.Int("steps", len(steps)), zap.Int("calls", len(calls)))
		time.Sleep(seedPause)
	}
	r.StoreCalls = site.Store.Calls()
	for _, e := range site.Engines {
		r.WeightLoads += len(e.Orders())
		r.ItemRuns += len(e.Runs())
	}
	return r, nil
}

// waitReady waits until every entry answers requests by the configuration.
func waitReady(ctx context.Context, g Group) error {
	deadline := time.Now().Add(readyWait)
	for _, e := range g.Entries {
		for {
			status, _ := standin.Call(ctx, e, http.MethodGet, standin.DeploymentHost, "/no/route", "probe", nil)
			if status == http.StatusNotFound {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return eris.Wrapf(cf.ErrUnavailable, "entry %s of group %s is not ready", e, g.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func runSeed(ctx context.Context, p Plan, g Group, site *standin.Deployment, seed uint64) ([]standin.StepReport, []standin.CallReport) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Seconds*float64(time.Second)))
	defer cancel()
	start := time.Now()
	var wg sync.WaitGroup
	var trainers []*standin.Trainer
	for i, m := range p.Site.Models {
		t := standin.NewTrainer(standin.TrainerSettings{
			Model: m, Host: standin.DeploymentHost, Prefix: standin.BatchPrefix, Seed: seed*100 + uint64(i), Shape: p.Step,
		}, site.Store, func() []string { return g.Entries })
		trainers = append(trainers, t)
		wg.Go(func() { t.Run(ctx, start) })
	}
	var calls []standin.CallReport
	var mu sync.Mutex
	wg.Go(func() {
		requests(ctx, p, g, seed, start, func(c standin.CallReport) {
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, c)
		})
	})
	wg.Go(func() { faults(ctx, p.Faults, site, start) })
	wg.Wait()
	var steps []standin.StepReport
	for _, t := range trainers {
		steps = append(steps, t.Steps()...)
	}
	return steps, calls
}

// requests sends single requests at the plan's rate and waits for all of them.
func requests(ctx context.Context, p Plan, g Group, seed uint64, start time.Time, done func(standin.CallReport)) {
	if p.RequestsPerS <= 0 {
		return
	}
	random := rand.New(rand.NewPCG(seed, 2))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		gap := time.Duration(random.ExpFloat64() / p.RequestsPerS * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		entry := g.Entries[random.IntN(len(g.Entries))]
		wg.Go(func() {
			id := fmt.Sprintf("r-%d-%d", seed, n)
			began := time.Now()
			status, _ := standin.Call(context.WithoutCancel(ctx), entry, http.MethodPost, standin.DeploymentHost, standin.PlainPrefix+"x", id, []byte(id))
			done(standin.CallReport{At: millis(began.Sub(start)), TookMs: millis(time.Since(began)), Status: status, Tries: 1})
		})
	}
}

// faults injects the plan's faults; those of one system end together.
func faults(ctx context.Context, fs []Fault, site *standin.Deployment, start time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, f := range fs {
		wg.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(start.Add(f.At.Duration()))):
			}
			heal := inject(f, site)
			select {
			case <-ctx.Done():
			case <-time.After(f.For.Duration()):
			}
			heal()
		})
	}
}

// inject begins a fault and returns what ends it.
func inject(f Fault, site *standin.Deployment) func() {
	switch f.Kind {
	case StoreDown:
		site.Store.SetFaults(standin.StoreFaults{Down: true})
	case StoreSlow:
		site.Store.SetFaults(standin.StoreFaults{ResponseDelay: slowStore * time.Millisecond})
	case StoreResponseLost:
		site.Store.SetFaults(standin.StoreFaults{DropResponseEvery: max(f.DropResponseEvery, 1)})
	default:
		targets := site.Engines
		if f.Kind == PlainAtCapacity {
			targets = site.PlainTargets
		}
		targets = targets[:min(max(f.Count, 1), len(targets))]
		for _, e := range targets {
			e.SetFaults(engineFault(f))
		}
		return func() {
			for _, e := range targets {
				e.SetFaults(standin.EngineFaults{})
			}
		}
	}
	return func() { site.Store.SetFaults(standin.StoreFaults{}) }
}

func engineFault(f Fault) standin.EngineFaults {
	switch f.Kind {
	case EngineSlow:
		return standin.EngineFaults{SlowFactor: f.SlowFactor}
	case EngineAborts:
		return standin.EngineFaults{AbortAfterEvents: 5}
	default:
		return standin.EngineFaults{AtCapacity: true}
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
