package fulmarmember

import (
	"github.com/charmbracelet/log"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
)

// Source provides this member's state for its digests and receives the peers' demands.
type Source interface {
	// Demands returns this member's demand by pool, in running and waiting requests.
	// Pools without demand are left out.
	Demands() map[string]int
	// SetPeerDemands sets the current demands of the other members by pool.
	SetPeerDemands(demands map[string][]fulmardispatch.Demand)
	// IsStopping reports whether this member is shutting down.
	IsStopping() bool
	// AppliedAssignments returns the sequence of the assignments that this member's schedulers
	// have applied, and the moving VMs on which it still has requests in flight.
	AppliedAssignments() (sequence int64, busyVMs []string)
	// IsIsolated reports whether this member has had no response from the platform for
	// too long.
	IsIsolated() bool
}

// Metrics counts the messages between members and their bytes. The direction is in,
// out or failed.
type Metrics interface {
	PeerMessage(direction string)
	PeerBytes(direction string, n int)
}

// ExchangeOptions configure an Exchange.
type ExchangeOptions struct {
	Self    fulmarfleet.Member
	Fleet   *fulmarfleet.Fleet
	Clock   fulmarclock.Clock
	Source  Source
	Metrics Metrics
	Logger  *log.Logger
	// Interval is the time between two digests to a peer.
	Interval fulmarclock.Millis
	// FencingTimeout is how long a member may dispatch work without contact. It bounds the
	// timeouts of the calls to peers.
	FencingTimeout fulmarclock.Millis
}
