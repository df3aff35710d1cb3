package fulmardaemon

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// Demands returns the demand of each pool that has any, in running and queued requests.
func (d *Daemon) Demands() map[string]int { return d.pools.Demands() }

// SetPeerDemands sets the other members' demands by pool.
func (d *Daemon) SetPeerDemands(demands map[string][]fulmardispatch.Demand) {
	d.pools.SetPeerDemands(demands)
}

// IsStopping reports whether this member is shutting down.
func (d *Daemon) IsStopping() bool { return d.gateway.IsStopping() }

// Status returns the state of this member, its pools and its view of the fleet.
func (d *Daemon) Status() fulmarapi.Status {
	view := d.fleet.View()
	status := fulmarapi.Status{
		Member: d.self.Name, Ready: d.gateway.IsReady(), Generation: view.Record().Generation,
		ViewAgeMillis: int64(d.clock.Now() - view.LastPlatformResponse()), Pools: d.pools.Reports(),
	}
	for _, m := range view.Members() {
		report := fulmarapi.MemberReport{
			Name: m.Name, Region: m.Region, DataCentre: m.DataCentre, PeerAddress: m.PeerAddress, OperatorAddress: m.OperatorAddress,
			Generation: d.exchange.Generation(m.Name), AgeMillis: int64(d.exchange.DigestAge(m.Name)),
		}
		if m.Name == d.self.Name {
			report.Generation, report.AgeMillis = status.Generation, 0
		}
		status.Members = append(status.Members, report)
	}
	return status
}
