package fulmardispatch

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarqueue"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// Target is a worker's address together with its assignment to a pool.
type Target struct {
	VM      string
	Address string
	Pool    string
	Epoch   int64
}

// Grant is a slot on a worker, or a refusal if Refusal is set.
type Grant struct {
	Target Target
	// FirstByteTimeout is how long the first byte may take before a retry on another worker.
	FirstByteTimeout fulmarclock.Millis
	Refusal          *fulmarapi.Refusal
}

// Ticket represents a request in a pool's scheduler, first in the queue and, once
// granted, with a slot. From Submit to the grant only the scheduler may use it.
type Ticket struct {
	team       string
	urgency    fulmarapi.Urgency
	idempotent bool
	deadline   fulmarclock.Millis
	grants     chan Grant

	// entry is the ticket's queue entry, or nil before it is queued.
	entry *fulmarqueue.Entry[*Ticket]
	// worker is the worker whose slot the ticket holds, or nil.
	worker *worker
	// avoidVM is the VM of the last failed attempt, or empty.
	avoidVM   string
	grantedAt fulmarclock.Millis
	isProbe   bool
	result    Result
}

// NewTicket returns a ticket; deadline is a time of the scheduler's clock.
func NewTicket(team string, urgency fulmarapi.Urgency, idempotent bool, deadline fulmarclock.Millis) *Ticket {
	return &Ticket{team: team, urgency: urgency, idempotent: idempotent, deadline: deadline, grants: make(chan Grant, 1)}
}

// Grants returns the channel that receives the ticket's slot or refusal.
func (t *Ticket) Grants() <-chan Grant { return t.grants }

// Result is the result of one attempt to run a request on a worker.
type Result int

// Results of an attempt.
const (
	// ResultSucceeded means a complete response with a status below 500.
	ResultSucceeded Result = iota
	// ResultFailed means a 5xx response, an invalid one, or a lost connection.
	ResultFailed
	// ResultTimedOut means that no response arrived within the first-byte timeout.
	ResultTimedOut
	// ResultUnreachable means that no connection to the worker could be made.
	ResultUnreachable
	// ResultBusy means that the worker refused the request because it has no free slot.
	ResultBusy
	// ResultStale means that the worker refused the request because its assignment has changed or it is draining.
	ResultStale
	// ResultNeutral gives no information about the worker, for example if the caller disconnected.
	ResultNeutral
)

var resultNames = [...]string{"answered", "failed", "silent", "unreachable", "busy", "stale", "neutral"}

// String returns the result's name in metrics.
func (r Result) String() string { return resultNames[r] }
