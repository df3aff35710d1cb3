package fulmardaemon

import (
	"context"

	"github.com/oklog/run"
)

// Run works until ctx ends, then stops in order: the balancer is told, new
// requests are refused, those in flight end, and the lease is given back.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	var group run.Group
	d.addDuty(&group, d.fleet.Watch)
	d.addDuty(&group, d.fleet.PollVMs)
	d.addDuty(&group, d.membership.Keep)
	d.addDuty(&group, d.exchange.Run)
	d.addDuty(&group, d.follow)
	d.addDuty(&group, d.plan)
	group.Add(d.callers.run, func(error) { d.callers.close() })
	group.Add(d.operators.run, func(error) { d.operators.close() })
	group.Add(func() error { return d.grpc.Serve(d.peers) }, func(error) { d.grpc.Stop() })
	group.Add(func() error {
		<-ctx.Done()
		d.stop()
		return nil
	}, func(error) {})
	d.logger.Info("the member has started", "callers", d.Callers(), "operators", d.Operators(), "peers", d.self.Peers)
	return group.Run()
}

func (d *Daemon) addDuty(group *run.Group, duty func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		duty(ctx)
		return nil
	}, func(error) { cancel() })
}

// stop lets every request in flight end, within the time set for it.
func (d *Daemon) stop() {
	d.logger.Info("the member stops", "in_flight", d.entry.InFlight())
	d.entry.MarkNotReady()
	d.callers.server.SetKeepAlivesEnabled(false)
	<-d.clock.After(d.settings.Times.StopNotReady)
	d.entry.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Times.StopInFlight.Duration())
	defer cancel()
	if !d.entry.Wait(ctx) {
		d.logger.Warn("requests were still in flight at the end of the time for stopping", "in_flight", d.entry.InFlight())
	}
	d.callers.shutdown(ctx)
}

func (d *Daemon) close() {
	d.pools.Close()
	d.claimer.Close()
	d.transport.Close()
	d.platform.Close()
	d.metrics.Close()
	d.logger.Info("the member has stopped")
}
