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
	// fleetStart bounds the start of a local fleet.
	fleetStart = 30 * time.Second
	// fleetPoll is the time between looks at a starting fleet.
	fleetPoll = 50 * time.Millisecond
)

// localFleet is a platform, workers and members within one process.
type localFleet struct {
	clock    fulmarclock.Clock
	platform *fulmarstandin.Platform
	workers  []*fulmarstandin.Worker
	members  []*fulmardaemon.Daemon
	cancel   context.CancelFunc
	ended    chan error
}

// startLocalFleet returns a running fleet without a configuration. It must be closed also after an error.
func startLocalFleet(members, workers int) (*localFleet, error) {
	clock := fulmarclock.NewSystem()
	f := &localFleet{clock: clock, ended: make(chan error, members)}
	var err error
	if f.platform, err = fulmarstandin.StartPlatform("127.0.0.1:0", clock); err != nil {
		return f, err
	}
	client := fulmarplatform.NewClient(f.platform.URL(), platformCall, noCounter{})
	o := options{name: "vm", count: workers, perRack: 4, slots: 8, connections: 64}
	if f.workers, err = startWorkers(&o, client, clock); err != nil {
		return f, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range members {
		if err := f.startMember(ctx, localSettings(i, f.platform.URL())); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *localFleet) startMember(ctx context.Context, settings fulmarsettings.Daemon) error {
	member, err := fulmardaemon.Start(settings, f.clock, log.New(io.Discard))
	if err != nil {
		return err
	}
	f.members = append(f.members, member)
	go func() { f.ended <- member.Run(ctx) }()
	return nil
}

// localSettings returns the settings of a member on free local ports.
func localSettings(place int, platform string) fulmarsettings.Daemon {
	settings := fulmarsettings.DefaultDaemon()
	settings.Member = fmt.Sprintf("member-%d", place+1)
	settings.Callers, settings.Operators, settings.Peers = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Platform = platform
	settings.Times.StopNotReady = 100
	return settings
}

// apply puts a configuration in force, made against the one that the first member follows.
func (f *localFleet) apply(ctx context.Context, document, reason string) (fulmarapi.ConfigAccepted, error) {
	client := fulmarapi.NewClient("http://"+f.members[0].OperatorAddress(), "")
	return client.Apply(ctx, fulmarapi.ConfigRequest{
		Generation: f.members[0].Record().Generation, File: "fleet.jsonc", Text: document,
		Author: "fulmarbench", Reason: reason,
	})
}

// awaitWorkers waits until every member sees every other one and every worker.
func (f *localFleet) awaitWorkers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetStart)
	defer cancel()
	for !f.isComplete() {
		select {
		case <-time.After(fleetPoll):
		case <-ctx.Done():
			return &fulmarapi.OperatorError{Kind: "unavailable", Detail: "the members did not get their workers in time"}
		}
	}
	return nil
}

func (f *localFleet) isComplete() bool {
	for _, member := range f.members {
		status, workers := member.Status(), 0
		for _, pool := range status.Pools {
			workers += len(pool.Workers)
		}
		if workers != len(f.workers) || len(status.Members) != len(f.members) {
			return false
		}
	}
	return true
}

func (f *localFleet) targets() []string {
	var targets []string
	for _, member := range f.members {
		targets = append(targets, member.CallerAddress())
	}
	return targets
}

func (f *localFleet) close() {
	if f.cancel != nil {
		f.cancel()
		for range f.members {
			<-f.ended
		}
	}
	closeWorkers(f.workers)
	if f.platform != nil {
		f.platform.Close()
	}
}
