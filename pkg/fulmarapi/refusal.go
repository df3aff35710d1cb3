package fulmarapi

import "fmt"

// Reason is a code for the cause of a refusal or of an unknown outcome.
type Reason string

// The reasons. Each is a label value of the refusals counter.
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

// Reasons lists every reason, for metrics and documentation.
var Reasons = []Reason{
	ReasonUnknownPool, ReasonBadHeader, ReasonBadMethod, ReasonUnknownTeam, ReasonBodyTooLarge,
	ReasonBodyIncomplete, ReasonMemoryFull, ReasonQueueFull, ReasonTeamQueueFull, ReasonRingFull,
	ReasonDeadlineTooSoon, ReasonDeadlinePassed, ReasonNoConfiguration, ReasonNotAnnounced, ReasonFenced, ReasonStopping,
	ReasonCallerGone, ReasonDuplicateKey, ReasonClaimsFull, ReasonClaimUnavailable, ReasonClaimExpired,
	ReasonWorkerRefused, ReasonWorkerLost, ReasonWorkerTimeout, ReasonAnswerCut,
	ReasonAnswerUnframed,
}

// Refusal is the error of a request that was not answered.
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

// WithRetryAfter returns a copy that asks the caller to wait this many seconds before a retry.
func (r *Refusal) WithRetryAfter(seconds int) *Refusal {
	copied := *r
	copied.retryAfter = seconds
	return &copied
}

// Outcome returns NotRun, or Unknown if the request may have run.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// Reason returns the code of the cause.
func (r *Refusal) Reason() Reason { return r.reason }

// Detail returns a description of the cause.
func (r *Refusal) Detail() string { return r.detail }

// RetryAfter returns how many seconds to wait before a retry; zero means unspecified.
func (r *Refusal) RetryAfter() int { return r.retryAfter }

// Error returns the outcome, the reason and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.outcome, r.reason, r.detail)
}

// Problem is the body of the response to a refused request (RFC 9457 problem details).
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
}
