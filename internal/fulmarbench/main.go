package fulmarbench

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
)

const platformTimeout = 2 * fulmarclock.Second

// options are the parsed command line.
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

// Main runs one command and returns the exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	o := &options{}
	app, commands := parser(o)
	command, err := app.Parse(arguments)
	if err != nil {
		fmt.Fprintf(errOut, "fulmarbench: %v; see fulmarbench --help\n", err)
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

type action func(ctx context.Context, o *options, out io.Writer) error

func parser(o *options) (*kingpin.Application, map[string]action) {
	app := kingpin.New("fulmarbench", "Stand-ins of the platform and the workers, and a load tool.")
	platform := app.Command("platform", "Run a stand-in of the platform.")
	platform.Flag("address", "HOST:PORT to serve.").Default("127.0.0.1:7000").StringVar(&o.address)
	worker := app.Command("worker", "Run stand-ins of workers that register with the platform.")
	worker.Flag("platform", "Base URL of the platform.").Default("http://127.0.0.1:7000").StringVar(&o.platform)
	worker.Flag("name", "Start of the VMs' names.").Default("vm").StringVar(&o.name)
	worker.Flag("count", "Number of workers in this process.").Default("1").IntVar(&o.count)
	worker.Flag("rack", "Workers in a rack.").Default("4").IntVar(&o.vmsPerRack)
	worker.Flag("slots", "Slots of a worker.").Default("8").IntVar(&o.slots)
	worker.Flag("connections", "Connections of a worker.").Default("64").IntVar(&o.connections)
	load := app.Command("load", "Put an open load on members or workers, for example: "+
		"fulmarbench load --targets 127.0.0.1:7101 --pools catalogue --rate 200 --duration 10s")
	load.Flag("targets", "Addresses of members' callers' listeners, or of workers with --direct.").Required().StringVar(&o.targets)
	load.Flag("pools", "Pools, with commas between them.").Default("catalogue").StringVar(&o.pools)
	load.Flag("direct", "The targets are workers.").BoolVar(&o.load.Direct)
	load.Flag("rate", "Mean requests a second of each pool.").Default("100").Float64Var(&o.load.Rate)
	load.Flag("duration", "Length of the load.").Default("10s").DurationVar(&o.load.Duration)
	load.Flag("turn", "Each pool in its turn asks for five times its mean for so long, the others for a twentieth.").
		Default("0s").DurationVar(&o.load.BurstDuration)
	load.Flag("pool-slots", "Slots of each pool, to report how much of them a burst used.").Default("0").IntVar(&o.load.SlotsPerPool)
	load.Flag("work", "Time of each request on its worker.").Default("20ms").DurationVar(&o.load.WorkDuration)
	load.Flag("timeout", "Time limit that callers state.").Default("10s").DurationVar(&o.load.Timeout)
	load.Flag("writes", "Share of POST requests.").Default("0").Float64Var(&o.load.WriteFraction)
	load.Flag("keyed", "Share of the POST requests with an idempotency key.").Default("0").Float64Var(&o.load.KeyedFraction)
	load.Flag("urgent", "Share of urgent requests.").Default("0").Float64Var(&o.load.UrgentFraction)
	load.Flag("seed", "Seed of the load.").Default("1").Uint64Var(&o.load.Seed)
	demo := app.Command("demo", "Run platform, workers, three members and a burst in one process, with a live summary.")
	demo.Flag("duration", "Length of the demonstration.").Default("15s").DurationVar(&o.load.Duration)
	rollout := app.Command("rollout", "Measure how soon changes of the configuration are in force on every member of a local fleet.")
	rollout.Flag("members", "Number of members.").Default("7").IntVar(&o.members)
	rollout.Flag("changes", "Number of changes.").Default("100").IntVar(&o.changes)
	rollout.Flag("faults", "Lose answers of the key-value service and slow it down meanwhile.").BoolVar(&o.faults)
	jobs := app.Command("jobs", "Run members of fulmarnoded, a stand-in of their platform and callers who hand jobs in, in one process.")
	jobs.Flag("members", "Number of members.").Default("3").IntVar(&o.members)
	jobs.Flag("queues", "Number of queues, each with a pool of its own; a standby pool is added.").Default("2").IntVar(&o.jobs.Queues)
	jobs.Flag("vms", "VMs of each pool.").Default("4").IntVar(&o.count)
	jobs.Flag("rate", "Mean jobs a second of each queue.").Default("4").Float64Var(&o.jobs.Rate)
	jobs.Flag("tasks", "Tasks of each job.").Default("6").IntVar(&o.jobs.TasksPerJob)
	jobs.Flag("turn", "Each queue in its turn asks for its share of all jobs for so long, the others for a twentieth of their mean.").
		Default("5s").DurationVar(&o.jobs.BurstDuration)
	jobs.Flag("duration", "Length of the load.").Default("20s").DurationVar(&o.jobs.Duration)
	jobs.Flag("calm", "No crash, no change of the owner and no wave.").BoolVar(&o.noFaults)
	jobs.Flag("seed", "Seed of the load.").Default("1").Uint64Var(&o.jobs.Seed)
	jobs.Flag("profile", "File for a profile of the processor time.").StringVar(&o.profile)
	return app, map[string]action{
		jobs.FullCommand():     runJobs,
		rollout.FullCommand():  runRollout,
		platform.FullCommand(): runPlatform, worker.FullCommand(): runWorkers,
		load.FullCommand(): runLoad, demo.FullCommand(): runDemo,
	}
}

func runPlatform(ctx context.Context, o *options, out io.Writer) error {
	platform, err := fulmarstandin.StartPlatform(o.address, fulmarclock.NewSystem())
	if err != nil {
		return err
	}
	defer platform.Close()
	fmt.Fprintf(out, "the platform's stand-in serves %s\n", platform.URL())
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
			Connections: o.connections, Journal: journal, Platform: client,
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
