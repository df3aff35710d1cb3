package fulmarowner

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Kind is the kind of a request.
type Kind int

// The kinds of requests: submit a job, return a job's state, cancel a job, and count the
// pending jobs of a queue.
const (
	Submit Kind = iota + 1
	State
	Cancel
	Pending
)

// Question is a caller's request to the owner of the scheduler.
type Question struct {
	Kind Kind
	// Job is the ID of the job; Queue and Specification are set for Submit, Queue for Pending.
	Job           string
	Queue         string
	Specification fulmarjob.Specification
	// Version is the version of the configuration with which the sending member chose the queue.
	Version int64
	// OwnerToken is the fencing token of the intended owner, so that a later owner does
	// not execute a delayed request; 0 means any owner.
	OwnerToken int64
}

// Outcome is the outcome of a request.
type Outcome int

// The outcomes of a request.
const (
	Done Outcome = iota + 1
	// Refused means that the job was not accepted and will not run because of this request.
	Refused
	UnknownJob
	// NotOwner means that nothing was done because this member does not own the scheduler.
	NotOwner
	// Unknown means that the request may have been executed.
	Unknown
)

// Reply is the owner's response to a request. Token is set if the owner received it.
type Reply struct {
	Outcome    Outcome
	Reason     string
	RetryAfter fulmarclock.Millis
	State      fulmarjob.State
	Pending    int
	// Token is the owner's fencing token.
	Token int64
}
