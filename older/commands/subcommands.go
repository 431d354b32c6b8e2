package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/io/cflog"
	"currantford/older/cfconfig"
	"currantford/older/cfentry"
	"currantford/testbed/cfengine"
	"currantford/testbed/cfload"
	"currantford/testbed/cfobjects"
	"currantford/testbed/cfstandin"
)

type (
	entryCommand struct {
		SiteOption
		ID string `long:"id" required:"true" description:"this entry's id in the settings" value-name:"ID"`
	}

	checkCommand struct {
		SiteOption
	}

	engineCommand struct {
		SiteOption
		ID string `long:"id" required:"true" description:"this engine's id in the settings" value-name:"ID"`
	}

	platformCommand struct {
		SiteOption
	}

	serviceCommand struct {
		SiteOption
		Name string `long:"name" required:"true" description:"this service's name in the settings" value-name:"NAME"`
	}

	scorerCommand struct {
		SiteOption
	}

	trainerCommand struct {
		SiteOption
		Name      string `long:"name" required:"true" description:"this trainer's name in the settings" value-name:"NAME"`
		Bootstrap string `long:"bootstrap" description:"an entry URL to ask for the entry list; the first entry when empty" value-name:"URL"`
		Report    string `long:"report" description:"write the report (JSON) here as well as to stdout" value-name:"FILE"`
	}

	loadCommand struct {
		SiteOption
		Plan          string   `long:"plan" description:"experiment plan (JSON); the embedded plan when empty" value-name:"FILE"`
		Journal       string   `long:"journal" default:"journal.jsonl" description:"per-request journal (JSON lines)" value-name:"FILE"`
		TrainerReport string   `long:"trainer-report" description:"wait up to --wait for this trainer report and add it to the summary" value-name:"FILE"`
		Wait          int      `long:"wait" default:"60" description:"seconds to wait for the trainer report" value-name:"SECONDS"`
		Logs          []string `long:"logs" description:"log files whose decision lines are counted (repeatable, globs allowed)" value-name:"GLOB"`
	}
)

func (c *checkCommand) Execute(_ []string) error {
	if c.Config == "" {
		return eris.New("--config is required")
	}
	_, err := c.loadSite()
	var faults cfconfig.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			fmt.Println(f)
		}
		return eris.Errorf("%d faults in %s", len(faults), c.Config)
	}
	if err != nil {
		return err
	}
	fmt.Printf("%s: ok\n", c.Config)
	return nil
}

func (c *entryCommand) Execute(_ []string) error {
	site, err := c.loadSite()
	if err != nil {
		return err
	}
	log := cflog.New("entry", c.ID)
	defer func() { _ = log.Sync() }()
	e, err := cfentry.New(site, cf.EntryID(c.ID), log)
	if err != nil {
		return err
	}
	self, _ := site.Entry(cf.EntryID(c.ID))
	l, err := net.Listen("tcp", self.Addr)
	if err != nil {
		return eris.Wrapf(err, "listen %s", self.Addr)
	}
	e.Run(context.Background())
	errc := make(chan error, 1)
	go func() { errc <- e.Serve(l) }()
	log.Info("serving", zap.String("addr", self.Addr), zap.String("failure_domain", string(self.Domain)))
	ctx, stop := signalContext()
	defer stop()
	select {
	case err := <-errc:
		return err
	case <-ctx.Done():
	}
	log.Info("stopping", zap.Int64("drain_ms", int64(site.Drain)))
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err = e.Shutdown(shutdownCtx)
	log.Info("stopped")
	return err
}

func (c *engineCommand) Execute(_ []string) error {
	site, err := c.loadSite()
	if err != nil {
		return err
	}
	row, err := site.Engine(cf.EngineID(c.ID))
	if err != nil {
		return err
	}
	log := cflog.New("engine", c.ID)
	e := cfengine.New(cfengine.Settings{ID: row.ID, Model: row.Model, ReportInterval: row.LoadLag, SwapDelay: row.SwapDelay, CheckFencing: row.CheckFencing})
	defer func() { _ = e.Close() }()
	markLeaving := registerInstance(context.Background(), site, c.ID, cfentry.RoleEngine, row.Addr, row.Domain)
	return serveUntilSignal(row.Addr, e.Handler(), site.Drain, markLeaving, log)
}

func (c *platformCommand) Execute(_ []string) error {
	site, err := c.loadSite()
	if err != nil {
		return err
	}
	log := cflog.New("platform", "platform")
	srv := cfobjects.NewServer(cfobjects.ServerSettings{InstanceLag: site.Platform.InstanceLag})
	return serveUntilSignal(site.Platform.Addr, srv.Handler(), 0, nil, log)
}

func (c *serviceCommand) Execute(_ []string) error {
	site, err := c.loadSite()
	if err != nil {
		return err
	}
	row, err := site.Service(c.Name)
	if err != nil {
		return err
	}
	log := cflog.New("service", c.Name)
	return serveUntilSignal(row.Addr, cfstandin.NewService(row.Name, row.Idempotent).Handler(), 0, nil, log)
}

func (c *scorerCommand) Execute(_ []string) error {
	site, err := c.loadSite()
	if err != nil {
		return err
	}
	return serveUntilSignal(site.Scorer.Addr, cfstandin.ScorerHandler(), 0, nil, cflog.New("scorer", "scorer"))
}

func (c *trainerCommand) Execute(_ []string) error {
	site, err := c.loadSite()
	if err != nil {
		return err
	}
	row, err := site.Trainer(c.Name)
	if err != nil {
		return err
	}
	if c.Bootstrap == "" {
		c.Bootstrap = "http://" + site.Entries[0].Addr
	}
	log := cflog.New("trainer", c.Name)
	ctx, stop := signalContext()
	defer stop()
	report, err := cfstandin.RunTrainer(ctx, row, c.Bootstrap, log)
	out, _ := json.Marshal(report)
	fmt.Println(string(out))
	if c.Report != "" {
		if werr := os.WriteFile(c.Report, append(out, '\n'), 0o644); werr != nil {
			return eris.Wrap(werr, "write report")
		}
	}
	return err
}

func (c *loadCommand) Execute(_ []string) error {
	site, err := c.loadSite()
	if err != nil {
		return err
	}
	plan, err := cfload.LoadPlan(c.Plan)
	if err != nil {
		return err
	}
	f, err := os.Create(c.Journal)
	if err != nil {
		return eris.Wrap(err, "create journal")
	}
	defer f.Close()
	ctx, stop := signalContext()
	defer stop()
	sum, err := cfload.Run(ctx, plan, site, f)
	if err != nil {
		return err
	}
	if c.TrainerReport != "" {
		sum.Trainer = waitForReport(ctx, c.TrainerReport, time.Duration(c.Wait)*time.Second)
	}
	var paths []string
	for _, g := range c.Logs {
		m, _ := filepath.Glob(g)
		paths = append(paths, m...)
	}
	sum.Decisions = cfload.CountDecisions(paths)
	out, _ := json.MarshalIndent(sum, "", "  ")
	fmt.Println(string(out))
	return nil
}

func waitForReport(ctx context.Context, path string, wait time.Duration) *cfstandin.TrainerReport {
	deadline := time.Now().Add(wait)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		data, err := os.ReadFile(path)
		var r cfstandin.TrainerReport
		if err == nil && json.Unmarshal(data, &r) == nil {
			return &r
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}
