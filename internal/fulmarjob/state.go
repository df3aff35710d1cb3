package fulmarjob

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsFinal reports whether the job has ended, after which its state no longer changes.
func (s State) IsFinal() bool { return s == Completed || s == Failed || s == Cancelled }
