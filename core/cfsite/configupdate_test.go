package cfsite_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	cf "currantford"
	"currantford/core/cfsite"
	"currantford/testbed/cfstandin"
)

// manyRoutes returns a configuration of n routes; different salts give different routes.
func manyRoutes(version cfsite.ConfigVersion, n int, salt uint64) cfsite.Config {
	random := rand.New(rand.NewPCG(salt, 1))
	c := cfsite.Config{Version: version}
	for range n {
		name := fmt.Sprintf("%08x", random.Uint32())
		c.Routes = append(c.Routes, cfsite.Route{
			Name: name, Host: name + ".example", Prefix: "/" + name + "/", Kind: cfsite.KindIdempotent,
			Split: []cfsite.Share{{Service: "log", Weight: 1}}, Timeout: 800, MaxAttempts: 2,
		})
	}
	return c
}

func apply(t *testing.T, s *cfsite.Site, rev cf.Revision, c cfsite.Config) {
	t.Helper()
	if _, err := s.ApplyConfig(cfstandin.Record("main", rev, c)); err != nil {
		t.Fatal(err)
	}
}

// applyNext applies the next answer of source to follower; it returns the answer.
func applyNext(t *testing.T, source, follower *cfsite.Site) *cfsite.ConfigUpdate {
	t.Helper()
	update, err := source.ConfigUpdate(follower.ConfigState())
	if err != nil {
		t.Fatal(err)
	}
	if update == nil {
		return nil
	}
	if _, err := follower.ApplyConfigUpdate(*update); err != nil {
		t.Fatal(err)
	}
	return update
}

// TestConfigurationArrivesDespiteLostAnswers checks that an instance that receives configurations
// in parts, misses answers, sometimes watches the store itself and changes its source always ends
// at the newest configuration, and never goes back to an older one.
func TestConfigurationArrivesDespiteLostAnswers(t *testing.T) {
	for seed := range uint64(24) {
		random := rand.New(rand.NewPCG(seed, 7))
		sources := []*cfsite.Site{cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})}
		follower := cfsite.New(cfstandin.Codec{})
		config, rev, lastVersion := manyRoutes(1, 1+random.IntN(1600), seed), cf.Revision(1), cfsite.ConfigVersion(0)
		step := func() {
			state := follower.ConfigState()
			update, err := sources[random.IntN(2)].ConfigUpdate(state)
			if err != nil {
				t.Fatal(err)
			}
			if update == nil || random.IntN(4) == 0 {
				return // the answer is lost
			}
			if _, err := follower.ApplyConfigUpdate(*update); err != nil && !errors.Is(err, cfsite.ErrUpdateRejected) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if c := follower.Config(); c != nil {
				if c.Version < lastVersion {
					t.Fatalf("seed %d: version %d after %d", seed, c.Version, lastVersion)
				}
				lastVersion = c.Version
			}
		}
		for range 60 {
			switch random.IntN(6) {
			case 0:
				config.Routes = slices.Clone(config.Routes)
				config.Routes[random.IntN(len(config.Routes))].Timeout++
				config.Version++
				rev += 1 + cf.Revision(random.IntN(5))
				apply(t, sources[0], rev, config)
			case 1:
				apply(t, sources[1], rev, config)
			case 2:
				if random.IntN(4) == 0 {
					apply(t, follower, rev, config)
				}
			case 3:
				if random.IntN(4) == 0 {
					sources[random.IntN(2)] = cfsite.New(cfstandin.Codec{}) // restarted
				}
			default:
				step()
			}
		}
		apply(t, sources[0], rev, config)
		for range 100 {
			if applyNext(t, sources[0], follower) == nil {
				break
			}
		}
		if c := follower.Config(); c == nil || c.Version != config.Version || len(c.Routes) != len(config.Routes) {
			t.Errorf("seed %d: not at version %d", seed, config.Version)
		}
	}
}

// TestConfigurationArrivesDuringFrequentChanges checks that an instance without a configuration
// receives one even while a configuration of thousands of routes changes with every other answer.
func TestConfigurationArrivesDuringFrequentChanges(t *testing.T) {
	source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
	config := manyRoutes(1, 5000, 1)
	answers, largest := 0, 0
	for ; follower.Config() == nil && answers < 100; answers++ {
		config.Version++
		if answers%2 == 0 {
			config.Routes = slices.Clone(config.Routes)
			config.Routes[answers].Timeout++
			apply(t, source, cf.Revision(10+answers), config)
		}
		largest = max(largest, len(applyNext(t, source, follower).Data))
	}
	if answers > 8 || largest > 32<<10 {
		t.Errorf("the follower has a configuration only after %d answers of at most %d bytes", answers, largest)
	}
}

// TestInvalidConfigurationUpdateIsReplaced checks that an update that is damaged, or was made for
// another base, is followed by the full configuration.
func TestInvalidConfigurationUpdateIsReplaced(t *testing.T) {
	source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
	apply(t, source, 1, manyRoutes(1, 100, 1))
	apply(t, follower, 1, manyRoutes(1, 100, 2)) // as if the store had returned another content
	apply(t, source, 2, manyRoutes(2, 100, 1))
	update, err := source.ConfigUpdate(follower.ConfigState())
	if err != nil || update.Base != 1 {
		t.Fatalf("update %+v, error %v", update, err)
	}
	if _, err := follower.ApplyConfigUpdate(*update); err == nil {
		t.Fatal("an update for another base is applied")
	}
	if update = applyNext(t, source, follower); update == nil || update.Base != 0 || follower.Config().Version != 2 || follower.ConfigState().Rev != 2 {
		t.Errorf("update %+v, at version %d", update, follower.Config().Version)
	}
}

// TestRewrittenConfigurationIsSentOnce checks that a configuration that is written again unchanged,
// or with an older version, does not make instances request it for ever.
func TestRewrittenConfigurationIsSentOnce(t *testing.T) {
	source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
	apply(t, source, 1, manyRoutes(5, 10, 1))
	applyNext(t, source, follower)
	apply(t, source, 2, manyRoutes(5, 10, 1))
	applyNext(t, source, follower)
	if update := applyNext(t, source, follower); update != nil || follower.Config().Version != 5 {
		t.Errorf("sent again: %+v", update)
	}
	behind := cfsite.New(cfstandin.Codec{})
	apply(t, behind, 3, manyRoutes(4, 10, 1))
	update, err := behind.ConfigUpdate(follower.ConfigState())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := follower.ApplyConfigUpdate(*update); !errors.Is(err, cfsite.ErrUpdateRejected) || follower.Config().Version != 5 {
		t.Errorf("update to an older version: error %v, at version %d", err, follower.Config().Version)
	}
}

// BenchmarkConfigUpdate measures the cost of a change for an instance that sends updates to a
// hundred others.
func BenchmarkConfigUpdate(b *testing.B) {
	config := manyRoutes(1, 1400, 1)
	source := cfsite.New(cfstandin.Codec{})
	records := make([]cf.Record, 2)
	for i := range records {
		config.Version = cfsite.ConfigVersion(i + 1)
		records[i] = cfstandin.Record("main", cf.Revision(i+1), config)
		if _, err := source.ApplyConfig(records[i]); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		if update, err := source.ConfigUpdate(cfsite.ConfigState{Rev: 1}); err != nil || update == nil {
			b.Fatal(err)
		}
	}
}
