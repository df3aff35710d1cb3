package fulmarsched

import (
	"cmp"
	"math"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// backlogHorizon is how soon waiting work should have begun.
	startHorizon = 500 * fulmarclock.Millis(1)
	// laterHorizon is how soon the work of later steps follows.
	laterStepsHorizon = 3000 * fulmarclock.Millis(1)
	// targetFill is the part of a VM that short tasks can fill, as they come in lumps.
	targetUtilization = 0.85
	// spareVMs stay in a pool beyond its need.
	spareVMs = 1
	// leastVMs stay in every pool.
	minVMs = 3
	// lendAfter is how long a VM is idle before another pool may have it.
	lendAfterIdle = 300 * fulmarclock.Millis(1)
)

// size is how many VMs a pool has and needs.
type poolSize struct {
	service string
	standby bool
	need    int
	have    int
	// idle are the executors without tasks, the longest idle first.
	idleExecutors []*executor
	// parked are VMs of a standby pool.
	standbyVMs []string
}

// sizes returns the sizes of all pools of the configuration, the largest lack first.
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

// neededVMs returns how many VMs would carry a pool's running tasks and the work
// that callers keep handing in, and begin the waiting tasks in time. It answers the
// start of a burst: VMs take long to arrive, so the arrivals count before they have
// become a backlog.
func (s *Scheduler) neededVMs(p *poolSummary) int {
	vmCPU := p.meanVMCPU()
	if vmCPU == 0 {
		return minVMs
	}
	// Later steps follow on those that run now, so they need room of their own only where they are more.
	running := max(float64(p.used.MilliCPU), (p.backlog-p.readyBacklog)/float64(laterStepsHorizon), s.demands[p.service].rate(s.now))
	// Waiting tasks take no more than what all of them together ask for.
	waiting := min(p.readyBacklog/float64(startHorizon), float64(p.readyCPU))
	cpu := running + waiting
	return max(int(math.Ceil(cpu/(targetUtilization*vmCPU)))+spareVMs, p.minExecutors+spareVMs, minVMs)
}

func (s *Scheduler) countVMs(byName map[string]*poolSize) {
	listed := map[string]bool{}
	for _, e := range s.allExecutors() {
		p := byName[e.info.Service]
		if !e.listed || e.retired || p == nil {
			continue
		}
		listed[e.info.VM] = true
		if s.isMoving(e.info.VM) || !e.isSchedulable(s.now) {
			continue
		}
		p.have++
		if len(e.tasks) == 0 && s.now >= e.idleSince+lendAfterIdle {
			p.idleExecutors = append(p.idleExecutors, e)
		}
	}
	for _, m := range s.moves {
		if p := byName[m.to]; p != nil && !m.finished {
			p.have++
		}
	}
	for _, v := range s.vms {
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
