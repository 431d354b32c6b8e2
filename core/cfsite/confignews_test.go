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

// manyRoutes returns a configuration of n routes; salt makes others of them.
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

// hear lets follower take one answer of source; it returns the answer.
func hear(t *testing.T, source, follower *cfsite.Site) *cfsite.ConfigUpdate {
	t.Helper()
	news, err := source.ConfigUpdate(follower.ConfigState())
	if err != nil {
		t.Fatal(err)
	}
	if news == nil {
		return nil
	}
	if _, err := follower.ApplyConfigUpdate(*news); err != nil {
		t.Fatal(err)
	}
	return news
}

// An instance that hears of configurations in parts, misses answers, watches the store itself
// now and then and changes whom it asks always ends at the newest, and never goes back.
func TestConfigurationsArriveWhateverIsLost(t *testing.T) {
	for seed := range uint64(24) {
		random := rand.New(rand.NewPCG(seed, 7))
		sources := []*cfsite.Site{cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})}
		follower := cfsite.New(cfstandin.Codec{})
		config, rev, before := manyRoutes(1, 1+random.IntN(1600), seed), cf.Revision(1), cfsite.ConfigVersion(0)
		step := func() {
			held := follower.ConfigState()
			news, err := sources[random.IntN(2)].ConfigUpdate(held)
			if err != nil {
				t.Fatal(err)
			}
			if news == nil || random.IntN(4) == 0 {
				return // the answer is lost
			}
			if _, err := follower.ApplyConfigUpdate(*news); err != nil && !errors.Is(err, cfsite.ErrUpdateRejected) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if c := follower.Config(); c != nil {
				if c.Version < before {
					t.Fatalf("seed %d: version %d after %d", seed, c.Version, before)
				}
				before = c.Version
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
					sources[random.IntN(2)] = cfsite.New(cfstandin.Codec{}) // started again
				}
			default:
				step()
			}
		}
		apply(t, sources[0], rev, config)
		for range 100 {
			if hear(t, sources[0], follower) == nil {
				break
			}
		}
		if c := follower.Config(); c == nil || c.Version != config.Version || len(c.Routes) != len(config.Routes) {
			t.Errorf("seed %d: not at version %d", seed, config.Version)
		}
	}
}

// Load: a configuration of thousands of routes that changes with each answer. An instance that
// has none must get one all the same.
func TestConfigurationArrivesInAStormOfChanges(t *testing.T) {
	source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
	config := manyRoutes(1, 5000, 1)
	answers, most := 0, 0
	for ; follower.Config() == nil && answers < 100; answers++ {
		config.Version++
		if answers%2 == 0 {
			config.Routes = slices.Clone(config.Routes)
			config.Routes[answers].Timeout++
			apply(t, source, cf.Revision(10+answers), config)
		}
		most = max(most, len(hear(t, source, follower).Data))
	}
	if answers > 8 || most > 32<<10 {
		t.Errorf("after %d answers of at most %d bytes it has one", answers, most)
	}
}

// News that are damaged, or made for another base, are followed by the whole configuration.
func TestDamagedConfigurationNewsAreReplaced(t *testing.T) {
	source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
	apply(t, source, 1, manyRoutes(1, 100, 1))
	apply(t, follower, 1, manyRoutes(1, 100, 2)) // as if the store had shown it something else
	apply(t, source, 2, manyRoutes(2, 100, 1))
	news, err := source.ConfigUpdate(follower.ConfigState())
	if err != nil || news.Base != 1 {
		t.Fatalf("news %+v, %v", news, err)
	}
	if _, err := follower.ApplyConfigUpdate(*news); err == nil {
		t.Fatal("news of another base are taken")
	}
	if news = hear(t, source, follower); news == nil || news.Base != 0 || follower.Config().Version != 2 || follower.ConfigState().Rev != 2 {
		t.Errorf("news %+v, at version %d", news, follower.Config().Version)
	}
}

// A configuration that is written once more unchanged, or with an older version, makes no
// instance ask for ever.
func TestRewrittenConfigurationIsToldOnce(t *testing.T) {
	source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
	apply(t, source, 1, manyRoutes(5, 10, 1))
	hear(t, source, follower)
	apply(t, source, 2, manyRoutes(5, 10, 1))
	hear(t, source, follower)
	if news := hear(t, source, follower); news != nil || follower.Config().Version != 5 {
		t.Errorf("told again: %+v", news)
	}
	behind := cfsite.New(cfstandin.Codec{})
	apply(t, behind, 3, manyRoutes(4, 10, 1))
	news, err := behind.ConfigUpdate(follower.ConfigState())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := follower.ApplyConfigUpdate(*news); !errors.Is(err, cfsite.ErrUpdateRejected) || follower.Config().Version != 5 {
		t.Errorf("an older version: %v, at version %d", err, follower.Config().Version)
	}
}

// Cost of a change for the one that tells a hundred others.
func BenchmarkConfigNews(b *testing.B) {
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
		if news, err := source.ConfigUpdate(cfsite.ConfigState{Rev: 1}); err != nil || news == nil {
			b.Fatal(err)
		}
	}
}
