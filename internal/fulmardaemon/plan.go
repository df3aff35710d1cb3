package fulmardaemon

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarqueue"
)

// sparedMembers is the number of members above the live ones for which each
// worker keeps connections, as a replacement may start before its predecessor has ended.
const sparedMembers = 1

// plansOf works out what each pool's scheduler is to follow.
func plansOf(view *fulmarfleet.View, now fulmarclock.Millis, workerConnections int) map[string]fulmardispatch.PoolPlan {
	document := view.Record().Document
	members := max(1, len(view.Members()))
	teams := teamBounds(document, members)
	workers := workersByPool(view, now)
	anyTeamShare := len(document.Teams) == 0
	plans := make(map[string]fulmardispatch.PoolPlan, len(document.Pools))
	for name := range document.Pools {
		defaults := document.DefaultsFor(name)
		if anyTeamShare {
			defaults.TeamShare = 1
		}
		plans[name] = fulmardispatch.PoolPlan{
			Settings: fulmardispatch.Settings{
				Bounds:         fulmarqueue.Bounds{Requests: defaults.QueueRequests, TeamShare: defaults.TeamShare},
				Teams:          teams,
				AvailableShare: defaults.AvailableShare,
				RetryShare:     defaults.RetryShare,
			},
			View: fulmardispatch.View{
				Workers:     workers[name],
				Connections: max(1, workerConnections/(members+sparedMembers)),
				Members:     members,
			},
		}
	}
	for name, assigned := range workers {
		if _, planned := plans[name]; !planned {
			plans[name] = retiredPlan(assigned)
		}
	}
	return plans
}

// retiredPlan keeps the scheduler of a removed pool while VMs are still
// assigned to it, so that its last requests are known.
func retiredPlan(assigned []fulmardispatch.Assigned) fulmardispatch.PoolPlan {
	view := fulmardispatch.View{Members: 1}
	for _, a := range assigned {
		a.Leaving = true
		view.Workers = append(view.Workers, a)
	}
	return fulmardispatch.PoolPlan{Settings: fulmardispatch.Settings{Retired: true}, View: view}
}

// teamBounds splits each team's quota evenly among the members, rounded up.
func teamBounds(document fulmarconfig.Document, members int) map[string]fulmarqueue.TeamBounds {
	bounds := make(map[string]fulmarqueue.TeamBounds, len(document.Teams))
	for name, team := range document.Teams {
		running := (team.RunningRequests + members - 1) / members
		bounds[name] = fulmarqueue.TeamBounds{Weight: team.Weight, Running: running}
	}
	return bounds
}

func workersByPool(view *fulmarfleet.View, now fulmarclock.Millis) map[string][]fulmardispatch.Assigned {
	table, _ := view.Table()
	workers := map[string][]fulmardispatch.Assigned{}
	for _, vm := range view.Workers(now) {
		assignment, assigned := table.VMs[vm.ID]
		if !assigned {
			continue
		}
		workers[assignment.Pool] = append(workers[assignment.Pool], fulmardispatch.Assigned{
			Target: fulmardispatch.Target{
				VM: vm.ID, Address: vm.Address, Pool: assignment.Pool, Epoch: assignment.Epoch,
			},
			Slots: vm.Slots, Leaving: vm.State == fulmarplatform.VMLeaving || assignment.IsMoving(),
		})
	}
	return workers
}
