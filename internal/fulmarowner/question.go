package fulmarowner

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Kind is what a caller asks for.
type Kind int

// The kinds of questions.
const (
	Submit Kind = iota + 1
	State
	Cancel
	Pending
)

// Question is a caller's request to the owner.
type Question struct {
	Kind          Kind
	Job           string
	Queue         string
	Specification fulmarjob.Specification
	// Version is the configuration by which the asking member chose the queue.
	Version int64
	// OwnerToken is the token of the owner that is meant, so that a question which
	// arrives late is not taken by a later owner; zero means any owner.
	OwnerToken int64
}

// Outcome is what became of a question.
type Outcome int

// The outcomes.
const (
	Done Outcome = iota + 1
	// Refused means that a job was not taken in and never runs by this request.
	Refused
	UnknownJob
	// NotOwner means that nothing was done, as another member owns the scheduler.
	NotOwner
	// Unknown means that the request may have been carried out.
	Unknown
)

// Reply is the owner's reply.
type Reply struct {
	Outcome    Outcome
	Reason     string
	RetryAfter fulmarclock.Millis
	State      fulmarjob.State
	Pending    int
	// Token is the owner's fencing token.
	Token int64
}
