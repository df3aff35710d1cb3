package fulmarowner

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// RequestKind is the kind of a request.
type RequestKind int

// The kinds of requests: submit a job, return a job's state, cancel a job, count the
// pending jobs of a queue, and explain where a job would go.
const (
	Submit RequestKind = iota + 1
	State
	Cancel
	Pending
	Explain
)

// Request is a caller's request to the owner of the scheduler.
type Request struct {
	Kind RequestKind
	// Job is the ID of the job; it is empty for Pending, and for Explain of a job that is not submitted.
	// Specification is set for Submit, and for Explain without a job.
	Job           string
	Queue         string
	Specification fulmarjob.Specification
	// Customer is the name of the customer whose API key the request carries; empty for none.
	Customer string
	// ConfigurationVersion is the version of the configuration with which the sending member chose the queue.
	ConfigurationVersion int64
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
	// NotOwner means that nothing was done: this member does not own the scheduler, may
	// have lost the ownership, is not the intended owner, or has an older configuration
	// than the sending member.
	NotOwner
	// Unknown means that the request may have been executed.
	Unknown
	// Forbidden means that nothing was done, as the request may not use the job: it is of another customer, or
	// of a queue that the request was not sent to.
	Forbidden
)

// Response is the owner's response to a request. Token is set if the owner received the
// request.
type Response struct {
	Outcome    Outcome
	Reason     string
	RetryAfter fulmarclock.Millis
	State      fulmarjob.State
	Pending    int
	// Explanation is set for Explain.
	Explanation *fulmarapi.Explanation
	// Token is the owner's fencing token.
	Token int64
}

// reasonBusy is the reason of the submissions that the owner refuses because it is overloaded.
const reasonBusy = "busy"

// IsShed reports whether the owner refused a submission because it is overloaded, without
// deciding on it.
func (r Response) IsShed() bool { return r.Outcome == Refused && r.Reason == reasonBusy }

// shedResponse is the response to a submission that the owner refuses because it is overloaded.
var shedResponse = Response{Outcome: Refused, Reason: reasonBusy, RetryAfter: fulmarclock.Second}
