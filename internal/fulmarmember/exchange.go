package fulmarmember

import (
	"context"
	"sync"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmember/fulmarpeerpb"
)

const (
	// idleIntervals is the number of digest intervals between messages while no pool has demand.
	idleIntervals = 4
	// minCallIntervals is the minimum timeout of a call to a peer, in digest intervals.
	minCallIntervals = 4
	// callsPerFencingTimeout is how many calls with the maximum timeout fit into the fencing
	// timeout, so that a lost response alone never fences a member.
	callsPerFencingTimeout = 2
)

// Exchange sends this member's digest to its peers at each interval and stores theirs.
// It is also the gRPC service for the peers' calls.
type Exchange struct {
	fulmarpeerpb.UnimplementedPeersServer
	self     fulmarfleet.Member
	fleet    *fulmarfleet.Fleet
	clock    fulmarclock.Clock
	source   Source
	metrics  Metrics
	logger   *log.Logger
	interval fulmarclock.Millis
	// maxCallTimeout is the maximum timeout of a call to a peer.
	maxCallTimeout fulmarclock.Millis

	mu      sync.Mutex
	digests map[string]receivedDigest
	peers   map[string]*peer
	// staleness tracks the revisions of the assignments in the peers' digests.
	staleness staleness
}

// NewExchange returns an exchange that sends a digest at each interval.
func NewExchange(o ExchangeOptions) *Exchange {
	return &Exchange{
		self: o.Self, fleet: o.Fleet, clock: o.Clock, source: o.Source, metrics: o.Metrics, logger: o.Logger,
		interval: o.Interval, maxCallTimeout: max(o.FencingTimeout/callsPerFencingTimeout, minCallIntervals*o.Interval),
		digests: map[string]receivedDigest{}, peers: map[string]*peer{},
	}
}

// Run sends digests until ctx ends, then waits for the calls in flight and closes the
// connections.
func (e *Exchange) Run(ctx context.Context) {
	var calls sync.WaitGroup
	hadDemand := false
	for n := 0; ctx.Err() == nil; n++ {
		digest := e.newDigest()
		hasDemand := len(digest.GetPools()) > 0
		if hasDemand || hadDemand || n%idleIntervals == 0 {
			e.sendDigests(ctx, digest, &calls)
		}
		hadDemand = hasDemand
		e.source.SetPeerDemands(e.recentDemands())
		select {
		case <-e.clock.After(e.interval):
		case <-ctx.Done():
		}
	}
	calls.Wait()
	e.closePeers()
}

// Exchange stores a peer's digest and returns this member's own.
func (e *Exchange) Exchange(_ context.Context, digest *fulmarpeerpb.Digest) (*fulmarpeerpb.Digest, error) {
	e.metrics.PeerMessage("in")
	e.metrics.PeerBytes("in", proto.Size(digest))
	e.storeDigest(digest, e.clock.Now())
	response := e.newDigest()
	e.metrics.PeerBytes("out", proto.Size(response))
	return response, nil
}

// State returns the parts of this member's fleet view that are newer than the peer's.
func (e *Exchange) State(_ context.Context, request *fulmarpeerpb.StateRequest) (*fulmarpeerpb.StateReply, error) {
	return stateSince(e.fleet.View(), request)
}

// sendDigests calls the peers that this member has to call, except those whose last
// call is still in flight.
func (e *Exchange) sendDigests(ctx context.Context, digest *fulmarpeerpb.Digest, calls *sync.WaitGroup) {
	others := e.fleet.View().Peers(e.self.Name)
	e.closeUnusedPeers(others)
	for _, member := range others {
		if !e.shouldCall(member, len(digest.GetPools()) > 0) {
			continue
		}
		p := e.acquirePeer(member)
		if p == nil {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			e.callPeer(ctx, p, digest)
		}()
	}
}

// shouldCall reports whether this member calls a peer in this round. A response carries
// a digest too, so one call serves both members and the first by name makes it. The
// second calls only when no digest has arrived for the longest time that the first may
// wait between calls, or when it needs newer state, which only the calling member fetches.
func (e *Exchange) shouldCall(member fulmarfleet.Member, hasDemand bool) bool {
	needsUpdates := e.isIsolated() || e.BehindSince() > 0
	if e.self.Name < member.Name || needsUpdates {
		return true
	}
	maxAge := idleIntervals * e.interval
	if hasDemand {
		maxAge = e.interval
	}
	return e.DigestAge(member.Name) < 0 || e.DigestAge(member.Name) >= maxAge
}

func (e *Exchange) callPeer(ctx context.Context, p *peer, digest *fulmarpeerpb.Digest) {
	defer e.releasePeer(p)
	e.metrics.PeerMessage("out")
	e.metrics.PeerBytes("out", proto.Size(digest))
	sentAt := e.clock.Now()
	response, err := callWithTimeout(ctx, e, p, func(ctx context.Context) (*fulmarpeerpb.Digest, error) {
		return p.client.Exchange(ctx, digest)
	})
	if err != nil {
		return
	}
	e.metrics.PeerBytes("in", proto.Size(response))
	e.storeDigest(response, sentAt)
	if hasUpdates(response, e.fleet.View()) || e.isIsolated() {
		e.fetchState(ctx, p)
	}
}

// isIsolated reports whether this member cannot read the platform's state by itself.
func (e *Exchange) isIsolated() bool { return e.source.IsIsolated() }

// fetchState merges the newer parts of a peer's fleet view into this member's.
func (e *Exchange) fetchState(ctx context.Context, p *peer) {
	request := stateRequest(e.fleet.View(), e.isIsolated())
	response, err := callWithTimeout(ctx, e, p, func(ctx context.Context) (*fulmarpeerpb.StateReply, error) {
		return p.client.State(ctx, request)
	})
	if err != nil {
		return
	}
	if err := mergeState(e.fleet, response); err != nil {
		e.logger.Error("failed to decode a peer's state; it is ignored", "error", err)
	}
}
