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
	// fleetStartTimeout is the timeout for the start of a local fleet.
	fleetStartTimeout = 30 * time.Second
	// fleetPollInterval is the interval between checks of a starting fleet.
	fleetPollInterval = 50 * time.Millisecond
)

// localFleet runs a simulated platform, simulated workers and members in one process.
type localFleet struct {
	clock    fulmarclock.Clock
	platform *fulmarstandin.Platform
	workers  []*fulmarstandin.Worker
	members  []*fulmardaemon.Daemon
	cancel   context.CancelFunc
	exited   chan error
}

// startLocalFleet starts a fleet without a configuration. The caller must close the fleet
// also after an error.
func startLocalFleet(members, workers int) (*localFleet, error) {
	clock := fulmarclock.NewSystem()
	f := &localFleet{clock: clock, exited: make(chan error, members)}
	var err error
	if f.platform, err = fulmarstandin.StartPlatform("127.0.0.1:0", clock); err != nil {
		return f, err
	}
	client := fulmarplatform.NewClient(f.platform.URL(), platformTimeout, nopCounter{})
	o := options{name: "vm", count: workers, vmsPerRack: 4, slots: 8, connections: 64}
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
	go func() { f.exited <- member.Run(ctx) }()
	return nil
}

// localSettings returns the settings of a member on free local ports.
func localSettings(index int, platform string) fulmarsettings.Daemon {
	settings := fulmarsettings.DefaultDaemon()
	settings.Member = fmt.Sprintf("member-%d", index+1)
	settings.CallerAddress, settings.OperatorAddress, settings.PeerAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.PlatformURL = platform
	settings.Times.NotReadyDelay = 100
	return settings
}

// apply submits a configuration, based on the generation that the first member has applied.
func (f *localFleet) apply(ctx context.Context, document, reason string) (fulmarapi.ConfigAccepted, error) {
	client := fulmarapi.NewClient("http://"+f.members[0].OperatorAddress(), "")
	return client.Apply(ctx, fulmarapi.ConfigRequest{
		Generation: f.members[0].Record().Generation, File: "fleet.jsonc", Text: document,
		Author: "fulmarbench", Reason: reason,
	})
}

// awaitWorkers waits until every member knows all members and has all workers in its pools.
// It returns an error after fleetStartTimeout.
func (f *localFleet) awaitWorkers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetStartTimeout)
	defer cancel()
	for !f.isComplete() {
		select {
		case <-time.After(fleetPollInterval):
		case <-ctx.Done():
			return &fulmarapi.OperatorError{Kind: "unavailable", Detail: "members did not get their workers before the start timeout"}
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
			<-f.exited
		}
	}
	closeWorkers(f.workers)
	if f.platform != nil {
		f.platform.Close()
	}
}
