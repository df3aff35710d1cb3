package fulmarctl

import (
	"context"
	"io"
	"os/user"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// options holds the values of the command line flags.
type options struct {
	memberURL string
	token     string
	output    string
	timeout   time.Duration

	file       string
	reason     string
	author     string
	generation int64
	wait       bool

	queue    string
	customer string
	keyFile  string
	job      string
	json     bool
}

type commandFunc func(r *runner, ctx context.Context) error

func newParser(o *options, out io.Writer) (*kingpin.Application, map[string]commandFunc) {
	app := kingpin.New("fulmarctl", "Shows the state of the fleet and changes its configuration, through any member.\n\n"+
		"Exit codes: 0 success, 2 usage error, 3 refused, 4 based on an outdated generation, "+
		"5 unavailable, 6 outcome unknown, 7 accepted but not yet applied by every member.")
	app.Terminate(nil)
	app.UsageWriter(out)
	app.Flag("member", "Base URL of a member's operator listener.").Short('m').
		Envar("FULMARDRUM_MEMBER").Default("http://127.0.0.1:7002").StringVar(&o.memberURL)
	app.Flag("token", "Bearer token of the operator listener.").Envar("FULMARDRUM_TOKEN").StringVar(&o.token)
	app.Flag("output", "Output format: table or json.").Short('o').Default("table").EnumVar(&o.output, "table", "json")
	app.Flag("timeout", "Timeout of the whole command.").Default("15s").DurationVar(&o.timeout)
	config := app.Command("config", "Show or change the configuration of the fleet.")
	get := config.Command("get", "Print the current configuration.")
	history := config.Command("history", "Print the author, time and reason of each change.")
	apply := config.Command("apply", "Apply a new configuration, for example: "+
		"fulmarctl config apply -f fleet.jsonc -r 'two more VMs for enrolment' --wait")
	apply.Flag("file", "Configuration file, JSON with comments.").Short('f').Required().StringVar(&o.file)
	apply.Flag("reason", "Reason for the change, recorded in the history.").Short('r').Required().StringVar(&o.reason)
	apply.Flag("author", "Author of the change, recorded in the history.").Default(currentUser()).StringVar(&o.author)
	apply.Flag("generation", "Generation that the change is based on; -1 means the current one.").
		Default("-1").Int64Var(&o.generation)
	apply.Flag("wait", "Wait until every live member has applied the new generation.").BoolVar(&o.wait)
	pools := app.Command("pools", "Print the state of the pools on this member.")
	vms := app.Command("vms", "Print the VMs and the pools that they are assigned to.")
	members := app.Command("members", "Print the members.")
	status := app.Command("status", "Print a summary of the member's state.")
	explain := app.Command("explain", "Show where a job would go now and why, without submitting it, through any member of "+
		"fulmarnoded; --member is its metrics address. For example: "+
		"fulmarctl explain --member 10.0.0.1:9100 --queue web --customer acme --file job.json")
	explain.Flag("queue", "Name of the queue. A known job may do without.").StringVar(&o.queue)
	explain.Flag("customer", "Name of the customer that would submit the job.").StringVar(&o.customer)
	explain.Flag("key-file", "File with the customer's API key, in place of its name.").StringVar(&o.keyFile)
	explain.Flag("job", "ID of a known job.").StringVar(&o.job)
	explain.Flag("file", "File with a job as callers submit it.").Short('f').StringVar(&o.file)
	explain.Flag("json", "Print JSON, as with --output json.").BoolVar(&o.json)
	return app, map[string]commandFunc{
		get.FullCommand(): (*runner).printConfig, history.FullCommand(): (*runner).printHistory,
		apply.FullCommand(): (*runner).applyConfig, pools.FullCommand(): (*runner).printPools,
		vms.FullCommand(): (*runner).printVMs, members.FullCommand(): (*runner).printMembers,
		status.FullCommand(): (*runner).printStatus, explain.FullCommand(): (*runner).printExplanation,
	}
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
