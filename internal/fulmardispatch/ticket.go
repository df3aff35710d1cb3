package fulmardispatch

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarqueue"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// Target is a worker under one assignment.
type Target struct {
	VM      string
	Address string
	Pool    string
	Epoch   int64
}

// Grant is a slot on a worker, or the refusal of a waiting request.
type Grant struct {
	Target Target
	// FirstByteTimeout is how long the first byte may take before a retry elsewhere.
	FirstByteTimeout fulmarclock.Millis
	Refusal          *fulmarapi.Refusal
}

// Ticket is one request's place in a pool's queue and, once granted, its slot.
// Between Submit and the grant it belongs to the scheduler.
type Ticket struct {
	team       string
	urgency    fulmarapi.Urgency
	idempotent bool
	deadline   fulmarclock.Millis
	grants     chan Grant

	entry     *fulmarqueue.Entry[*Ticket]
	worker    *worker
	avoidVM   string
	grantedAt fulmarclock.Millis
	isProbe   bool
	result    Result
}

// NewTicket returns a ticket; deadline is a point on the scheduler's clock.
func NewTicket(team string, urgency fulmarapi.Urgency, idempotent bool, deadline fulmarclock.Millis) *Ticket {
	return &Ticket{team: team, urgency: urgency, idempotent: idempotent, deadline: deadline, grants: make(chan Grant, 1)}
}

// Grants returns the channel that receives the ticket's slot or refusal.
func (t *Ticket) Grants() <-chan Grant { return t.grants }

// Result is what one attempt on a worker came to.
type Result int

// Results of an attempt.
const (
	// ResultSucceeded is a whole answer.
	ResultSucceeded Result = iota
	// ResultFailed is an answer with status 5xx, or a connection lost after sending.
	ResultFailed
	// ResultSilent is a worker that gave no byte within the patience.
	ResultSilent
	// ResultUnreachable is a worker to which no connection could be made.
	ResultUnreachable
	// ResultBusy is the worker's refusal for want of a free slot.
	ResultBusy
	// ResultStale is the worker's refusal of an old assignment, or of work while it leaves.
	ResultStale
	// ResultNeutral says nothing about the worker, such as a caller that went away.
	ResultNeutral
)

var resultNames = [...]string{"answered", "failed", "silent", "unreachable", "busy", "stale", "neutral"}

// String returns the result's name in counters.
func (r Result) String() string { return resultNames[r] }
