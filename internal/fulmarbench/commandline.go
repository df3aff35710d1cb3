package fulmarbench

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// action runs a command with the parsed flags.
type action func(ctx context.Context, o *options, out io.Writer) error

// parser returns the command line and the action of each command by its name.
func parser(o *options) (*kingpin.Application, map[string]action) {
	app := kingpin.New("fulmarbench", "Simulated platform and workers, and a load generator.")
	actions := map[string]action{}
	actions[platformCommand(app, o)] = runPlatform
	actions[workerCommand(app, o)] = runWorkers
	actions[loadCommand(app, o)] = runLoad
	actions[demoCommand(app, o)] = runDemo
	actions[rolloutCommand(app, o)] = runRollout
	actions[jobsCommand(app, o)] = runJobs
	return app, actions
}

func platformCommand(app *kingpin.Application, o *options) string {
	platform := app.Command("platform", "Run a simulated platform.")
	platform.Flag("address", "HOST:PORT to listen on.").Default("127.0.0.1:7000").StringVar(&o.address)
	return platform.FullCommand()
}

func workerCommand(app *kingpin.Application, o *options) string {
	worker := app.Command("worker", "Run simulated workers that register with the platform.")
	worker.Flag("platform", "Base URL of the platform.").Default("http://127.0.0.1:7000").StringVar(&o.platform)
	worker.Flag("name", "Prefix of the VMs' names.").Default("vm").StringVar(&o.name)
	worker.Flag("count", "Number of workers in this process.").Default("1").IntVar(&o.count)
	worker.Flag("rack", "Number of workers in a rack.").Default("4").IntVar(&o.vmsPerRack)
	worker.Flag("slots", "Number of slots of a worker.").Default("8").IntVar(&o.slots)
	worker.Flag("connections", "Maximum number of connections of a worker.").Default("64").IntVar(&o.connections)
	return worker.FullCommand()
}

func loadCommand(app *kingpin.Application, o *options) string {
	load := app.Command("load", "Generate open-loop load on members or workers, for example: "+
		"fulmarbench load --targets 127.0.0.1:7101 --pools catalogue --rate 200 --duration 10s")
	load.Flag("targets", "Addresses of the members' listeners for callers, or of workers with --direct, separated by commas.").Required().StringVar(&o.targets)
	load.Flag("pools", "Pools, separated by commas.").Default("catalogue").StringVar(&o.pools)
	load.Flag("direct", "Send requests to workers instead of members.").BoolVar(&o.load.Direct)
	load.Flag("rate", "Mean rate of each pool in requests per second.").Default("100").Float64Var(&o.load.Rate)
	load.Flag("duration", "Duration of the load.").Default("10s").DurationVar(&o.load.Duration)
	load.Flag("turn", "Duration of a burst: the pools take turns at five times the mean rate while the others run at a twentieth; 0s for no bursts.").
		Default("0s").DurationVar(&o.load.BurstDuration)
	load.Flag("pool-slots", "Number of slots of each pool, to report the slot utilization in bursts.").Default("0").IntVar(&o.load.SlotsPerPool)
	load.Flag("work", "Processing time of each request on its worker.").Default("20ms").DurationVar(&o.load.WorkDuration)
	load.Flag("timeout", "Timeout that callers send with each request.").Default("10s").DurationVar(&o.load.Timeout)
	load.Flag("writes", "Fraction of requests that are POST requests, 0 to 1.").Default("0").Float64Var(&o.load.WriteFraction)
	load.Flag("keyed", "Fraction of the POST requests that carry an idempotency key, 0 to 1.").Default("0").Float64Var(&o.load.KeyedFraction)
	load.Flag("urgent", "Fraction of requests that are urgent, 0 to 1.").Default("0").Float64Var(&o.load.UrgentFraction)
	load.Flag("seed", "Random seed of the load.").Default("1").Uint64Var(&o.load.Seed)
	return load.FullCommand()
}

func demoCommand(app *kingpin.Application, o *options) string {
	demo := app.Command("demo", "Run a platform, workers, three members and bursts of load in one process, with a status line every second.")
	demo.Flag("duration", "Duration of the demonstration.").Default("15s").DurationVar(&o.load.Duration)
	return demo.FullCommand()
}

func rolloutCommand(app *kingpin.Application, o *options) string {
	rollout := app.Command("rollout", "Measure how soon every member of a local fleet applies configuration changes.")
	rollout.Flag("members", "Number of members.").Default("7").IntVar(&o.members)
	rollout.Flag("changes", "Number of configuration changes.").Default("100").IntVar(&o.changes)
	rollout.Flag("faults", "Lose responses of the key-value service and delay it during the changes.").BoolVar(&o.faults)
	return rollout.FullCommand()
}

func jobsCommand(app *kingpin.Application, o *options) string {
	jobs := app.Command("jobs", "Run members of fulmarnoded, a simulated platform and callers that submit jobs, in one process.")
	jobs.Flag("members", "Number of members.").Default("3").IntVar(&o.members)
	jobs.Flag("queues", "Number of queues, each with its own pool; a standby pool is added.").Default("2").IntVar(&o.jobs.Queues)
	jobs.Flag("vms", "Number of VMs of each pool.").Default("4").IntVar(&o.count)
	jobs.Flag("rate", "Mean rate of each queue in jobs per second.").Default("4").Float64Var(&o.jobs.Rate)
	jobs.Flag("tasks", "Number of tasks of each job.").Default("6").IntVar(&o.jobs.TasksPerJob)
	jobs.Flag("turn", "Duration of a burst: the queues take turns at the sum of all mean rates while the others run at a twentieth of their mean; 0s for no bursts.").
		Default("5s").DurationVar(&o.jobs.BurstDuration)
	jobs.Flag("duration", "Duration of the load.").Default("20s").DurationVar(&o.jobs.Duration)
	jobs.Flag("calm", "Inject no faults: no VM crash, no stop of the owner and no maintenance wave.").BoolVar(&o.noFaults)
	jobs.Flag("seed", "Random seed of the load.").Default("1").Uint64Var(&o.jobs.Seed)
	jobs.Flag("profile", "File to write a CPU profile to.").StringVar(&o.profile)
	return jobs.FullCommand()
}
