// Package fulmarmember registers a member in the key-value service under a lease,
// exchanges state digests between members, and decides when a member without contact
// must stop dispatching.
//
// Usage:
//
//	membership := fulmarmember.NewMembership(leases, clock, self, ttl, logger, failures)
//	go membership.Run(ctx)
//	exchange := fulmarmember.NewExchange(exchangeOptions)
//	go exchange.Run(ctx)
package fulmarmember

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// renewalsPerLease is how often a lease is renewed within its time to live.
const renewalsPerLease = 4

// Leases is the part of the key-value service's client that a Membership uses.
type Leases interface {
	fulmarplatform.Store
	Grant(ctx context.Context, ttl fulmarclock.Millis) (fulmarplatform.LeaseID, error)
	Renew(ctx context.Context, lease fulmarplatform.LeaseID) error
}

// FailureCounter counts failed calls to the platform by operation.
type FailureCounter interface {
	PlatformFailure(operation string)
}

// Membership keeps a member's registration in the key-value service under a lease.
type Membership struct {
	leases   Leases
	clock    fulmarclock.Clock
	self     fulmarfleet.Member
	ttl      fulmarclock.Millis
	logger   *log.Logger
	failures FailureCounter
	lease    fulmarplatform.LeaseID
}

// NewMembership returns a membership of the member self, whose leases have the duration
// ttl. Run registers it.
func NewMembership(leases Leases, clock fulmarclock.Clock, self fulmarfleet.Member, ttl fulmarclock.Millis, logger *log.Logger, failures FailureCounter) *Membership {
	return &Membership{leases: leases, clock: clock, self: self, ttl: ttl, logger: logger, failures: failures}
}

// Run registers the member and renews its lease until ctx ends, then marks the
// registration as left.
func (m *Membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.renewOrRegister(ctx); err != nil && ctx.Err() == nil {
			m.failures.PlatformFailure("membership")
			m.logger.Warn("failed to renew the member's lease; retrying", "error", err)
		}
		select {
		case <-m.clock.After(m.ttl / renewalsPerLease):
		case <-ctx.Done():
		}
	}
	m.leave()
}

func (m *Membership) renewOrRegister(ctx context.Context) error {
	if m.lease == "" {
		return m.register(ctx)
	}
	err := m.leases.Renew(ctx, m.lease)
	var lost *fulmarplatform.LeaseLostError
	if errors.As(err, &lost) {
		m.lease = ""
		return m.register(ctx)
	}
	return err
}

// register writes the member's registration under a new lease. An existing registration
// of the same name belongs to the VM that this one replaces, and is overwritten.
func (m *Membership) register(ctx context.Context) error {
	lease, err := m.leases.Grant(ctx, m.ttl)
	if err != nil {
		return err
	}
	if err := m.write(ctx, lease, m.isSelf); err != nil {
		return err
	}
	m.lease = lease
	return nil
}

func (m *Membership) isSelf(stored []byte) bool {
	var member fulmarfleet.Member
	return json.Unmarshal(stored, &member) == nil && member.Incarnation == m.self.Incarnation
}

// leave marks the registration as left, so that the other members need not wait for this
// one. The lease is left to expire: a deleted registration would look like a failure.
func (m *Membership) leave() {
	if m.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.ttl.Duration())
	defer cancel()
	m.self.Left = true
	if err := m.write(ctx, m.lease, m.isMarkedLeft); err != nil {
		m.failures.PlatformFailure("leave")
		m.logger.Warn("failed to mark the member's registration as left; the others wait until its lease expires", "error", err)
	}
}

// write replaces the member's registration under a lease. contains reports whether a
// stored value includes this write, which resolves a write with an unknown result.
func (m *Membership) write(ctx context.Context, lease fulmarplatform.LeaseID, contains func(stored []byte) bool) error {
	value, err := json.Marshal(m.self)
	if err != nil {
		return trace.Wrap(err)
	}
	key := fulmarfleet.MembersPrefix + m.self.Name
	current, err := m.leases.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = fulmarplatform.SwapWithRetry(ctx, m.clock, m.leases, fulmarplatform.Swap{
		Key: key, Expected: current.Revision, Value: value, Lease: lease, Contains: contains,
	})
	return err
}

func (m *Membership) isMarkedLeft(stored []byte) bool {
	var member fulmarfleet.Member
	return json.Unmarshal(stored, &member) == nil && member.Incarnation == m.self.Incarnation && member.Left
}
