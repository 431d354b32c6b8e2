// Package commands implements the command line of currantford: flags, setup, start and stop. The
// logic is in the cf* packages.
//
// Usage:
//
//	currantford entry --id entry-1 [--config site.json]
//	currantford check --config site.json
//	currantford standin engine|platform|service|scorer|trainer ...
//	currantford load [--plan plan.json] [--config site.json]
//	currantford trial --plan FILE --group NAME=STORE=ENTRY[,ENTRY]
package commands

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/older/cfconfig"
	"currantford/older/cfentry"
	"currantford/older/cfplatform"
)

// shutdownTimeout limits a graceful shutdown, including the drain time.
const shutdownTimeout = 30 * time.Second

type (
	// SiteOption is the flag for the settings file, which most commands have.
	SiteOption struct {
		Config string `long:"config" description:"site settings (JSON); the embedded default site when empty" value-name:"FILE"`
	}
)

// Execute parses args and runs the command that they name. It returns the exit code.
func Execute(args []string) int {
	p := flags.NewParser(nil, flags.Default)
	p.Name = "currantford"
	p.LongDescription = "Currantford is a rollout service for reinforcement learning: entry instances route live " +
		"requests to model engines and plain services, and deliver scored rollout samples to trainers once."
	mustAdd(p.AddCommand("entry", "Run an entry instance",
		"Run an entry instance: caller API, routing, pools, peers. Stops gracefully on SIGTERM.", &entryCommand{}))
	mustAdd(p.AddCommand("check", "Validate a settings document",
		"Validate a settings document and print each fault with its JSON path. Exits 1 on any fault.", &checkCommand{}))
	mustAdd(p.AddCommand("load", "Run a load and experiment plan",
		"Send live completions and plain-service calls to running entries, inject faults, write a journal and print a report.", &loadCommand{}))
	mustAdd(p.AddCommand("trial", "Compare groups of entry processes under one plan",
		"Run the platform's stand-ins for one or two groups of entry processes, apply a plan's load and faults to each group, and write a report.", &trialCommand{}))
	standin, err := p.AddCommand("standin", "Run a stand-in of a system currantford serves",
		"Run one stand-in process: engine, platform, service, scorer or trainer.", &struct{}{})
	mustAdd(standin, err)
	standin.SubcommandsOptional = false
	mustAdd(standin.AddCommand("engine", "Run a model engine stand-in", "Run a model engine stand-in (OpenAI-compatible completions).", &engineCommand{}))
	mustAdd(standin.AddCommand("platform", "Run the object API stand-in", "Run the platform's object API and instance list stand-in.", &platformCommand{}))
	mustAdd(standin.AddCommand("service", "Run a plain service stand-in", "Run a plain service stand-in that records every call.", &serviceCommand{}))
	mustAdd(standin.AddCommand("scorer", "Run the scoring service stand-in", "Run the scoring service stand-in.", &scorerCommand{}))
	mustAdd(standin.AddCommand("trainer", "Run a trainer stand-in", "Run a trainer stand-in to its last step and print its report.", &trainerCommand{}))
	if _, err := p.ParseArgs(args); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return 0
		}
		if !errors.As(err, &fe) {
			_, _ = os.Stderr.WriteString("currantford: " + err.Error() + "\n")
		}
		return 1
	}
	return 0
}

func mustAdd(_ *flags.Command, err error) {
	if err != nil {
		panic(err)
	}
}

// loadSite loads the settings. The error lists all validation errors.
func (o SiteOption) loadSite() (cfconfig.Site, error) {
	return cfconfig.Load(o.Config)
}

// signalContext returns a context that is cancelled on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// serveUntilSignal serves h on addr until SIGTERM or SIGINT, then shuts down after all requests in
// flight. If markLeaving is set, it is called first, and h is served for the drain time: the
// instance list is delayed, and its readers need this time to stop sending requests.
func serveUntilSignal(addr string, h http.Handler, drain cf.Millis, markLeaving func(context.Context), log *zap.Logger) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen %s", addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	errc := make(chan error, 1)
	go func() { errc <- srv.Serve(l) }()
	log.Info("serving", zap.String("addr", addr))
	ctx, stop := signalContext()
	defer stop()
	select {
	case err := <-errc:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	log.Info("stopping", zap.Int64("drain_ms", int64(drain)))
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if markLeaving != nil {
		markLeaving(shutdownCtx)
		time.Sleep(drain.Duration())
	}
	err = srv.Shutdown(shutdownCtx)
	log.Info("stopped")
	return err
}

// registerInstance writes a stand-in's element of the instance list at once and every second until
// ctx ends. The function that it returns marks the instance as leaving.
func registerInstance(ctx context.Context, site cfconfig.Site, id, role, addr string, domain cf.FailureDomain) func(context.Context) {
	store := cfplatform.NewClient(site.PlatformURL())
	writeRow := func(ctx context.Context, state string) {
		row := cfentry.Instance{ID: id, Role: role, Addr: addr, Domain: domain, State: state, Heartbeat: cf.Now()}
		_, _ = cfplatform.PutJSON(ctx, store, cfplatform.KindInstance, id, row, cf.AnyVersion)
	}
	heartbeatCtx, cancel := context.WithCancel(ctx)
	go func() {
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for {
			writeRow(heartbeatCtx, cfentry.StateLive)
			select {
			case <-heartbeatCtx.Done():
				return
			case <-t.C:
			}
		}
	}()
	return func(ctx context.Context) {
		cancel()
		writeRow(ctx, cfentry.StateLeaving)
	}
}
