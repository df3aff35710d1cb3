// Package fulmarapi defines the API between fulmardrum and its callers, backend servers
// and operators: outcomes, reasons, header names, status documents and a client of the
// operator API.
//
// Usage:
//
//	client := fulmarapi.NewClient("http://10.0.0.1:7002", token)
//	status, err := client.Status(ctx)
package fulmarapi

// Outcome reports to a caller whether its request ran.
type Outcome string

// The three outcomes. Every response to a caller carries one in HeaderOutcome.
const (
	// Answered means that the body is the worker's complete response.
	Answered Outcome = "answered"
	// NotRun means that the request did not run on any worker and can be retried safely.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Names of the headers that callers and workers exchange with fulmardrum.
const (
	// HeaderOutcome carries an Outcome in every response to a caller, and NotRun in the response
	// of a worker that refuses a request.
	HeaderOutcome = "Fulmardrum-Outcome"
	// HeaderReason carries a Reason in every response whose outcome is not Answered.
	HeaderReason = "Fulmardrum-Reason"
	// HeaderTimeout carries the caller's timeout in milliseconds, for all attempts together.
	HeaderTimeout = "Fulmardrum-Timeout"
	// HeaderUrgency carries an Urgency.
	HeaderUrgency = "Fulmardrum-Urgency"
	// HeaderTeam carries the name of the team whose quota the request counts against.
	HeaderTeam = "Fulmardrum-Team"
	// HeaderPool and HeaderEpoch carry the pool and the epoch of the assignment under which
	// a request is sent to a worker.
	HeaderPool  = "Fulmardrum-Pool"
	HeaderEpoch = "Fulmardrum-Epoch"
	// HeaderIdempotencyKey carries a key; requests with the same key run at most once in total.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Urgency is the priority of a request within a pool's queue.
type Urgency int

// The urgencies, from the highest to the lowest priority.
const (
	Urgent Urgency = iota
	Normal
	Slow
	// UrgencyCount is the number of urgencies.
	UrgencyCount
)

var urgencyNames = [UrgencyCount]string{"urgent", "normal", "slow"}

// String returns the urgency's name in headers and metrics.
func (u Urgency) String() string { return urgencyNames[u] }

// ParseUrgency returns the urgency with this name, or Normal and false if there is none.
func ParseUrgency(name string) (Urgency, bool) {
	for u, urgencyName := range urgencyNames {
		if urgencyName == name {
			return Urgency(u), true
		}
	}
	return Normal, false
}
