package fulmardaemon

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarqueue"
)

// spareMembers is added to the number of registered members when a worker's connection
// limit is divided among them, as the replacement of a member may start before the
// previous process has ended.
const spareMembers = 1

// poolSpecs returns the settings and workers for the scheduler of each pool, by the
// pool's name. workerConnections is each worker's limit of connections, which is
// divided among the members.
func poolSpecs(view *fulmarfleet.View, now fulmarclock.Millis, workerConnections int) map[string]fulmardispatch.PoolSpec {
	document := view.Record().Document
	members := max(1, len(view.Members()))
	teams := teamQuotasPerMember(document, members)
	workers := workersByPool(view, now)
	noTeams := len(document.Teams) == 0
	specs := make(map[string]fulmardispatch.PoolSpec, len(document.Pools))
	for name := range document.Pools {
		defaults := document.DefaultsFor(name)
		if noTeams {
			defaults.TeamShare = 1
		}
		specs[name] = fulmardispatch.PoolSpec{
			Settings: fulmardispatch.Settings{
				Bounds:         fulmarqueue.Bounds{MaxWaiting: defaults.QueueRequests, TeamShare: defaults.TeamShare},
				Teams:          teams,
				AvailableShare: defaults.AvailableShare,
				RetryShare:     defaults.RetryShare,
			},
			View: fulmardispatch.PoolView{
				Workers:              workers[name],
				ConnectionsPerWorker: max(1, workerConnections/(members+spareMembers)),
				Members:              members,
			},
		}
	}
	for name, assigned := range workers {
		if _, found := specs[name]; !found {
			specs[name] = retiredSpec(assigned)
		}
	}
	return specs
}

// retiredSpec returns the spec of a removed pool that still has VMs assigned. Its
// scheduler keeps running with all workers draining, so that the member can detect when the
// pool's last requests have ended.
func retiredSpec(assigned []fulmardispatch.AssignedWorker) fulmardispatch.PoolSpec {
	view := fulmardispatch.PoolView{Members: 1}
	for _, a := range assigned {
		a.Draining = true
		view.Workers = append(view.Workers, a)
	}
	return fulmardispatch.PoolSpec{Settings: fulmardispatch.Settings{Retired: true}, View: view}
}

// teamQuotasPerMember divides each team's quota evenly among the members, rounded up.
func teamQuotasPerMember(document fulmarconfig.Document, members int) map[string]fulmarqueue.TeamQuota {
	quotas := make(map[string]fulmarqueue.TeamQuota, len(document.Teams))
	for name, team := range document.Teams {
		running := (team.RunningRequests + members - 1) / members
		quotas[name] = fulmarqueue.TeamQuota{Weight: team.Weight, MaxRunning: running}
	}
	return quotas
}

// workersByPool returns the assigned VMs of each pool.
func workersByPool(view *fulmarfleet.View, now fulmarclock.Millis) map[string][]fulmardispatch.AssignedWorker {
	table, _ := view.Table()
	workers := map[string][]fulmardispatch.AssignedWorker{}
	for _, vm := range view.Workers(now) {
		assignment, found := table.VMs[vm.ID]
		if !found {
			continue
		}
		workers[assignment.Pool] = append(workers[assignment.Pool], fulmardispatch.AssignedWorker{
			Target: fulmardispatch.Target{
				VM: vm.ID, Address: vm.Address, Pool: assignment.Pool, Epoch: assignment.Epoch,
			},
			Slots: vm.Slots, Draining: vm.State == fulmarplatform.VMDraining || assignment.IsMoving(),
		})
	}
	return workers
}
