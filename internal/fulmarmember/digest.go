package fulmarmember

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmember/fulmarpeerpb"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

const (
	// maxDigestAge is the age from which a peer's digest no longer counts towards demand.
	maxDigestAge = 2 * fulmarclock.Second
	// digestRetention is the age at which a digest is deleted.
	digestRetention = 10 * fulmarclock.Minute
)

// receivedDigest is a peer's digest and a time at which it was still current: the arrival
// of the peer's call, or the sending of the call that it responds to.
type receivedDigest struct {
	digest    *fulmarpeerpb.Digest
	currentAt fulmarclock.Millis
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
