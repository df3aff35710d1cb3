// Package fulmarapi holds what callers, backend servers and operators exchange
// with fulmardrum: outcomes, reasons, header names, status documents and a
// client for the operators' interface.
//
// Usage:
//
//	client := fulmarapi.NewClient("http://10.0.0.1:7002", token)
//	status, err := client.Status(ctx)
package fulmarapi

// Outcome tells a caller what happened to its request.
type Outcome string

// The three outcomes. Every response carries one in HeaderOutcome.
const (
	// Answered: the body is the worker's whole answer.
	Answered Outcome = "answered"
	// NotRun: the request did not run on any worker and can be sent again.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
)

// Header names of the callers' and the workers' interface.
const (
	// HeaderOutcome carries an Outcome on every response to a caller, and NotRun on a worker's own refusal.
	HeaderOutcome = "Fulmardrum-Outcome"
	// HeaderReason carries a Reason on every response that is not an answer.
	HeaderReason = "Fulmardrum-Reason"
	// HeaderTimeout carries the caller's whole time limit in milliseconds.
	HeaderTimeout = "Fulmardrum-Timeout"
	// HeaderUrgency carries an Urgency.
	HeaderUrgency = "Fulmardrum-Urgency"
	// HeaderTeam carries the name of the team whose quota pays.
	HeaderTeam = "Fulmardrum-Team"
	// HeaderPool and HeaderEpoch tell a worker under which assignment it is used.
	HeaderPool  = "Fulmardrum-Pool"
	HeaderEpoch = "Fulmardrum-Epoch"
	// HeaderIdempotencyKey makes a request run at most once over all its repeats.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Urgency orders requests within a pool's queue.
type Urgency int

// The urgencies, the most urgent first.
const (
	Urgent Urgency = iota
	Normal
	Slow
	// UrgencyCount is the number of urgencies.
	UrgencyCount
)

var urgencyNames = [UrgencyCount]string{"urgent", "normal", "slow"}

// String returns the urgency's name in headers and counters.
func (u Urgency) String() string { return urgencyNames[u] }

// ParseUrgency returns the urgency of that name.
func ParseUrgency(name string) (Urgency, bool) {
	for u, known := range urgencyNames {
		if known == name {
			return Urgency(u), true
		}
	}
	return Normal, false
}
