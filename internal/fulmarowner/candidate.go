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

// Executors carries out orders at executors.
type Executors interface {
	Start(ctx context.Context, address, id string, s fulmarjob.Start) (fulmarjob.Answer, error)
	Stop(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64) (fulmarjob.Answer, error)
	Pace(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64, percent int) (fulmarjob.Answer, error)
	Hold(ctx context.Context, address, id string, token, acknowledged int64, deadline, wait fulmarclock.Millis) (fulmarjob.Answer, fulmarjob.Report, error)
}

// Relay carries out orders through other members, as many as the executors need.
type Relay interface {
	Executors
	Expect(executors int)
}

// Fleet carries out orders on VMs.
type Fleet interface {
	VMs(ctx context.Context) ([]fulmarjob.VM, error)
	Move(ctx context.Context, vm, pool, holder string, token int64) error
	Maintain(ctx context.Context, vm string, wave int64, holder string, token int64) error
}

// Advice knows which executors may run a step.
type Advice interface {
	Advise(ctx context.Context, step fulmarjob.TaskID, executors []string) (map[string]string, fulmarclock.Millis, error)
}

// Reports writes for operators.
type Reports interface {
	WaveState(number int64, completed bool) (key string, value []byte)
}

// Entries decodes the executors' entries in the store.
type Entries interface {
	ExecutorPrefix() string
	Executor(key string, value []byte) (fulmarjob.Executor, error)
}

// Counters counts events by reason.
type Counters interface {
	Count(name, reason string)
	Observe(name string, wait fulmarclock.Millis)
}

// Options are the parts of a candidate.
type Options struct {
	Store     fulmarledger.Store
	Executors Executors
	// Relay takes the first copy of each order; further ones go directly.
	Relay   Relay
	Fleet   Fleet
	Reports Reports
	Advice  Advice
	Entries Entries
	Clock   fulmarclock.Clock
	// Awake is a clock that also counts the time in which the VM was suspended.
	Awake    fulmarclock.Clock
	Logger   *log.Logger
	Counters Counters
	Self     fulmarledger.Owner
	Bounds   fulmarsched.Parameters
	// Lease is the length of the ownership lease.
	Lease fulmarclock.Millis
	// ClaimDelay is how long this member waits before it claims; the better a VM is
	// suited to own the scheduler, the shorter.
	ClaimDelay fulmarclock.Millis
}

// Candidate claims the scheduler whenever nobody owns it.
type Candidate struct {
	options Options
	reign   atomic.Pointer[reign]
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

// Run claims and reigns until ctx ends.
func (c *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.vacancy:
		case <-c.options.Clock.After(vacancyCheck):
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
		c.tryReign(ctx)
	}
}

func (c *Candidate) tryReign(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, claimLimit.Duration())
	claim, err := fulmarledger.TryClaim(limited, c.options.Store, c.options.Awake, c.options.Self, c.options.Lease)
	cancel()
	var taken *fulmarledger.TakenError
	if errors.As(err, &taken) {
		return
	}
	if err != nil {
		c.options.Logger.Warn("the scheduler could not be claimed", "error", err)
		c.options.Counters.Count("claim_failures", "store")
		return
	}
	r := newReign(c, claim)
	r.run(ctx)
	c.reign.Store(nil)
}

// SetOwner takes in the ownership key; owned is false when it has gone.
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

// Owner returns the owner of the scheduler.
func (c *Candidate) Owner() (fulmarledger.Owner, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner, c.owned
}

// OwnerChanged returns a channel that is closed when the owner changes.
func (c *Candidate) OwnerChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Configure takes in the newest configuration.
func (c *Candidate) Configure(configuration *fulmarjob.Configuration) {
	c.mu.Lock()
	c.configuration = configuration
	c.mu.Unlock()
	if r := c.reign.Load(); r != nil {
		r.send(configured{configuration})
	}
}

// SeeWave takes in a request for a wave.
func (c *Candidate) SeeWave(w fulmarjob.Wave) {
	c.mu.Lock()
	c.waves = append(c.waves, w)
	c.mu.Unlock()
	if r := c.reign.Load(); r != nil {
		r.send(waveSeen{w})
	}
}

// inputs returns what a new reign must know from the start.
func (c *Candidate) inputs() (*fulmarjob.Configuration, []fulmarjob.Wave) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configuration, c.waves
}

// Ask hands a question to the scheduler, if this member owns it.
func (c *Candidate) Ask(ctx context.Context, q Question) Reply {
	r := c.reign.Load()
	if r == nil || q.OwnerToken != 0 && q.OwnerToken != r.claim.Token() {
		return Reply{Outcome: NotOwner}
	}
	return r.ask(ctx, q)
}
