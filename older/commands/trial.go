package commands

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"

	cf "currantford"
	"currantford/io/cflog"
	"currantford/testbed/cftrial"
)

type trialCommand struct {
	Plan   string   `long:"plan" required:"true" description:"load and faults (JSON)" value-name:"FILE"`
	Groups []string `long:"group" required:"true" description:"a group of running entries and where its store's stand-in shall listen" value-name:"NAME=STORE=ENTRY[,ENTRY]"`
	HTML   string   `long:"html" description:"write the report with plots" value-name:"FILE"`
	JSON   string   `long:"json" description:"write the report's data" value-name:"FILE"`
}

// Execute implements flags.Commander.
func (c *trialCommand) Execute([]string) error {
	plan, err := cftrial.ReadPlan(c.Plan)
	if err != nil {
		return err
	}
	groups, err := parseGroups(c.Groups)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := cftrial.Run(ctx, plan, groups, cflog.New("trial", plan.Name))
	if err != nil {
		return err
	}
	if c.HTML != "" {
		if err := report.WriteHTML(c.HTML); err != nil {
			return err
		}
	}
	if c.JSON != "" {
		if err := report.WriteJSON(c.JSON); err != nil {
			return err
		}
	}
	enc := json.NewEncoder(os.Stdout)
	for _, s := range report.Summaries() {
		if err := enc.Encode(s); err != nil {
			return eris.Wrap(err, "print summary")
		}
	}
	return nil
}

func parseGroups(args []string) ([]cftrial.Group, error) {
	var out []cftrial.Group
	for _, a := range args {
		parts := strings.Split(a, "=")
		if len(parts) != 3 || parts[0] == "" || parts[1] == "" || parts[2] == "" {
			return nil, eris.Wrapf(cf.ErrInvalid, "group %q is not NAME=STORE=ENTRY[,ENTRY]", a)
		}
		out = append(out, cftrial.Group{Name: parts[0], StoreAddr: parts[1], Entries: strings.Split(parts[2], ",")})
	}
	return out, nil
}
