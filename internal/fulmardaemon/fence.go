package fulmardaemon

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmember"
)

// fenceCheckInterval is how long the result of a fence check is reused.
const fenceCheckInterval = 20 * fulmarclock.Millis(1)

// fenceCheck is the cached result of a fence check.
type fenceCheck struct {
	checkedAt fulmarclock.Millis
	fenced    bool
}

// IsFenced reports whether this member must not send requests to workers, as it may
// have missed a change of the assignments. The result is reused for
// fenceCheckInterval of the clock, so that a process that was paused checks again
// before it sends anything.
func (d *Daemon) IsFenced() bool {
	now := d.clock.Now()
	if last := d.lastFenceCheck.Load(); last != nil && now-last.checkedAt < fenceCheckInterval {
		return last.fenced
	}
	fenced := d.evaluateFence(now)
	d.lastFenceCheck.Store(&fenceCheck{checkedAt: now, fenced: fenced})
	return fenced
}

func (d *Daemon) evaluateFence(now fulmarclock.Millis) bool {
	limit := d.settings.Times.FencingTimeout
	return fulmarmember.IsFenced(fulmarmember.Connectivity{
		Now: now, PlatformResponse: d.fleet.View().LastPlatformResponse(), ReachablePeers: d.exchange.ReachablePeers(limit),
		ExpectedMembers: d.fleet.View().ExpectedMembers(now), BehindSince: d.exchange.BehindSince(), FencingTimeout: limit,
	})
}

// IsIsolated reports whether the platform has responded to no watch for longer than the fencing timeout.
func (d *Daemon) IsIsolated() bool {
	return d.clock.Now()-d.fleet.View().LastPlatformResponse() > d.settings.Times.FencingTimeout
}

// IsAnnounced reports whether this member has ever seen its own registration. Before
// that, the planner moves VMs without waiting for this member to release them.
func (d *Daemon) IsAnnounced() bool {
	if d.announced.Load() {
		return true
	}
	seen := d.fleet.View().HasMember(d.self.Name, d.self.Incarnation)
	if seen {
		d.announced.Store(true)
	}
	return seen
}
