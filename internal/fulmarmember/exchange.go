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
	// maxDigestAge is how old a peer's digest may be before its demand counts as none.
	maxDigestAge = 2 * fulmarclock.Second
	// digestRetention is how old a digest may be before it is dropped.
	digestRetention = 10 * fulmarclock.Minute
	// idleIntervals is how many digest intervals pass between messages while no pool has any demand.
	idleIntervals = 4
	// callTimeoutIntervals is how many digest intervals one call between members may take.
	callTimeoutIntervals = 4
)

// Source is what a member tells the others and learns from them.
type Source interface {
	// Loads returns the demand of each pool with any, in requests running and waiting.
	Loads() map[string]int
	// LearnLoads takes in the demands of the other members by pool.
	LearnLoads(demands map[string][]fulmardispatch.Demand)
	// Stopping tells whether this member is on its way out.
	Stopping() bool
	// Applied returns the sequence of the assignments that this member's
	// schedulers follow, and the moving VMs on which it still has requests.
	Applied() (sequence int64, busyVMs []string)
	// IsCutOff tells whether the platform has not answered this member for some time.
	IsCutOff() bool
}

// Counters count the messages between members.
type Counters interface {
	PeerMessage(direction string)
	PeerBytes(direction string, n int)
}

// Exchange sends this member's digest to the others and keeps theirs.
type Exchange struct {
	fulmarpeerpb.UnimplementedPeersServer
	self     fulmarfleet.Member
	fleet    *fulmarfleet.Fleet
	clock    fulmarclock.Clock
	source   Source
	counters Counters
	logger   *log.Logger
	interval fulmarclock.Millis

	mu      sync.Mutex
	digests map[string]receivedDigest
	peers   map[string]*peer
	// reportedRevision is the newest revision of the assignments that a peer has reportedRevision of.
	reportedRevision fulmarplatform.Revision
	behindSince      fulmarclock.Millis
}

type receivedDigest struct {
	digest     *fulmarpeerpb.Digest
	receivedAt fulmarclock.Millis
}

// NewExchange returns an exchange that sends a digest each interval every.
func NewExchange(self fulmarfleet.Member, fleet *fulmarfleet.Fleet, clock fulmarclock.Clock, source Source, counters Counters, logger *log.Logger, every fulmarclock.Millis) *Exchange {
	return &Exchange{
		self: self, fleet: fleet, clock: clock, source: source, counters: counters, logger: logger, interval: every,
		digests: map[string]receivedDigest{}, peers: map[string]*peer{},
	}
}

// Run sends digests until ctx ends.
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
		e.source.LearnLoads(e.recentDemands())
		select {
		case <-e.clock.After(e.interval):
		case <-ctx.Done():
		}
	}
	calls.Wait()
	e.closePeers()
}

// Age returns the time since a member's last digest, or -1 when there is none.
func (e *Exchange) Age(name string) fulmarclock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen, known := e.digests[name]
	if !known {
		return -1
	}
	return e.clock.Now() - seen.receivedAt
}

// Generation returns the configuration generation that a member last told.
func (e *Exchange) Generation(name string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.digests[name].digest.GetGeneration()
}

// Heard returns how many other members this one has heard from within a time.
func (e *Exchange) Heard(within fulmarclock.Millis) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for name, seen := range e.digests {
		if name != e.self.Name && e.clock.Now()-seen.receivedAt <= within {
			n++
		}
	}
	return n
}

// HasLeft tells whether a member has lately said that its schedulers follow the
// assignments of a sequence and that it has no request left on a VM.
func (e *Exchange) HasLeft(name, vm string, sequence int64, within fulmarclock.Millis) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen, known := e.digests[name]
	if !known || e.clock.Now()-seen.receivedAt > within {
		return false
	}
	return seen.digest.GetAppliedSequence() >= sequence && !slices.Contains(seen.digest.GetBusyVms(), vm)
}

// BehindSince returns when a peer first told of assignments that are newer than
// this member's, or zero when none has.
func (e *Exchange) BehindSince() fulmarclock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, revision := e.fleet.View().Table(); e.reportedRevision <= revision {
		e.behindSince = 0
	}
	return e.behindSince
}

// Exchange answers a peer's digest with this member's own.
func (e *Exchange) Exchange(_ context.Context, digest *fulmarpeerpb.Digest) (*fulmarpeerpb.Digest, error) {
	e.counters.PeerMessage("in")
	e.counters.PeerBytes("in", proto.Size(digest))
	e.storeDigest(digest)
	own := e.newDigest()
	e.counters.PeerBytes("out", proto.Size(own))
	return own, nil
}

