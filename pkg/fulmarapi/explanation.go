package fulmarapi

import "encoding/json"

// ExplainPath is the path of explanations on the metrics listener of a member of fulmarnoded.
const ExplainPath = "/explain"

// ExplainKeyScheme is the scheme of the Authorization header of an ExplainRequest with a customer's API key.
const ExplainKeyScheme = "Bearer"

// ExplainRequest asks where a job would go now, without submitting it. Exactly one of Job and Specification
// is set. The API key of a customer is sent in the Authorization header instead of Customer.
type ExplainRequest struct {
	// Queue is the name of a queue. Without it, Host and Path select the queue as for callers.
	Queue string `json:"queue,omitempty"`
	Host  string `json:"host,omitempty"`
	Path  string `json:"path,omitempty"`
	// Customer is the name of the customer that would submit the job; empty for none.
	Customer string `json:"customer,omitempty"`
	// Job is the ID of a known job. Its queue and customer are those of the request, as far as it names any.
	Job string `json:"job,omitempty"`
	// Specification is the body of a job's submission.
	Specification json.RawMessage `json:"specification,omitempty"`
}

// Explanation says where a job would go now, and why. Nothing in it is a promise: any event may change it.
type Explanation struct {
	// Job is empty for a job that is not submitted.
	Job      string `json:"job,omitempty"`
	Customer string `json:"customer,omitempty"`
	Queue    string `json:"queue"`
	Service  string `json:"service"`
	Priority int    `json:"priority"`
	// Decision is what a submission would get; nil for a known job.
	Decision *ExplainedDecision `json:"decision,omitempty"`
	// Progress is nil for a job that is not submitted.
	Progress *JobProgress `json:"progress,omitempty"`
	// Quota is nil for a customer without a quota.
	Quota *QuotaReport `json:"quota,omitempty"`
	// Share is nil unless the customers' shares bind.
	Share *ShareReport `json:"share,omitempty"`
	// Steps are the steps that can start and have waiting tasks.
	Steps []StepExplanation `json:"steps,omitempty"`
	// EndMillis is the expected time until the job's end in milliseconds; -1 means unknown. Work that comes
	// before later steps is not foreseen.
	EndMillis int64 `json:"end_ms"`
}

// Refuse makes the explanation one of a submission that would be refused.
func (x *Explanation) Refuse(reason string, retryAfterMillis int64) {
	x.Decision = &ExplainedDecision{Reason: reason, RetryAfterMillis: retryAfterMillis}
	x.EndMillis = -1
	for i := range x.Steps {
		x.Steps[i].Executor, x.Steps[i].Start = "", ExpectedStart{Basis: StartRefused, Millis: -1}
	}
}

// ExplainedDecision is what a submission would get.
type ExplainedDecision struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason"`
	// RetryAfterMillis is zero without a retry delay.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// JobProgress is the state of a known job. The numbers of tasks are those of its open occurrences.
type JobProgress struct {
	// State is what the job's caller would see.
	State string `json:"state"`
	// Running includes the tasks that are placed and whose start is not confirmed yet.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Done    int `json:"done"`
}

// ResourceReport is an amount of resources.
type ResourceReport struct {
	MilliCPU int64 `json:"mcpu"`
	MemoryMB int64 `json:"memory_mb"`
	GPUs     int64 `json:"gpus"`
}

// QuotaReport is a customer's quota and what counts towards it. A limit of 0 is none.
type QuotaReport struct {
	Limit ResourceReport `json:"limit"`
	Used  ResourceReport `json:"used"`
}

// Standing is how a job stands to its customer's share.
type Standing string

// The standings.
const (
	StandingWithin       Standing = "within"
	StandingPartlyWithin Standing = "partly-within"
	StandingBeyond       Standing = "beyond"
)

// ShareReport is a customer's share of a service, and what it demands, as fractions of the capacity.
type ShareReport struct {
	Share    float64  `json:"share"`
	Demand   float64  `json:"demand"`
	Standing Standing `json:"standing"`
}

// StepExplanation says where the waiting tasks of a step would go now.
type StepExplanation struct {
	Occurrence int            `json:"occurrence,omitempty"`
	Step       int            `json:"step"`
	Waiting    int            `json:"waiting"`
	Gang       bool           `json:"gang,omitempty"`
	Resources  ResourceReport `json:"resources"`
	// HeldBack means that the customer's quota holds the tasks back.
	HeldBack bool `json:"held_back,omitempty"`
	// Executors is the number of the service's executors, Candidates of those that the next task could start
	// on now, Excluded of the others by the first reason.
	Executors  int         `json:"executors"`
	Candidates int         `json:"candidates"`
	Excluded   []Exclusion `json:"excluded,omitempty"`
	// Room is how many of the waiting tasks fit on the candidates and in the quota.
	Room int `json:"room"`
	// Executor is where the next task would start now; empty if it would not.
	Executor    string             `json:"executor,omitempty"`
	Reservation *ReservationReport `json:"reservation,omitempty"`
	// Start is when the first of the tasks is expected to start.
	Start ExpectedStart `json:"start"`
}

