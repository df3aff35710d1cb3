package fulmarbench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
)

const (
	demoSummaryInterval = time.Second
	demoMembers         = 3
	demoWorkers         = 8
	demoRate            = 200
	demoBursts          = 4
	demoWorkDuration    = 50 * time.Millisecond
	demoConfiguration   = `{
  "pools": {"catalogue": {"vms": 4}, "timetables": {"vms": 4}},
  "teams": {"registrars": {"weight": 2}, "advisers": {"weight": 1}},
}`
)

// demo runs a demonstration on a local fleet and prints what happens.
type demo struct {
	*localFleet
	out io.Writer
}

// runDemo starts a fleet, applies a configuration and generates load that bursts in one
// pool after the other beyond the pool's slots. Meanwhile one worker fails every request and
// one VM is drained.
func runDemo(ctx context.Context, o *options, out io.Writer) error {
	fleet, err := startLocalFleet(demoMembers, demoWorkers)
	defer fleet.close()
	if err != nil {
		return err
	}
	d := &demo{localFleet: fleet, out: out}
	accepted, err := d.apply(ctx, demoConfiguration, "first configuration")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "configuration generation %d accepted\n", accepted.Generation)
	if err := d.awaitWorkers(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d members use %d workers in 2 pools of 32 slots\n", demoMembers, demoWorkers)
	load := Load{
		Targets: d.targets(), Pools: []string{"catalogue", "timetables"}, Rate: demoRate, Duration: o.load.Duration,
		BurstDuration: o.load.Duration / demoBursts, WorkDuration: demoWorkDuration, Timeout: 10 * time.Second,
		WriteFraction: 0.2, KeyedFraction: 0.3, UrgentFraction: 0.1, Seed: 1,
	}
	done := make(chan *Result, 1)
	go func() { done <- Run(ctx, load) }()
	result := d.watchLoad(o.load.Duration, done)
	result.Print(out)
	return nil
}

// watchLoad prints a status line every second and injects the faults of the demonstration
// until the load is done.
func (d *demo) watchLoad(duration time.Duration, done <-chan *Result) *Result {
	ticker := time.NewTicker(demoSummaryInterval)
	defer ticker.Stop()
	third := int(duration / demoSummaryInterval / 3)
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
			fmt.Fprintf(d.out, "VM %s is draining\n", d.workers[1].VM().ID)
			d.platform.Fleet().SetState(d.workers[1].VM().ID, fulmarplatform.VMDraining)
		}
		d.printSummary(second)
	}
}

func (d *demo) printSummary(second int) {
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
		fmt.Fprintf(d.out, "   %s: running %2d, waiting %3d, unhealthy workers %d", pool, running, waiting, len(ejected))
	}
	fmt.Fprintln(d.out)
}
