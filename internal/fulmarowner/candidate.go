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
// an error explains an AnswerUnknown or an unexpected response.
type Executors interface {
	Start(ctx context.Context, address, id string, s fulmarjob.Start) (fulmarjob.Answer, error)
	Stop(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64) (fulmarjob.Answer, error)
	// Pace limits a best-effort task to percent of full speed.
	Pace(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64, percent int) (fulmarjob.Answer, error)
	// Hold renews the executor's lease until deadline, on the executor's clock, and returns
	// its report. acknowledged is the number of the newest FinishedTask that the journal holds. The
	// executor may delay its response by wait until a run ends.
	Hold(ctx context.Context, address, id string, token, acknowledged int64, deadline, wait fulmarclock.Millis) (fulmarjob.Answer, fulmarjob.Report, error)
}

// Relay sends commands to executors through other members.
type Relay interface {
	Executors
	// Expect sets the number of executors, by which the relay chooses how many members to use.
	Expect(executors int)
}

// Fleet lists VMs and sends commands about them to the platform. Commands carry the
// sending member and its fencing token.
type Fleet interface {
	VMs(ctx context.Context) ([]fulmarjob.VM, error)
	Move(ctx context.Context, vm, pool, holder string, token int64) error
	Maintain(ctx context.Context, vm string, wave int64, holder string, token int64) error
}

// Advice is the placement advisor, which knows the executors that may run a step.
type Advice interface {
	// Advise returns a ticket for each executor that may run the step, and how long the
	// tickets are valid.
	Advise(ctx context.Context, step fulmarjob.TaskID, executors []string) (map[string]string, fulmarclock.Millis, error)
}

// Reports encodes the state of waves for operators.
type Reports interface {
	WaveState(number int64, completed bool) (key string, value []byte)
}

// Entries decodes the executors' entries in the store, whose keys begin with ExecutorPrefix.
type Entries interface {
	ExecutorPrefix() string
	Executor(key string, value []byte) (fulmarjob.Executor, error)
}

// Counters receives the metrics: counts of events by reason, and latencies.
type Counters interface {
	Count(name, reason string)
	Observe(name string, latency fulmarclock.Millis)
}

// Options configure a candidate.
type Options struct {
	Store     fulmarledger.Store
	Executors Executors
	// Relay sends the first attempt of each command; further attempts use Executors.
	Relay   Relay
	Fleet   Fleet
	Reports Reports
	Advice  Advice
	Entries Entries
	Clock   fulmarclock.Clock
	// Awake also counts the time in which the VM was suspended. It measures the ownership
	// lease, which goes on during a suspension.
	Awake    fulmarclock.Clock
	Logger   *log.Logger
	Counters Counters
	// Self is the value that this member stores as the owner.
	Self   fulmarledger.Owner
	Bounds fulmarsched.Parameters
	// Lease is the TTL of the ownership lease.
	Lease fulmarclock.Millis
	// ClaimDelay is how long this member waits before it tries to acquire a vacant
	// ownership. It is shorter on VMs that are better suited to run the scheduler.
	ClaimDelay fulmarclock.Millis
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
		case <-c.options.Clock.After(c.options.ClaimDelay):
		}
		if _, owned := c.Owner(); owned {
			continue
		}
		c.tryOwn(ctx)
	}
}

// tryOwn tries to acquire the ownership and runs a term if it succeeds.
func (c *Candidate) tryOwn(ctx context.Context) {
	acquireCtx, cancel := context.WithTimeout(ctx, acquireTimeout.Duration())
	ownership, err := fulmarledger.AcquireOwnership(acquireCtx, c.options.Store, c.options.Awake, c.options.Self, c.options.Lease)
	cancel()
	var owned *fulmarledger.AlreadyOwnedError
	if errors.As(err, &owned) {
		return
	}
	if err != nil {
		c.options.Logger.Warn("acquiring the scheduler ownership failed; retrying", "error", err)
		c.options.Counters.Count("claim_failures", "store")
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

// Configure sets the newest configuration.
func (c *Candidate) Configure(configuration *fulmarjob.Configuration) {
	c.mu.Lock()
	c.configuration = configuration
	c.mu.Unlock()
	if t := c.term.Load(); t != nil {
		t.send(configurationChanged{configuration})
	}
}

// SeeWave adds a wave that operators have requested.
func (c *Candidate) SeeWave(w fulmarjob.Wave) {
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

// Ask passes a request to the scheduler and waits for the response. The outcome is
// NotOwner if this member does not own the scheduler or the request is meant for another owner.
func (c *Candidate) Ask(ctx context.Context, request Question) Reply {
	t := c.term.Load()
	if t == nil || request.OwnerToken != 0 && request.OwnerToken != t.ownership.Token() {
		return Reply{Outcome: NotOwner}
	}
	return t.do(ctx, request)
}
