package fulmarowner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
)

// Candidate tries to own the scheduler whenever nobody does.
type Candidate struct {
	options Options
	// term is the current term, nil while this member is not the owner.
	term atomic.Pointer[term]
	// vacancy receives when the ownership key was deleted.
	vacancy chan struct{}

	mu sync.Mutex
	// customers holds the newest configuration.
	customers *customerRules
	waves     []fulmarjob.Wave
	owner     fulmarledger.Owner
	owned     bool
	// previous is the last known owner other than this member.
	previous fulmarledger.Owner
	changed  chan struct{}
}

// NewCandidate returns a candidate that does nothing until Run.
func NewCandidate(o Options) *Candidate {
	return &Candidate{options: o, vacancy: make(chan struct{}, 1), customers: &customerRules{}, changed: make(chan struct{})}
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

// SetOwner sets the owner that the ownership key names; owned is false if the key was deleted at the
// owner's revision. A state of the key before the last known one is ignored: a watch that was cut
// returns changes that other members have announced long ago.
func (c *Candidate) SetOwner(owner fulmarledger.Owner, owned bool) {
	if c.replaceOwner(owner, owned, owner.Revision) && !owned {
		select {
		case c.vacancy <- struct{}{}:
		default:
		}
	}
}

// LearnOwner records an owner that another member has announced, and ends this member's own term if
// it is an earlier one. It returns false if the same or a later owner is known.
func (c *Candidate) LearnOwner(owner fulmarledger.Owner) bool {
	if owner.PeerAddress == c.options.Self.PeerAddress || !c.replaceOwner(owner, true, owner.Revision-1) {
		return false
	}
	if t := c.term.Load(); t != nil && t.ownership.Token() < owner.Revision {
		t.send(ownerReplaced{owner})
	}
	return true
}

// replaceOwner sets the owner, unless the known one has a later revision than last. It returns false
// then.
func (c *Candidate) replaceOwner(owner fulmarledger.Owner, owned bool, last int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner.Revision > last {
		return false
	}
	c.owner, c.owned = owner, owned
	if owned && owner.PeerAddress != c.options.Self.PeerAddress {
		c.previous = owner
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// previousOwner returns the last known owner other than this member; false means that none is known.
func (c *Candidate) previousOwner() (fulmarledger.Owner, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.previous, c.previous.PeerAddress != ""
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
	customers := newCustomerRules(configuration)
	c.mu.Lock()
	c.customers = customers
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
	return c.customers.configuration, c.waves
}

// customerRules returns the rules of the newest configuration.
func (c *Candidate) customerRules() *customerRules {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.customers
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
