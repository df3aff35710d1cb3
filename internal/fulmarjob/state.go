package fulmarjob

// State is how far a job has come.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsFinal tells whether the state can't change any more.
func (s State) IsFinal() bool { return s == Completed || s == Failed || s == Cancelled }
