package fulmardaemon

import (
	"context"

	"github.com/oklog/run"
)

// Run runs the member until ctx ends or a component fails. When ctx ends it stops
// gracefully: it fails the readiness check, refuses new requests, waits for those in
// flight, marks the member's registration as left and closes the components. It returns
// the error of the component that failed.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	var group run.Group
	d.addTask(&group, d.fleet.Watch)
	d.addTask(&group, d.fleet.PollVMs)
	d.addTask(&group, d.membership.Run)
	d.addTask(&group, d.exchange.Run)
	d.addTask(&group, d.followFleet)
	d.addTask(&group, d.runPlanner)
	group.Add(d.callerListener.serve, func(error) { d.callerListener.close() })
	group.Add(d.operatorListener.serve, func(error) { d.operatorListener.close() })
	group.Add(func() error { return d.peerServer.Serve(d.peerListener) }, func(error) { d.peerServer.Stop() })
	d.addShutdown(ctx, &group)
	d.logger.Info("member started", "callers", d.CallerAddress(), "operators", d.OperatorAddress(), "peers", d.self.PeerAddress)
	err := group.Run()
	if err != nil && ctx.Err() == nil {
		d.logger.Error("a component failed; the member stops", "error", err)
	}
	return err
}

// addShutdown adds the task that stops the member gracefully when ctx ends. If another
// component fails first, the group closes the listeners at once and this task only returns.
func (d *Daemon) addShutdown(ctx context.Context, group *run.Group) {
	failed := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
			d.stop()
		case <-failed:
			d.gateway.Stop()
		}
		return nil
	}, func(error) { close(failed) })
}

// addTask adds a background task to the group. Its context ends when the group stops.
func (d *Daemon) addTask(group *run.Group, task func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		task(ctx)
		return nil
	}, func(error) { cancel() })
}

// stop stops the gateway gracefully. First only the readiness check fails, for the time
// that the load balancer needs to detect it; then new requests are refused and those
// in flight have the configured time to end. Those that do not end get a refusal.
func (d *Daemon) stop() {
	d.logger.Info("member is stopping", "in_flight", d.gateway.InFlight())
	d.gateway.MarkNotReady()
	d.callerListener.announceClose()
	<-d.clock.After(d.settings.Times.NotReadyDelay)
	d.gateway.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Times.ShutdownTimeout.Duration())
	defer cancel()
	if !d.gateway.Wait(ctx) {
		d.logger.Warn("stop timeout passed; closing with requests still in flight", "in_flight", d.gateway.InFlight())
	}
	d.shutDown(ctx, d.callerListener, "callers")
	d.shutDown(ctx, d.operatorListener, "operators")
}

func (d *Daemon) shutDown(ctx context.Context, l *httpListener, users string) {
	if err := l.shutdown(ctx); err != nil {
		d.logger.Warn("connections were still open at the end of the stop; closing them", "users", users, "connections", l.server.ConnectionCount(), "error", err)
	}
}

// close closes the components after the group has ended.
func (d *Daemon) close() {
	d.pools.Close()
	d.claimer.Close()
	d.transport.Close()
	d.platform.Close()
	d.metrics.Close()
	d.logger.Info("member stopped")
}
