package fulmarbench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardaemon"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

const (
	demoMembers  = 3
	demoWorkers  = 8
	demoStart    = 10 * time.Second
	demoRate     = 120
	demoTurns    = 4
	demoDocument = `{
  "pools": {"catalogue": {"vms": 4}, "timetables": {"vms": 4}},
  "teams": {"registrars": {"weight": 2}, "advisers": {"weight": 1}},
}`
)

// demo is a small fleet within one process.
type demo struct {
	clock    fulmarclock.Clock
	out      io.Writer
	platform *fulmarstandin.Platform
	workers  []*fulmarstandin.Worker
	members  []*fulmardaemon.Daemon
	cancel   context.CancelFunc
	ended    chan error
}

// runDemo shows the whole path: a fleet starts, a configuration is put in force,
// bursts move from pool to pool, one worker fails everything and one VM leaves.
func runDemo(ctx context.Context, o *options, out io.Writer) error {
	d := &demo{clock: fulmarclock.NewSystem(), out: out, ended: make(chan error, demoMembers)}
	defer d.close()
	if err := d.start(o); err != nil {
		return err
	}
	if err := d.configure(ctx); err != nil {
		return err
	}
	load := Load{
		Targets: d.targets(), Pools: []string{"catalogue", "timetables"}, Rate: demoRate, Duration: o.load.Duration,
		Turn: o.load.Duration / demoTurns, Work: 20 * time.Millisecond, Timeout: 5 * time.Second,
		Writes: 0.2, Keyed: 0.5, Urgent: 0.1, Seed: 1,
	}
	done := make(chan *Result, 1)
	go func() { done <- Run(ctx, load) }()
	result := d.watch(ctx, o.load.Duration, done)
	result.Print(out)
	return nil
}

func (d *demo) start(o *options) error {
	var err error
	if d.platform, err = fulmarstandin.StartPlatform("127.0.0.1:0", d.clock); err != nil {
		return err
	}
	client := fulmarplatform.NewClient(d.platform.URL(), d.clock, platformCall, noCounter{})
	workers := options{name: "vm", count: demoWorkers, perRack: 4, slots: 8, connections: 64}
	if d.workers, err = startWorkers(&workers, client, d.clock); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	logger := log.New(io.Discard)
	for i := range demoMembers {
		member, err := fulmardaemon.Start(DemoSettings(i, d.platform.URL()), d.clock, logger)
		if err != nil {
			return err
		}
		d.members = append(d.members, member)
		go func() { d.ended <- member.Run(ctx) }()
	}
	return nil
}

// DemoSettings returns the settings of a member on free local ports.
func DemoSettings(place int, platform string) fulmarsettings.Daemon {
	settings := fulmarsettings.DefaultDaemon()
	settings.Member = fmt.Sprintf("member-%d", place+1)
	settings.Callers, settings.Operators, settings.Peers = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Platform = platform
	settings.Times.StopNotReady = 100
	return settings
}

func (d *demo) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoStart)
	defer cancel()
	client := fulmarapi.NewClient("http://"+d.members[0].Operators(), "")
	accepted, err := client.Apply(ctx, fulmarapi.ConfigRequest{
		File: "demo.jsonc", Text: demoDocument, Author: "demo", Reason: "first configuration",
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "configuration generation %d is accepted\n", accepted.Generation)
	return d.awaitWorkers(ctx)
}

func (d *demo) awaitWorkers(ctx context.Context) error {
	for {
		ready := 0
		for _, member := range d.members {
			workers := 0
			for _, pool := range member.Status().Pools {
				workers += len(pool.Workers)
			}
			if workers == demoWorkers {
				ready++
			}
		}
		if ready == demoMembers {
			fmt.Fprintf(d.out, "%d members serve %d workers in 2 pools\n", demoMembers, demoWorkers)
			return nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return &fulmarapi.OperatorError{Kind: "unavailable", Detail: "the members did not get their workers in time"}
		}
	}
}

func (d *demo) targets() []string {
	var targets []string
	for _, member := range d.members {
		targets = append(targets, member.Callers())
	}
	return targets
}

// watch prints a line a second and brings about the faults of the demonstration.
func (d *demo) watch(ctx context.Context, duration time.Duration, done <-chan *Result) *Result {
	ticker := time.NewTicker(demoSummary)
	defer ticker.Stop()
	third := int(duration / demoSummary / 3)
	for second := 1; ; second++ {
		select {
		case result := <-done:
			return result
		case <-ticker.C:
		}
		switch second {
		case third:
			fmt.Fprintf(d.out, "worker %s now fails every request\n", d.workers[0].VM().ID)
			d.workers[0].SetFault(fulmarstandin.FaultFail)
		case 2 * third:
			fmt.Fprintf(d.out, "VM %s is leaving\n", d.workers[1].VM().ID)
			d.platform.Fleet().SetState(d.workers[1].VM().ID, fulmarplatform.VMLeaving)
		}
		d.summary(second)
	}
}

func (d *demo) summary(second int) {
	fmt.Fprintf(d.out, "%3d s", second)
	for _, pool := range []string{"catalogue", "timetables"} {
		running, waiting, ejected := 0, 0, map[string]bool{}
		for _, member := range d.members {
			for _, report := range member.Status().Pools {
				if report.Pool != pool {
					continue
				}
				running += report.Running
				waiting += report.Waiting
				for _, w := range report.Workers {
					if w.Health != "healthy" {
						ejected[w.VM] = true
					}
				}
			}
		}
		fmt.Fprintf(d.out, "   %s: running %2d, waiting %3d, workers out of use %d", pool, running, waiting, len(ejected))
	}
	fmt.Fprintln(d.out)
}

func (d *demo) close() {
	if d.cancel != nil {
		d.cancel()
		for range d.members {
			<-d.ended
		}
	}
	closeWorkers(d.workers)
	if d.platform != nil {
		d.platform.Close()
	}
}
