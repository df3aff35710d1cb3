package fulmarapi

import "fmt"

// Reason is the cause of a refusal or of an unknown outcome.
type Reason string

// Every reason. Each has a counter of its own.
const (
	ReasonUnknownPool      Reason = "unknown-pool"
	ReasonBadHeader        Reason = "bad-header"
	ReasonBadMethod        Reason = "bad-method"
	ReasonUnknownTeam      Reason = "unknown-team"
	ReasonBodyTooLarge     Reason = "body-too-large"
	ReasonBodyIncomplete   Reason = "body-incomplete"
	ReasonMemoryFull       Reason = "memory-full"
	ReasonQueueFull        Reason = "queue-full"
	ReasonTeamQueueFull    Reason = "team-queue-full"
	ReasonRingFull         Reason = "ring-full"
	ReasonDeadlineTooSoon  Reason = "deadline-too-soon"
	ReasonDeadlinePassed   Reason = "deadline-passed"
	ReasonNoConfiguration  Reason = "no-configuration"
	ReasonNotAnnounced     Reason = "not-announced"
	ReasonFenced           Reason = "fenced"
	ReasonStopping         Reason = "stopping"
	ReasonCallerGone       Reason = "caller-gone"
	ReasonDuplicateKey     Reason = "duplicate-key"
	ReasonClaimsFull       Reason = "claims-full"
	ReasonClaimUnavailable Reason = "claim-unavailable"
	ReasonClaimExpired     Reason = "claim-expired"
	ReasonWorkerRefused    Reason = "worker-refused"
	ReasonWorkerLost       Reason = "worker-lost"
	ReasonWorkerTimeout    Reason = "worker-timeout"
	ReasonAnswerCut        Reason = "answer-cut"
	ReasonAnswerUnframed   Reason = "answer-unframed"
)

// Reasons lists every reason, for counters and pages.
var Reasons = []Reason{
	ReasonUnknownPool, ReasonBadHeader, ReasonBadMethod, ReasonUnknownTeam, ReasonBodyTooLarge,
	ReasonBodyIncomplete, ReasonMemoryFull, ReasonQueueFull, ReasonTeamQueueFull, ReasonRingFull,
	ReasonDeadlineTooSoon, ReasonDeadlinePassed, ReasonNoConfiguration, ReasonNotAnnounced, ReasonFenced, ReasonStopping,
	ReasonCallerGone, ReasonDuplicateKey, ReasonClaimsFull, ReasonClaimUnavailable, ReasonClaimExpired,
	ReasonWorkerRefused, ReasonWorkerLost, ReasonWorkerTimeout, ReasonAnswerCut,
	ReasonAnswerUnframed,
}

// Refusal is the typed error of a request that got no answer.
type Refusal struct {
	outcome    Outcome
	reason     Reason
	detail     string
	retryAfter int
}

// NewRefusal returns a refusal for a request that did not run.
func NewRefusal(reason Reason, detail string) *Refusal {
	return &Refusal{outcome: NotRun, reason: reason, detail: detail}
}

// NewUnknown returns the error of a request that may have run.
func NewUnknown(reason Reason, detail string) *Refusal {
	return &Refusal{outcome: Unknown, reason: reason, detail: detail}
}

// WithRetryAfter returns a copy that asks the caller to wait for that many seconds.
func (r *Refusal) WithRetryAfter(seconds int) *Refusal {
	next := *r
	next.retryAfter = seconds
	return &next
}

// Outcome tells whether the request may have run.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// Reason returns the cause.
func (r *Refusal) Reason() Reason { return r.reason }

// Detail returns a sentence for people.
func (r *Refusal) Detail() string { return r.detail }

// RetryAfter returns the seconds to wait before a repeat; zero means no advice.
func (r *Refusal) RetryAfter() int { return r.retryAfter }

// Error returns the outcome, reason and detail in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.outcome, r.reason, r.detail)
}

// Problem is the RFC 9457 document sent for a Refusal.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
}