// Exclusion is the number of executors that are no candidates for the same first reason.
type Exclusion struct {
	Reason    ExclusionReason `json:"reason"`
	Executors int             `json:"executors"`
}

// ExclusionReason is why a task can't start on an executor now.
type ExclusionReason string

// The reasons, in the order in which they are checked.
const (
	// ExcludedUnlisted means that the executor's entry is not in the store any more.
	ExcludedUnlisted ExclusionReason = "unlisted"
	// ExcludedReplaced means that the executor has ended, or is believed to: a later one has started on its
	// VM, or its VM was moved to another pool.
	ExcludedReplaced     ExclusionReason = "replaced"
	ExcludedDraining     ExclusionReason = "draining"
	ExcludedCordoned     ExclusionReason = "cordoned"
	ExcludedUnresponsive ExclusionReason = "unresponsive"
	// ExcludedUnconfirmed means that a report is awaited: the first one of the executor or of another
	// incarnation, or the rest of its finished runs.
	ExcludedUnconfirmed ExclusionReason = "unconfirmed"
	// ExcludedAfterFailure means that the executor is left out for a while after failed runs.
	ExcludedAfterFailure ExclusionReason = "after-failure"
	// ExcludedIsolated means that the executor is isolated for suspects of a crash, or that the task is a
	// suspect and other tasks are on the executor.
	ExcludedIsolated ExclusionReason = "isolated"
	ExcludedLabel    ExclusionReason = "label"
	// ExcludedLimit means that the step's limit of tasks per executor is reached.
	ExcludedLimit ExclusionReason = "limit-per-executor"
	// ExcludedEarlierStart means that the start of an earlier run of the task may still be executed on another
	// executor.
	ExcludedEarlierStart ExclusionReason = "earlier-start"
	ExcludedCapacity     ExclusionReason = "capacity"
	// ExcludedReserved means that the task would delay the reservation of another one.
	ExcludedReserved ExclusionReason = "reservation"
	// ExcludedNeedsAdvice means that there is no valid ticket of the placement advisor.
	ExcludedNeedsAdvice ExclusionReason = "advice-needed"
	// ExcludedByAdvisor means that the placement advisor has refused the executor.
	ExcludedByAdvisor ExclusionReason = "advice-refused"
)

// ExclusionReasons lists all reasons, in the order in which they are checked.
var ExclusionReasons = []ExclusionReason{
	ExcludedUnlisted, ExcludedReplaced, ExcludedDraining, ExcludedCordoned, ExcludedUnresponsive, ExcludedUnconfirmed,
	ExcludedAfterFailure, ExcludedIsolated, ExcludedLabel, ExcludedLimit, ExcludedEarlierStart,
	ExcludedCapacity, ExcludedReserved,
	ExcludedNeedsAdvice, ExcludedByAdvisor,
}

// ReservationReport is a task's reservation.
type ReservationReport struct {
	Executor    string `json:"executor"`
	StartMillis int64  `json:"start_ms"`
}

// StartBasis is what an expected start follows from.
type StartBasis string

// The bases.
const (
	StartNow         StartBasis = "now"
	StartReservation StartBasis = "reservation"
	// StartAfterWork means that the work placed before takes until then, or the runs that have to end first.
	StartAfterWork StartBasis = "work-before"
	// StartAfterQuota means that the customer's own work has to end first, because of its quota.
	StartAfterQuota StartBasis = "quota"
	// StartAfterRetry means that the task is delayed after crashes.
	StartAfterRetry StartBasis = "retry-delay"
	// StartAfterAdvice means that advice on the placement is needed first.
	StartAfterAdvice StartBasis = "advice"
	// StartAfterMembers means that runs of the gang have to end first.
	StartAfterMembers StartBasis = "gang"
	// StartRefused means that the job would be refused.
	StartRefused StartBasis = "refused"
	// StartUnknown means that no executor is expected to have room.
	StartUnknown StartBasis = "unknown"
)

// ExpectedStart is an expected start in milliseconds from now; -1 means unknown.
type ExpectedStart struct {
	Basis  StartBasis `json:"basis"`
	Millis int64      `json:"ms"`
}
