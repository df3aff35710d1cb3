package fulmardispatch

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarqueue"
)

// Settings are the parts of the configuration that a scheduler uses.
type Settings struct {
	Bounds fulmarqueue.Bounds
	// Teams holds the teams' quotas by team name.
	Teams map[string]fulmarqueue.TeamQuota
	// AvailableShare is the fraction of the workers that must not be ejected, 0 to 1.
	AvailableShare float64
	// RetryShare is the number of retries allowed per request.
	RetryShare float64
	// Retired makes the scheduler refuse all requests of a removed pool, which
	// exists until its VMs have moved.
	Retired bool
}

// PoolView is the state of a pool's workers and of the fleet's members.
type PoolView struct {
	Workers []AssignedWorker
	// ConnectionsPerWorker is the maximum number of this member's connections to each worker.
	ConnectionsPerWorker int
	// Members is the number of live members.
	Members int
}

// Options configure a scheduler.
type Options struct {
	Clock  fulmarclock.Clock
	Policy Policy
	// Sharing is one of the names in fulmarsettings.
	Sharing string
	// RingCapacity is the capacity of the event ring.
	RingCapacity int
	Seed         uint64
	Settings     Settings
}
