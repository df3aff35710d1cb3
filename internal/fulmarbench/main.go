package fulmarbench

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
)

const platformTimeout = 2 * fulmarclock.Second

// options are the flags of all commands.
type options struct {
	address     string
	platform    string
	name        string
	count       int
	vmsPerRack  int
	slots       int
	connections int
	members     int
	changes     int
	faults      bool
	targets     string
	pools       string
	load        Load
	jobs        JobLoad
	profile     string
	noFaults    bool
}

// Main runs one command and returns the exit code: 0, 1 if the command failed, or 2 for a
// wrong command line.
func Main(arguments []string, out, errOut io.Writer) int {
	o := &options{}
	app, commands := parser(o)
	command, err := app.Parse(arguments)
	if err != nil {
		fmt.Fprintf(errOut, "fulmarbench: %v; run fulmarbench --help for usage\n", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := commands[command](ctx, o, out); err != nil {
		fmt.Fprintf(errOut, "fulmarbench: %v\n", err)
		return 1
	}
	return 0
}

func runPlatform(ctx context.Context, o *options, out io.Writer) error {
	platform, err := fulmarstandin.StartPlatform(o.address, fulmarclock.NewSystem())
	if err != nil {
		return err
	}
	defer platform.Close()
	fmt.Fprintf(out, "simulated platform listens on %s\n", platform.URL())
	<-ctx.Done()
	return nil
}

func runWorkers(ctx context.Context, o *options, out io.Writer) error {
	clock := fulmarclock.NewSystem()
	client := fulmarplatform.NewClient(o.platform, platformTimeout, nopCounter{})
	workers, err := startWorkers(o, client, clock)
	defer closeWorkers(workers)
	if err != nil {
		return err
	}
	for _, w := range workers {
		fmt.Fprintf(out, "worker %s serves %s\n", w.VM().ID, w.VM().Address)
	}
	<-ctx.Done()
	return nil
}

func startWorkers(o *options, client *fulmarplatform.Client, clock fulmarclock.Clock) ([]*fulmarstandin.Worker, error) {
	var workers []*fulmarstandin.Worker
	journal := &fulmarstandin.Journal{}
	for i := range o.count {
		w, err := fulmarstandin.StartWorker(fulmarstandin.WorkerOptions{
			VM: fulmarplatform.VM{
				ID: fmt.Sprintf("%s-%03d", o.name, i), Address: "127.0.0.1:0", Region: "region-1",
				DataCentre: fmt.Sprintf("dc-%d", 1+i/o.vmsPerRack%4), Rack: fmt.Sprintf("rack-%d", i/o.vmsPerRack),
				Slots: o.slots, State: fulmarplatform.VMLive,
			},
			MaxConnections: o.connections, Journal: journal, Platform: client,
		}, clock)
		if err != nil {
			return workers, err
		}
		workers = append(workers, w)
	}
	return workers, nil
}

func closeWorkers(workers []*fulmarstandin.Worker) {
	for _, w := range workers {
		w.Close()
	}
}

func runLoad(ctx context.Context, o *options, out io.Writer) error {
	o.load.Targets = strings.Split(o.targets, ",")
	o.load.Pools = strings.Split(o.pools, ",")
	Run(ctx, o.load).Print(out)
	return nil
}

type nopCounter struct{}

// CountCall does nothing.
func (nopCounter) CountCall(string) {}
