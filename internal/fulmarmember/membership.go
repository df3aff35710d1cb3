// Package fulmarmember keeps a member's place among the others: its leased line
// in the key-value service, and the messages between members.
//
// Usage:
//
//	membership := fulmarmember.NewMembership(client, clock, self, lease, logger, counters)
//	go membership.Keep(ctx)
//	exchange := fulmarmember.NewExchange(self, clock, source, counters)
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

// renewalsPerLease is how often a lease is renewed in its time.
const renewalsPerLease = 4

// Leases is the part of the key-value service that a membership needs.
type Leases interface {
	fulmarplatform.Store
	Grant(ctx context.Context, ttl fulmarclock.Millis) (fulmarplatform.LeaseID, error)
	Renew(ctx context.Context, lease fulmarplatform.LeaseID) error
}

// FailureCounter counts failed calls to the platform.
type FailureCounter interface {
	PlatformFailure(duty string)
}

// Membership keeps a member's line in the key-value service under a lease.
type Membership struct {
	leases   Leases
	clock    fulmarclock.Clock
	self     fulmarfleet.Member
	ttl      fulmarclock.Millis
	logger   *log.Logger
	failures FailureCounter
	lease    fulmarplatform.LeaseID
}

// NewMembership returns a membership that is not yet announced.
func NewMembership(leases Leases, clock fulmarclock.Clock, self fulmarfleet.Member, ttl fulmarclock.Millis, logger *log.Logger, failures FailureCounter) *Membership {
	return &Membership{leases: leases, clock: clock, self: self, ttl: ttl, logger: logger, failures: failures}
}

// Keep announces the member and renews its lease until ctx ends; then it leaves.
func (m *Membership) Keep(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.renewOrAnnounce(ctx); err != nil && ctx.Err() == nil {
			m.failures.PlatformFailure("membership")
			m.logger.Warn("the member's lease could not be renewed", "error", err)
		}
		select {
		case <-m.clock.After(m.ttl / renewalsPerLease):
		case <-ctx.Done():
		}
	}
	m.leave()
}

func (m *Membership) renewOrAnnounce(ctx context.Context) error {
	if m.lease == "" {
		return m.announce(ctx)
	}
	err := m.leases.Renew(ctx, m.lease)
	var lost *fulmarplatform.LeaseLostError
	if errors.As(err, &lost) {
		m.lease = ""
		return m.announce(ctx)
	}
	return err
}

// announce writes the member's line under a new lease. A line of the same name
// belongs to the VM that this one replaces.
func (m *Membership) announce(ctx context.Context) error {
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

// leave marks the member's line, so that the others need not wait for it, and
// lets the lease end by itself: a line removed at once could not be told from a failure.
func (m *Membership) leave() {
	if m.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.ttl.Duration())
	defer cancel()
	m.self.Left = true
	if err := m.write(ctx, m.lease, m.isMarkedLeft); err != nil {
		m.failures.PlatformFailure("leave")
	}
}

// write replaces the member's line under a lease.
func (m *Membership) write(ctx context.Context, lease fulmarplatform.LeaseID, included func(stored []byte) bool) error {
	value, err := json.Marshal(m.self)
	if err != nil {
		return trace.Wrap(err)
	}
	key := fulmarfleet.MembersPrefix + m.self.Name
	current, err := m.leases.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = fulmarplatform.SwapSettled(ctx, m.clock, m.leases, fulmarplatform.Swap{
		Key: key, Expected: current.Revision, Value: value, Lease: lease, Included: included,
	})
	return err
}

func (m *Membership) isMarkedLeft(stored []byte) bool {
	var member fulmarfleet.Member
	return json.Unmarshal(stored, &member) == nil && member.Incarnation == m.self.Incarnation && member.Left
}
