// Package fulmarctl is the command line for operators: it shows the state of the fleet and
// changes its configuration through the HTTP API of one member.
//
// Usage:
//
//	os.Exit(fulmarctl.Main(os.Args[1:], os.Stdout, os.Stderr))
package fulmarctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// Exit codes, which the help text explains.
const (
	exitDone        = 0
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitUnknown     = 6
	exitNotApplied  = 7
)

// pollInterval is the interval between two polls of the members' generations.
const pollInterval = 200 * time.Millisecond

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
}

// Main runs the command given by the arguments and returns the exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	o := &options{}
	app, commands := newParser(o, out)
	command, err := app.Parse(arguments)
	if err != nil {
		fmt.Fprintf(errOut, "fulmarctl: %v; run fulmarctl --help for usage\n", err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	r := &runner{options: o, client: fulmarapi.NewClient(o.memberURL, o.token), out: out, errOut: errOut}
	if err := commands[command](r, ctx); err != nil {
		fmt.Fprintf(errOut, "fulmarctl: %v\n", err)
		return exitCode(err)
	}
	return exitDone
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
	return app, map[string]commandFunc{
		get.FullCommand(): (*runner).printConfig, history.FullCommand(): (*runner).printHistory,
		apply.FullCommand(): (*runner).applyConfig, pools.FullCommand(): (*runner).printPools,
		vms.FullCommand(): (*runner).printVMs, members.FullCommand(): (*runner).printMembers,
		status.FullCommand(): (*runner).printStatus,
	}
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func exitCode(err error) int {
	var operatorError *fulmarapi.OperatorError
	var notApplied *notAppliedError
	switch {
	case errors.As(err, &notApplied):
		return exitNotApplied
	case !errors.As(err, &operatorError):
		return exitUsage
	}
	switch operatorError.Kind {
	case "old-generation":
		return exitConflict
	case "unavailable":
		return exitUnavailable
	case "unknown":
		return exitUnknown
	}
	return exitRefused
}

// runner runs a command with the parsed options.
type runner struct {
	options *options
	client  *fulmarapi.Client
	out     io.Writer
	errOut  io.Writer
}

// notAppliedError reports that a change was accepted but that not every member has applied it yet.
type notAppliedError struct {
	generation    int64
	membersBehind []string
}

// Error returns the generation and the members that have not applied it.
func (e *notAppliedError) Error() string {
	return fmt.Sprintf("generation %d is accepted, but these members have not applied it yet: %v", e.generation, e.membersBehind)
}

func (r *runner) printConfig(ctx context.Context) error {
	config, err := r.client.Config(ctx)
	if err != nil {
		return err
	}
	if r.options.output == "json" {
		return r.printJSON(config)
	}
	_, err = fmt.Fprintf(r.out, "// generation %d\n%s\n", config.Generation, config.Document)
	return err
}

func (r *runner) printHistory(ctx context.Context) error {
	config, err := r.client.Config(ctx)
	if err != nil {
		return err
	}
	if r.options.output == "json" {
		return r.printJSON(config.History)
	}
	return r.printTable("GENERATION\tWHEN\tAUTHOR\tREASON", func(w io.Writer) {
		for _, change := range config.History {
			when := time.UnixMilli(change.UnixMillis).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", change.Generation, when, change.Author, change.Reason)
		}
	})
}

func (r *runner) applyConfig(ctx context.Context) error {
	text, err := os.ReadFile(r.options.file)
	if err != nil {
		return err
	}
	generation := r.options.generation
	if generation < 0 {
		config, err := r.client.Config(ctx)
		if err != nil {
			return err
		}
		generation = config.Generation
	}
	accepted, err := r.client.Apply(ctx, fulmarapi.ConfigRequest{
		Generation: generation, File: r.options.file, Text: string(text),
		Author: r.options.author, Reason: r.options.reason,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "generation %d is accepted\n", accepted.Generation)
	if !r.options.wait {
		return nil
	}
	return r.waitUntilApplied(ctx, accepted.Generation)
}

// waitUntilApplied polls the members' generations until all have applied generation or ctx is done.
func (r *runner) waitUntilApplied(ctx context.Context, generation int64) error {
	for {
		behind, total, err := r.membersBehind(ctx, generation)
		if err == nil && len(behind) == 0 {
			fmt.Fprintf(r.out, "generation %d is applied on all %d members\n", generation, total)
			return nil
		}
		fmt.Fprintf(r.errOut, "%d of %d members have applied generation %d\n", total-len(behind), total, generation)
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return &notAppliedError{generation: generation, membersBehind: behind}
		}
	}
}

// membersBehind returns the names of the members below generation, and the number of all members.
func (r *runner) membersBehind(ctx context.Context, generation int64) (behind []string, total int, err error) {
	status, err := r.client.Status(ctx)
	if err != nil {
		return nil, 0, err
	}
	for _, member := range status.Members {
		if member.Generation < generation {
			behind = append(behind, member.Name)
		}
	}
	return behind, len(status.Members), nil
}

func (r *runner) printPools(ctx context.Context) error {
	status, err := r.client.Status(ctx)
	if err != nil {
		return err
	}
	if r.options.output == "json" {
		return r.printJSON(status.Pools)
	}
	return r.printTable("POOL\tWORKERS\tSLOTS\tRUNNING\tWAITING\tMEAN MS", func(w io.Writer) {
		for _, p := range status.Pools {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\n", p.Pool, len(p.Workers), p.Slots, p.Running, p.Waiting, p.MeanMillis)
		}
	})
}

func (r *runner) printVMs(ctx context.Context) error {
	vms, err := r.client.VMs(ctx)
	if err != nil {
		return err
	}
	if r.options.output == "json" {
		return r.printJSON(vms)
	}
	return r.printTable("VM\tPOOL\tEPOCH\tSTATE\tDATA CENTRE\tRACK\tADDRESS", func(w io.Writer) {
		for _, vm := range vms {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", vm.ID, vm.Pool, vm.Epoch, vm.State, vm.DataCentre, vm.Rack, vm.Address)
		}
	})
}

func (r *runner) printMembers(ctx context.Context) error {
	status, err := r.client.Status(ctx)
	if err != nil {
		return err
	}
	if r.options.output == "json" {
		return r.printJSON(status.Members)
	}
	return r.printTable("MEMBER\tREGION\tDATA CENTRE\tGENERATION\tLAST MESSAGE MS\tOPERATORS", func(w io.Writer) {
		for _, m := range status.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", m.Name, m.Region, m.DataCentre, m.Generation, m.AgeMillis, m.OperatorAddress)
		}
	})
}

func (r *runner) printStatus(ctx context.Context) error {
	status, err := r.client.Status(ctx)
	if err != nil {
		return err
	}
	if r.options.output == "json" {
		return r.printJSON(status)
	}
	_, err = fmt.Fprintf(r.out, "member %s, ready %v, generation %d, last response from the platform %d ms ago, %d members, %d pools\n",
		status.Member, status.Ready, status.Generation, status.ViewAgeMillis, len(status.Members), len(status.Pools))
	return err
}

func (r *runner) printJSON(value any) error {
	encoder := json.NewEncoder(r.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (r *runner) printTable(header string, rows func(w io.Writer)) error {
	w := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(w)
	return w.Flush()
}
