// Package fulmarctl is the command line for operators: it shows the state of the fleet and
// changes its configuration through the HTTP API of one member.
//
// Usage:
//
//	os.Exit(fulmarctl.Main(os.Args[1:], os.Stdout, os.Stderr))
package fulmarctl

import (
	"context"
	"fmt"
	"io"

	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

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

// runner runs a command with the parsed options.
type runner struct {
	options *options
	client  *fulmarapi.Client
	out     io.Writer
	errOut  io.Writer
}
