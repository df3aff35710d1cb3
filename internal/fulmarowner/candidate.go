package fulmarowner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// Executors sends commands to executors. The context's deadline is the command's timeout;
// an error explains a ResultUnknown or an unexpected response.
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
	// Self is the value that this member stores as the owner.
	Self       fulmarledger.Owner
	Parameters fulmarsched.Parameters
	// LeaseDuration is the TTL of the ownership lease.
	LeaseDuration fulmarclock.Millis
	// AcquireDelay is how long this member waits before it tries to acquire a vacant
	// ownership. It is shorter on VMs that are better suited to run the scheduler.
	AcquireDelay fulmarclock.Millis
}

// Candidate tries to own the scheduler whenever nobody does.
type Candidate struct {
	options Options
	// term is the current term, nil while this member is not the owner.
	term atomic.Pointer[term]
	// vacancy receives when the ownership key was deleted.
	vacancy chan struct{}

	mu            sync.Mutex
	configuration *fulmarjob.Configuration
	waves         []fulmarjob.Wave
	owner         fulmarledger.Owner
	owned         bool
	changed       chan struct{}
}

// NewCandidate returns a candidate that does nothing until Run.
func NewCandidate(o Options) *Candidate {
	return &Candidate{options: o, vacancy: make(chan struct{}, 1), changed: make(chan struct{})}
}

// Run acquires the ownership whenever it is vacant and runs the scheduler while this
// member has it, until ctx is done.
func (c *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.vacancy:
		case <-c.options.Clock.After(vacancyCheckInterval):
		}
		if _, owned := c.Owner(); owned {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-c.options.Clock.After(c.options.AcquireDelay):
		}
		if _, owned := c.Owner(); owned {
			continue
		}
		c.acquireAndRun(ctx)
	}
}

// acquireAndRun tries to acquire the ownership and runs a term if it succeeds.
func (c *Candidate) acquireAndRun(ctx context.Context) {
	acquireCtx, cancel := context.WithTimeout(ctx, acquireTimeout.Duration())
	ownership, err := fulmarledger.AcquireOwnership(acquireCtx, c.options.Store, c.options.BootClock, c.options.Self, c.options.LeaseDuration)
	cancel()
	var owned *fulmarledger.AlreadyOwnedError
	if errors.As(err, &owned) {
		return
	}
	if err != nil {
		c.options.Logger.Warn("acquiring the scheduler ownership failed; retrying", "error", err)
		c.options.Metrics.Count("claim_failures", "store")
		return
	}
	t := newTerm(c, ownership)
	t.run(ctx)
	c.term.Store(nil)
}

// SetOwner sets the owner that the ownership key names; owned is false if the key is deleted.
func (c *Candidate) SetOwner(owner fulmarledger.Owner, owned bool) {
	c.mu.Lock()
	c.owner, c.owned = owner, owned
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
	if !owned {
		select {
		case c.vacancy <- struct{}{}:
		default:
		}
	}
}

// Owner returns the owner of the scheduler, if it has one.
func (c *Candidate) Owner() (fulmarledger.Owner, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner, c.owned
}

// OwnerChanged returns a channel that is closed at the next SetOwner.
func (c *Candidate) OwnerChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// SetConfiguration stores the newest configuration for later terms and passes it to the
// scheduler of the current one.
func (c *Candidate) SetConfiguration(configuration *fulmarjob.Configuration) {
	c.mu.Lock()
	c.configuration = configuration
	c.mu.Unlock()
	if t := c.term.Load(); t != nil {
		t.send(configurationChanged{configuration})
	}
}

// AddWave stores a wave that operators have requested for later terms and passes it to the
// scheduler of the current one.
func (c *Candidate) AddWave(w fulmarjob.Wave) {
	c.mu.Lock()
	c.waves = append(c.waves, w)
	c.mu.Unlock()
	if t := c.term.Load(); t != nil {
		t.send(waveAdded{w})
	}
}

// inputs returns the configuration and the waves received so far.
func (c *Candidate) inputs() (*fulmarjob.Configuration, []fulmarjob.Wave) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configuration, c.waves
}

// Do passes a request to the scheduler and waits for the response. The outcome is
// NotOwner if this member does not own the scheduler or the request is meant for another owner.
func (c *Candidate) Do(ctx context.Context, request Request) Response {
	t := c.term.Load()
	if t == nil || request.OwnerToken != 0 && request.OwnerToken != t.ownership.Token() {
		return Response{Outcome: NotOwner}
	}
	return t.do(ctx, request)
}
