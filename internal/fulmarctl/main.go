// Package fulmarctl is the operators' command line.
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

// Exit codes.
const (
	exitDone        = 0
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitUnknown     = 6
	exitNotApplied  = 7
)

const pollInterval = 200 * time.Millisecond

// options are the parsed command line.
type options struct {
	memberURL  string
	token   string
	output  string
	timeout time.Duration

	file       string
	reason     string
	author     string
	generation int64
	wait       bool
}

// Main runs one command and returns the exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	o := &options{}
	app, commands := newParser(o, out)
	command, err := app.Parse(arguments)
	if err != nil {
		fmt.Fprintf(errOut, "fulmarctl: %v; see fulmarctl --help\n", err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	c := &runner{options: o, client: fulmarapi.NewClient(o.memberURL, o.token), out: out, errOut: errOut}
	if err := commands[command](c, ctx); err != nil {
		fmt.Fprintf(errOut, "fulmarctl: %v\n", err)
		return exitCode(err)
	}
	return exitDone
}

type commandFunc func(c *runner, ctx context.Context) error

func newParser(o *options, out io.Writer) (*kingpin.Application, map[string]commandFunc) {
	app := kingpin.New("fulmarctl", "Shows the fleet and changes its configuration, through any member.\n\n"+
		"Exit codes: 0 done, 2 wrong command line, 3 refused, 4 made against an old generation, "+
		"5 unavailable, 6 result unknown, 7 not yet in force everywhere.")
	app.Terminate(nil)
	app.UsageWriter(out)
	app.Flag("member", "Base URL of a member's operator listener.").Short('m').
		Envar("FULMARDRUM_MEMBER").Default("http://127.0.0.1:7002").StringVar(&o.memberURL)
	app.Flag("token", "Bearer token.").Envar("FULMARDRUM_TOKEN").StringVar(&o.token)
	app.Flag("output", "table or json.").Short('o').Default("table").EnumVar(&o.output, "table", "json")
	app.Flag("timeout", "Longest time for the command.").Default("15s").DurationVar(&o.timeout)
	config := app.Command("config", "The fleet's configuration.")
	get := config.Command("get", "Print the configuration in force.")
	history := config.Command("history", "Print who changed what and why.")
	apply := config.Command("apply", "Put a new configuration in force, for example: "+
		"fulmarctl config apply -f fleet.jsonc -r 'two more VMs for enrolment' --wait")
	apply.Flag("file", "Configuration, JSON with comments.").Short('f').Required().StringVar(&o.file)
	apply.Flag("reason", "Why, for the history.").Short('r').Required().StringVar(&o.reason)
	apply.Flag("author", "Who, for the history.").Default(currentUser()).StringVar(&o.author)
	apply.Flag("generation", "Generation that the change was made against; the one in force by default.").
		Default("-1").Int64Var(&o.generation)
	apply.Flag("wait", "Wait until every live member follows the new generation.").BoolVar(&o.wait)
	pools := app.Command("pools", "Print the pools on this member.")
	vms := app.Command("vms", "Print the VMs and their pools.")
	members := app.Command("members", "Print the members.")
	status := app.Command("status", "Print the member's state in short.")
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
	var refusal *fulmarapi.OperatorError
	var late *notAppliedError
	switch {
	case errors.As(err, &late):
		return exitNotApplied
	case !errors.As(err, &refusal):
		return exitUsage
	}
	switch refusal.Kind {
	case "old-generation":
		return exitConflict
	case "unavailable":
		return exitUnavailable
	case "unknown":
		return exitUnknown
	}
	return exitRefused
}

// runner carries out commands.
type runner struct {
	options *options
	client  *fulmarapi.Client
	out     io.Writer
	errOut  io.Writer
}

// notAppliedError says that a change was accepted but not yet seen by every member.
type notAppliedError struct {
	generation int64
	membersBehind    []string
}

// Error names the members that are behind.
func (e *notAppliedError) Error() string {
	return fmt.Sprintf("generation %d is accepted, but these members do not follow it yet: %v", e.generation, e.membersBehind)
}

func (c *runner) printConfig(ctx context.Context) error {
	config, err := c.client.Config(ctx)
	if err != nil {
		return err
	}
	if c.options.output == "json" {
		return c.printJSON(config)
	}
	_, err = fmt.Fprintf(c.out, "// generation %d\n%s\n", config.Generation, config.Document)
	return err
}

func (c *runner) printHistory(ctx context.Context) error {
	config, err := c.client.Config(ctx)
	if err != nil {
		return err
	}
	if c.options.output == "json" {
		return c.printJSON(config.History)
	}
	return c.printTable("GENERATION\tWHEN\tAUTHOR\tREASON", func(w io.Writer) {
		for _, change := range config.History {
			when := time.UnixMilli(change.UnixMillis).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", change.Generation, when, change.Author, change.Reason)
		}
	})
}

func (c *runner) applyConfig(ctx context.Context) error {
	text, err := os.ReadFile(c.options.file)
	if err != nil {
		return err
	}
	generation := c.options.generation
	if generation < 0 {
		config, err := c.client.Config(ctx)
		if err != nil {
			return err
		}
		generation = config.Generation
	}
	accepted, err := c.client.Apply(ctx, fulmarapi.ConfigRequest{
		Generation: generation, File: c.options.file, Text: string(text),
		Author: c.options.author, Reason: c.options.reason,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "generation %d is accepted\n", accepted.Generation)
	if !c.options.wait {
		return nil
	}
	return c.waitUntilApplied(ctx, accepted.Generation)
}

func (c *runner) waitUntilApplied(ctx context.Context, generation int64) error {
	for {
		behind, total, err := c.membersBehind(ctx, generation)
		if err == nil && len(behind) == 0 {
			fmt.Fprintf(c.out, "generation %d is in force on all %d members\n", generation, total)
			return nil
		}
		fmt.Fprintf(c.errOut, "%d of %d members follow generation %d\n", total-len(behind), total, generation)
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return &notAppliedError{generation: generation, membersBehind: behind}
		}
	}
}

func (c *runner) membersBehind(ctx context.Context, generation int64) (behind []string, total int, err error) {
	status, err := c.client.Status(ctx)
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

func (c *runner) printPools(ctx context.Context) error {
	status, err := c.client.Status(ctx)
	if err != nil {
		return err
	}
	if c.options.output == "json" {
		return c.printJSON(status.Pools)
	}
	return c.printTable("POOL\tWORKERS\tSLOTS\tRUNNING\tWAITING\tMEAN MS", func(w io.Writer) {
		for _, p := range status.Pools {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\n", p.Pool, len(p.Workers), p.Slots, p.Running, p.Waiting, p.MeanMillis)
		}
	})
}

func (c *runner) printVMs(ctx context.Context) error {
	vms, err := c.client.VMs(ctx)
	if err != nil {
		return err
	}
	if c.options.output == "json" {
		return c.printJSON(vms)
	}
	return c.printTable("VM\tPOOL\tEPOCH\tSTATE\tDATA CENTRE\tRACK\tADDRESS", func(w io.Writer) {
		for _, vm := range vms {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", vm.ID, vm.Pool, vm.Epoch, vm.State, vm.DataCentre, vm.Rack, vm.Address)
		}
	})
}

func (c *runner) printMembers(ctx context.Context) error {
	status, err := c.client.Status(ctx)
	if err != nil {
		return err
	}
	if c.options.output == "json" {
		return c.printJSON(status.Members)
	}
	return c.printTable("MEMBER\tREGION\tDATA CENTRE\tGENERATION\tLAST MESSAGE MS\tOPERATORS", func(w io.Writer) {
		for _, m := range status.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", m.Name, m.Region, m.DataCentre, m.Generation, m.AgeMillis, m.Operators)
		}
	})
}

func (c *runner) printStatus(ctx context.Context) error {
	status, err := c.client.Status(ctx)
	if err != nil {
		return err
	}
	if c.options.output == "json" {
		return c.printJSON(status)
	}
	_, err = fmt.Fprintf(c.out, "member %s, ready %v, generation %d, last word from the platform %d ms ago, %d members, %d pools\n",
		status.Member, status.Ready, status.Generation, status.ViewMillis, len(status.Members), len(status.Pools))
	return err
}

func (c *runner) printJSON(value any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (c *runner) printTable(header string, rows func(w io.Writer)) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(w)
	return w.Flush()
}
