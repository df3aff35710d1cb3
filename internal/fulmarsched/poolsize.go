package fulmarsched

import (
	"cmp"
	"math"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// startHorizon is the time within which waiting work should start.
	startHorizon = 500 * fulmarclock.Millis(1)
	// laterStepsHorizon is the time within which the work of later steps becomes ready.
	laterStepsHorizon = 3000 * fulmarclock.Millis(1)
	// targetUtilization is the fraction of a VM that short tasks can use, since they arrive in
	// bursts.
	targetUtilization = 0.85
	// spareVMs is the number of VMs in a pool beyond its need.
	spareVMs = 1
	// minVMs is the minimum number of VMs in a pool.
	minVMs = 3
	// moveAfterIdle is how long a VM must be idle before it may be moved to another pool.
	moveAfterIdle = 300 * fulmarclock.Millis(1)
)

// poolSize is the number of VMs that a pool has and needs.
type poolSize struct {
	service string
	standby bool
	need    int
	have    int
	// idleExecutors are the executors without tasks, longest idle first.
	idleExecutors []*executor
	// standbyVMs are the available VMs of a standby pool.
	standbyVMs []string
}

// poolSizes returns the sizes of all configured pools, largest deficit first.
func (s *Scheduler) poolSizes() []*poolSize {
	sizes := make([]*poolSize, 0, len(s.configuration.Services))
	byName := map[string]*poolSize{}
	for _, service := range s.configuration.Services {
		p := &poolSize{service: service.Name, standby: service.Standby}
		if summary := s.poolSummaries[service.Name]; summary != nil && !p.standby {
			p.need = s.neededVMs(summary)
		}
		sizes = append(sizes, p)
		byName[service.Name] = p
	}
	s.countVMs(byName)
	slices.SortStableFunc(sizes, func(a, b *poolSize) int {
		return cmp.Or(cmp.Compare(b.need-b.have, a.need-a.have), cmp.Compare(a.service, b.service))
	})
	return sizes
}

// neededVMs returns the number of VMs that a pool needs for its running tasks, for the rate at
// which callers submit work, and to start the waiting tasks in time. The submission rate counts, as
// of when a VM that is moved now arrives: at the start of a burst, the pool must grow before a
// backlog has built up.
func (s *Scheduler) neededVMs(p *poolSummary) int {
	vmCPU := p.meanVMCPU()
	if vmCPU == 0 {
		return minVMs
	}
	// Later steps follow the ones that run now and reuse their capacity, so they count only if
	// they need more.
	running := max(float64(p.used.MilliCPU), (p.backlog-p.readyBacklog)/float64(laterStepsHorizon), s.demandOnArrival(p.service))
	// Waiting tasks use no more CPU than all of them together request.
	waiting := min(p.readyBacklog/float64(startHorizon), float64(p.readyCPU))
	cpu := running + waiting
	return max(int(math.Ceil(cpu/(targetUtilization*vmCPU)))+spareVMs, p.minExecutors+spareVMs, minVMs)
}

// countVMs counts the VMs that each pool has, those that are moving to it included, and collects
// the idle executors and standby VMs.
func (s *Scheduler) countVMs(byName map[string]*poolSize) {
	for _, e := range s.allExecutors() {
		p := byName[e.info.Service]
		if !e.listed || e.retired || p == nil {
			continue
		}
		if s.isMoving(e.info.VM) || !e.isSchedulable(s.now) {
			continue
		}
		if e.isIsolated() {
			continue
		}
		p.have++
		if len(e.tasks) == 0 && s.now >= e.idleSince+moveAfterIdle {
			p.idleExecutors = append(p.idleExecutors, e)
		}
	}
	for _, m := range s.moves {
		if p := byName[m.to]; p != nil && !m.finished {
			p.have++
		}
	}
	for _, v := range s.vmList.vms {
		if p := byName[v.Pool]; p != nil && p.standby && v.Up && !s.isMoving(v.Name) && !s.isInMaintenance(v.Name) {
			p.standbyVMs = append(p.standbyVMs, v.Name)
		}
	}
	for _, p := range byName {
		slices.Sort(p.standbyVMs)
		slices.SortFunc(p.idleExecutors, func(a, b *executor) int {
			return cmp.Or(cmp.Compare(a.idleSince, b.idleSince), cmp.Compare(a.info.ID, b.info.ID))
		})
	}
}
