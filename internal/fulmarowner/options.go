package fulmarowner

import (
	"context"

	"github.com/charmbracelet/log"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// Executors sends commands to executors. The context's deadline is the command's timeout;
// an error explains a ResultUnknown, a ResultUnreachable or an unexpected response. The context
// carries the fulmarattempt.Attempt, which an implementation tracks and asks before it writes.
type Executors interface {
	Start(ctx context.Context, address, id string, s fulmarjob.StartRequest) (fulmarjob.CommandResult, error)
	Stop(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64) (fulmarjob.CommandResult, error)
	// Throttle limits a best-effort task to percent of full speed.
	Throttle(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64, percent int) (fulmarjob.CommandResult, error)
	// RenewLease renews the executor's lease until deadline, on the executor's clock, and
	// returns its report. acknowledged is the sequence number of the newest FinishedTask
	// that the journal holds. The executor may delay its response by wait until a run ends.
	RenewLease(ctx context.Context, address, id string, token, acknowledged int64, deadline, wait fulmarclock.Millis) (fulmarjob.CommandResult, fulmarjob.Report, error)
}

// Relay sends commands to executors through other members.
type Relay interface {
	Executors
	// SetExecutorCount sets the number of executors, by which the relay chooses how many members to use.
	SetExecutorCount(executors int)
	// MostCores returns the most processor cores of a member that could relay commands, zero if there
	// is none.
	MostCores() float64
}

// Fleet lists VMs and sends commands about them to the platform. A command whose authority
// has expired by the time it could be written fails with fulmarjob.ExpiredAuthorityError.
type Fleet interface {
	VMs(ctx context.Context) ([]fulmarjob.VM, error)
	MoveVM(ctx context.Context, vm, pool string, authority fulmarjob.Authority) error
	Maintain(ctx context.Context, vm string, wave int64, authority fulmarjob.Authority) error
}

// PlacementAdvisor knows which executors may run a step.
type PlacementAdvisor interface {
	// Advise returns a ticket for each executor that may run the step, and how long the
	// tickets are valid.
	Advise(ctx context.Context, step fulmarjob.TaskID, executors []string) (map[string]string, fulmarclock.Millis, error)
}

// WaveStateEncoder encodes the state of waves for operators.
type WaveStateEncoder interface {
	EncodeWaveState(number int64, completed bool) (key string, value []byte)
}

// ExecutorEntries decodes the executors' entries in the store, whose keys begin with ExecutorPrefix.
type ExecutorEntries interface {
	ExecutorPrefix() string
	DecodeExecutor(key string, value []byte) (fulmarjob.Executor, error)
}

// Metrics receives the metrics: counts of events by reason, and latencies.
type Metrics interface {
	Count(name, reason string)
	Observe(name string, latency fulmarclock.Millis)
}

// AnnounceFunc tells the member at a peer address that another member owns the scheduler now.
type AnnounceFunc func(ctx context.Context, address string, owner fulmarledger.Owner) error

// Options configure a candidate.
type Options struct {
	Store     fulmarledger.Store
	Executors Executors
	// Relay sends the first attempt of each command; further attempts use Executors.
	Relay            Relay
	Fleet            Fleet
	WaveStates       WaveStateEncoder
	PlacementAdvisor PlacementAdvisor
	ExecutorEntries  ExecutorEntries
	Clock            fulmarclock.Clock
	// BootClock also counts the time in which the VM was suspended. It measures the
	// ownership lease, whose time continues during a suspension.
	BootClock fulmarclock.Clock
	Logger    *log.Logger
	Metrics   Metrics
	// Cores is the number of processor cores of this member's VM; it may be a fraction.
	Cores float64
	// Announce tells the previous owner of this member's ownership; nil announces nothing.
	Announce AnnounceFunc
	// Self is the value that this member stores as the owner.
	Self       fulmarledger.Owner
	Parameters fulmarsched.Parameters
	// LeaseDuration is the TTL of the ownership lease.
	LeaseDuration fulmarclock.Millis
	// AcquireDelay is how long this member waits before it tries to acquire a vacant
	// ownership. It is shorter on VMs that are better suited to run the scheduler.
	AcquireDelay fulmarclock.Millis
}