// State answers with what is newer here than at the peer.
func (e *Exchange) State(_ context.Context, request *fulmarpeerpb.StateRequest) (*fulmarpeerpb.StateReply, error) {
	return stateSince(e.fleet.View(), request)
}

func (e *Exchange) newDigest() *fulmarpeerpb.Digest {
	view := e.fleet.View()
	_, revision := view.Table()
	sequence, busyVMs := e.source.Applied()
	digest := &fulmarpeerpb.Digest{
		AppliedSequence: sequence, BusyVms: busyVMs,
		Member: e.self.Name, Incarnation: e.self.Incarnation,
		Generation: view.Record().Generation, TableRevision: int64(revision), Stopping: e.source.Stopping(),
	}
	for pool, demand := range e.source.Loads() {
		digest.Pools = append(digest.Pools, &fulmarpeerpb.PoolLoad{Pool: pool, Demand: uint32(demand)})
	}
	return digest
}

func (e *Exchange) storeDigest(digest *fulmarpeerpb.Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.digests[digest.GetMember()] = receivedDigest{digest: digest, receivedAt: now}
	told := fulmarplatform.Revision(digest.GetTableRevision())
	_, revision := e.fleet.View().Table()
	if e.reportedRevision <= revision {
		e.behindSince = 0
	}
	e.reportedRevision = max(e.reportedRevision, told)
	if told > revision && e.behindSince == 0 {
		e.behindSince = max(now, 1)
	}
}

// recentDemands returns the fresh recentDemands of the other members by pool.
func (e *Exchange) recentDemands() map[string][]fulmardispatch.Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	demands := map[string][]fulmardispatch.Demand{}
	for name, seen := range e.digests {
		if now-seen.receivedAt > digestRetention {
			delete(e.digests, name)
		}
		if name == e.self.Name || now-seen.receivedAt > maxDigestAge {
			continue
		}
		for _, load := range seen.digest.GetPools() {
			demand := fulmardispatch.Demand{Requests: int(load.GetDemand()), Before: name < e.self.Name}
			demands[load.GetPool()] = append(demands[load.GetPool()], demand)
		}
	}
	return demands
}

// sendDigests sends the digest to the other members whose turn is this member's to
// call, but for those that are still answering the last one.
func (e *Exchange) sendDigests(ctx context.Context, digest *fulmarpeerpb.Digest, calls *sync.WaitGroup) {
	others := e.fleet.View().Others(e.self.Name)
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

// shouldCall tells whether this member calls the other one. As an answer carries
// a digest too, one call serves both: the first by name calls. The second calls
// only when it has not heard from the first for longer than the first may wait,
// or when it lacks news, which only the caller of the two fetches.
func (e *Exchange) shouldCall(member fulmarfleet.Member, hasDemand bool) bool {
	lacksNews := e.isIsolated() || e.BehindSince() > 0
	if e.self.Name < member.Name || lacksNews {
		return true
	}
	wait := idleIntervals * e.interval
	if hasDemand {
		wait = e.interval
	}
	return e.Age(member.Name) < 0 || e.Age(member.Name) >= wait
}

func (e *Exchange) callPeer(ctx context.Context, p *peer, digest *fulmarpeerpb.Digest) {
	defer e.releasePeer(p)
	ctx, cancel := context.WithTimeout(ctx, (callTimeoutIntervals * e.interval).Duration())
	defer cancel()
	e.counters.PeerMessage("out")
	e.counters.PeerBytes("out", proto.Size(digest))
	reply, err := p.client.Exchange(ctx, digest)
	if err != nil {
		e.counters.PeerMessage("failed")
		return
	}
	e.counters.PeerBytes("in", proto.Size(reply))
	e.storeDigest(reply)
	if hasUpdates(reply, e.fleet.View()) || e.isIsolated() {
		e.fetchState(ctx, p)
	}
}

// isIsolated tells whether this member sees nothing of the platform by itself.
func (e *Exchange) isIsolated() bool { return e.source.IsCutOff() }

// fetchState learns from a peer what this member has not seen by itself.
func (e *Exchange) fetchState(ctx context.Context, p *peer) {
	reply, err := p.client.State(ctx, stateRequest(e.fleet.View(), e.isIsolated()))
	if err != nil {
		e.counters.PeerMessage("failed")
		return
	}
	if err := mergeState(e.fleet, reply); err != nil {
		e.logger.Error("a peer's state cannot be read", "error", err)
	}
}
