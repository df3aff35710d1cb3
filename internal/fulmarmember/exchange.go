package fulmarmember

import (
	"context"
	"slices"
	"sync"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmember/fulmarpeerpb"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

const (
	// maxDigestAge is the age from which a peer's digest no longer counts towards demand.
	maxDigestAge = 2 * fulmarclock.Second
	// digestRetention is the age at which a digest is deleted.
	digestRetention = 10 * fulmarclock.Minute
	// idleIntervals is the number of digest intervals between messages while no pool has demand.
	idleIntervals = 4
	// minCallIntervals is the minimum timeout of a call to a peer, in digest intervals.
	minCallIntervals = 4
	// callsPerFencingTimeout is how many calls with the maximum timeout fit into the fencing
	// timeout, so that a lost response alone never fences a member.
	callsPerFencingTimeout = 2
)

// Source provides this member's state for its digests and receives the peers' demands.
type Source interface {
	// Demands returns this member's demand by pool, in running and waiting requests.
	// Pools without demand are left out.
	Demands() map[string]int
	// SetPeerDemands sets the current demands of the other members by pool.
	SetPeerDemands(demands map[string][]fulmardispatch.Demand)
	// IsStopping reports whether this member is shutting down.
	IsStopping() bool
	// AppliedAssignments returns the sequence of the assignments that this member's schedulers
	// have applied, and the moving VMs on which it still has requests in flight.
	AppliedAssignments() (sequence int64, busyVMs []string)
	// IsIsolated reports whether this member has had no response from the platform for
	// too long.
	IsIsolated() bool
}

// Metrics counts the messages between members and their bytes. The direction is in,
// out or failed.
type Metrics interface {
	PeerMessage(direction string)
	PeerBytes(direction string, n int)
}

// ExchangeOptions configure an Exchange.
type ExchangeOptions struct {
	Self    fulmarfleet.Member
	Fleet   *fulmarfleet.Fleet
	Clock   fulmarclock.Clock
	Source  Source
	Metrics Metrics
	Logger  *log.Logger
	// Interval is the time between two digests to a peer.
	Interval fulmarclock.Millis
	// FencingTimeout is how long a member may dispatch work without contact. It bounds the
	// timeouts of the calls to peers.
	FencingTimeout fulmarclock.Millis
}

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

// receivedDigest is a peer's digest and a time at which it was still current: the arrival
// of the peer's call, or the sending of the call that it responds to.
type receivedDigest struct {
	digest    *fulmarpeerpb.Digest
	currentAt fulmarclock.Millis
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

// DigestAge returns the time since a member's last digest was current, or -1 when there is none.
func (e *Exchange) DigestAge(name string) fulmarclock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	received, ok := e.digests[name]
	if !ok {
		return -1
	}
	return e.clock.Now() - received.currentAt
}

// Generation returns the configuration generation in a member's last digest, or 0.
func (e *Exchange) Generation(name string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.digests[name].digest.GetGeneration()
}

// ReachablePeers returns the number of other members whose last digest is not older than within.
func (e *Exchange) ReachablePeers(within fulmarclock.Millis) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for name, received := range e.digests {
		if name != e.self.Name && e.clock.Now()-received.currentAt <= within {
			n++
		}
	}
	return n
}

// HasReleased reports whether a member has released a VM: its last digest is not older than
// within, its schedulers have applied the assignments up to sequence, and it has no
// request in flight on the VM.
func (e *Exchange) HasReleased(name, vm string, sequence int64, within fulmarclock.Millis) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	received, ok := e.digests[name]
	if !ok || e.clock.Now()-received.currentAt > within {
		return false
	}
	return received.digest.GetAppliedSequence() >= sequence && !slices.Contains(received.digest.GetBusyVms(), vm)
}

// BehindSince returns when a peer first reported the oldest revision of the assignments
// that this member lacks, or zero when this member has the newest.
func (e *Exchange) BehindSince() fulmarclock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, revision := e.fleet.View().Table()
	return e.staleness.since(revision)
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

func (e *Exchange) newDigest() *fulmarpeerpb.Digest {
	view := e.fleet.View()
	_, revision := view.Table()
	sequence, busyVMs := e.source.AppliedAssignments()
	digest := &fulmarpeerpb.Digest{
		AppliedSequence: sequence, BusyVms: busyVMs,
		Member: e.self.Name, Incarnation: e.self.Incarnation,
		Generation: view.Record().Generation, TableRevision: int64(revision), Stopping: e.source.IsStopping(),
	}
	for pool, demand := range e.source.Demands() {
		digest.Pools = append(digest.Pools, &fulmarpeerpb.PoolLoad{Pool: pool, Demand: uint32(demand)})
	}
	return digest
}

// storeDigest stores a peer's digest that was current at a time, unless a newer one is stored.
func (e *Exchange) storeDigest(digest *fulmarpeerpb.Digest, currentAt fulmarclock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := digest.GetMember()
	if stored, found := e.digests[name]; !found || stored.currentAt <= currentAt {
		e.digests[name] = receivedDigest{digest: digest, currentAt: currentAt}
	}
	_, revision := e.fleet.View().Table()
	e.staleness.report(e.clock.Now(), fulmarplatform.Revision(digest.GetTableRevision()), revision)
}

// recentDemands returns the other members' demands by pool from digests not older than
// maxDigestAge, and deletes digests older than digestRetention.
func (e *Exchange) recentDemands() map[string][]fulmardispatch.Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	demands := map[string][]fulmardispatch.Demand{}
	for name, received := range e.digests {
		if now-received.currentAt > digestRetention {
			delete(e.digests, name)
		}
		if name == e.self.Name || now-received.currentAt > maxDigestAge {
			continue
		}
		for _, load := range received.digest.GetPools() {
			demand := fulmardispatch.Demand{Requests: int(load.GetDemand()), Precedes: name < e.self.Name}
			demands[load.GetPool()] = append(demands[load.GetPool()], demand)
		}
	}
	return demands
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
