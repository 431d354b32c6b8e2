// Package nodecommands implements the command line of the deployed processes: flags, setup, start
// and stop. The logic is in the cf* packages.
//
// Usage:
//
//	currantford-node entry --settings /etc/currantford/local.json
//	currantford-node standby --settings FILE
//	currantford-node check --settings FILE
//	currantford-node free --settings FILE --digest HEX
package nodecommands

import (
	"errors"
	stdlog "log"
	"net/http"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"currantford/core/cfquarantine"
	"currantford/io/cflog"
	"currantford/io/cfnode"
	"currantford/platform"
)

// maxIdleConnsPerTarget limits the idle connections to one target. It is the number of items that a
// model engine runs concurrently.
const maxIdleConnsPerTarget = 12

type (
	// SettingsOption is the flag for the settings file, which all commands have.
	SettingsOption struct {
		Settings string `long:"settings" env:"CURRANTFORD_NODE_FILE" required:"true" description:"settings of this process (JSON)" value-name:"FILE"`
	}

	entryCommand   struct{ SettingsOption }
	standbyCommand struct{ SettingsOption }
	checkCommand   struct{ SettingsOption }
	freeCommand    struct {
		SettingsOption
		Digest string `long:"digest" required:"true" description:"request_digest of the log lines" value-name:"HEX"`
	}
)

// Execute parses args and runs the command that they name. It returns the exit code.
func Execute(args []string) int {
	p := flags.NewParser(nil, flags.Default)
	p.Name = "currantford-node"
	p.LongDescription = "The processes of a currantford deployment."
	mustAdd(p.AddCommand("entry", "Run an entry instance",
		"Run an entry instance: it serves callers, calls targets, runs batches, and has the coordinator's duty while it holds that lease. Shuts down gracefully on SIGTERM.", &entryCommand{}))
	mustAdd(p.AddCommand("standby", "Run an idle process on an instance with a disk",
		"Run an idle process on an instance that has a disk. All persistent state is in the platform's store, so the process stores nothing.", &standbyCommand{}))
	mustAdd(p.AddCommand("check", "Check a settings file",
		"Check a settings file and print each fault with its JSON path. Exits 1 on any fault.", &checkCommand{}))
	mustAdd(p.AddCommand("free", "Release a request that is held",
		"Release a request that is held because targets crashed while they ran it, on all instances, by its digest. Exits 1 if the request is unknown.", &freeCommand{}))
	if _, err := p.ParseArgs(args); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return 0
		}
		if !errors.As(err, &fe) {
			_, _ = os.Stderr.WriteString("currantford-node: " + err.Error() + "\n")
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

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	_, err := cfnode.ReadSettings(c.Settings)
	return err
}

// Execute implements flags.Commander.
func (c *freeCommand) Execute([]string) error {
	s, err := cfnode.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	digest, err := cfquarantine.ParseDigest(c.Digest)
	if err != nil {
		return err
	}
	return cfnode.ReleaseRequest(s, digest)
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	signals := cfnode.CatchSignals()
	s, err := cfnode.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	log, out := cflog.NewStdout("entry", string(s.Entry))
	defer func() { _ = out.Close() }()
	stdlog.SetFlags(0)
	stdlog.SetOutput(cflog.NewLibraryWriter(log))
	defer stdlog.SetOutput(os.Stderr)
	reg := prometheus.NewRegistry()
	reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "currantford_log_lines_dropped_total", Help: "Log lines dropped because standard output was not read.",
	}, func() float64 { return float64(out.Dropped()) }))
	store := platform.NewStore(s.Store.Addr, reg)
	store.Log = log
	defer func() { _ = store.Close() }()
	targets := platform.NewTargets(maxIdleConnsPerTarget, reg)
	defer func() { _ = targets.Close() }()
	adapter := cfnode.Adapter{Store: store, Targets: targets, Codec: platform.Codec{}, Relay: platform.NewRelay(store)}
	if s.Control.Addr != "" {
		control := platform.NewControlPlane(s.Control.Addr, reg)
		defer func() { _ = control.Close() }()
		adapter.Metering, adapter.Scaling = control, control
	}
	node := cfnode.New(s, adapter, reg, log)
	cflog.ReportPanics(log, out, node.Role)
	callers := platform.NewCallerAPI(node.Ingress(), log)
	p, err := cfnode.StartProcess(s, node, cfnode.Handlers{
		Callers: callers, Ready: http.HandlerFunc(callers.ServeReady), Directory: http.HandlerFunc(callers.ServeResolve),
	}, reg, log)
	if err != nil {
		log.Error("not_started", cflog.Error(err))
		return err
	}
	p.Run(signals, func() error {
		_, err := cfnode.ReadSettings(c.Settings)
		return err
	})
	return nil
}

// Execute implements flags.Commander.
func (c *standbyCommand) Execute([]string) error {
	signals := cfnode.CatchSignals()
	s, err := cfnode.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	log, out := cflog.NewStdout("standby", string(s.Entry))
	defer func() { _ = out.Close() }()
	cflog.ReportPanics(log, out, func() string { return "standby" })
	log.Info("started", zap.String("failure_domain", string(s.Domain)))
	cfnode.WaitForStop(signals, log)
	log.Info("stopped")
	return nil
}
