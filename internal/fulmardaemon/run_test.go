package fulmardaemon_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardaemon"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
)

// startDaemon starts a member, which does not run yet, with a platform of its own.
func startDaemon(c *qt.C) *fulmardaemon.Daemon {
	clock := fulmarclock.NewSystem()
	platform, err := fulmarstandin.StartPlatform("127.0.0.1:0", clock)
	c.Assert(err, qt.IsNil)
	c.Cleanup(platform.Close)
	daemon, err := fulmardaemon.Start(testSettings(0, platform.URL()), clock, log.New(io.Discard))
	c.Assert(err, qt.IsNil)
	return daemon
}

// TestRunEndsWhenComponentFails makes the listener for the peers fail. The member must stop
// with that error instead of running on without its peers until it is told to stop.
func TestRunEndsWhenComponentFails(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	daemon := startDaemon(c)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	daemon.ClosePeerListener()
	select {
	case err := <-ended:
		c.Assert(err, qt.IsNotNil)
	case <-time.After(waitTimeout):
		c.Fatal("the member still runs")
	}
}

// TestMemberThatIsNotReadyIsNotStopping checks what a member reports to its peers before it
// has a configuration, and while it stops.
func TestMemberThatIsNotReadyIsNotStopping(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	daemon := startDaemon(c)
	c.Assert(daemon.Gateway().IsReady(), qt.IsFalse)
	c.Assert(daemon.IsStopping(), qt.IsFalse)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	c.Assert(daemon.Run(ctx), qt.IsNil)
	c.Assert(daemon.IsStopping(), qt.IsTrue)
}
