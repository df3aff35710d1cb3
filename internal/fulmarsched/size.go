package fulmarsched

import (
	"cmp"
	"math"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// backlogHorizon is how soon waiting work should have begun.
	backlogHorizon = 500 * fulmarclock.Millis(1)
	// laterHorizon is how soon the work of later steps follows.
	laterHorizon = 3000 * fulmarclock.Millis(1)
	// targetFill is the part of a VM that short tasks can fill, as they come in lumps.
	targetFill = 0.85
	// spareVMs stay in a pool beyond its need.
	spareVMs = 1
	// leastVMs stay in every pool.
	leastVMs = 3
	// lendAfter is how long a VM is idle before another pool may have it.
	lendAfter = 300 * fulmarclock.Millis(1)
)

// size is how many VMs a pool has and needs.
type size struct {
	service string
	standby bool
	need    int
	have    int
	// idle are the executors without tasks, the longest idle first.
	idle []*executor
	// parked are VMs of a standby pool.
	parked []string
}

// sizes returns the sizes of all pools of the configuration, the largest lack first.
func (s *Scheduler) sizes() []*size {
	sizes := make([]*size, 0, len(s.configuration.Services))
	byName := map[string]*size{}
	for _, service := range s.configuration.Services {
		z := &size{service: service.Name, standby: service.Standby}
		if p := s.summary[service.Name]; p != nil && !z.standby {
			z.need = s.neededVMs(p)
		}
		sizes = append(sizes, z)
		byName[service.Name] = z
	}
	s.countVMs(byName)
	slices.SortStableFunc(sizes, func(a, b *size) int {
		return cmp.Or(cmp.Compare(b.need-b.have, a.need-a.have), cmp.Compare(a.service, b.service))
	})
	return sizes
}

// neededVMs returns how many VMs would carry a pool's running tasks and the work
// that callers keep handing in, and begin the waiting tasks in time. It answers the
// start of a burst: VMs take long to arrive, so the arrivals count before they have
// become a backlog.
func (s *Scheduler) neededVMs(p *pool) int {
	each := p.vmCores()
	if each == 0 {
		return leastVMs
	}
	// Later steps follow on those that run now, so they need room of their own only where they are more.
	running := max(float64(p.used.MilliCPU), (p.backlog-p.due)/float64(laterHorizon), s.demands[p.service].rate(s.now))
	// Waiting tasks take no more than what all of them together ask for.
	waiting := min(p.due/float64(backlogHorizon), float64(p.width))
	cores := running + waiting
	return max(int(math.Ceil(cores/(targetFill*each)))+spareVMs, p.spread+spareVMs, leastVMs)
}

func (s *Scheduler) countVMs(byName map[string]*size) {
	listed := map[string]bool{}
	for _, e := range s.sorted() {
		z := byName[e.info.Service]
		if !e.listed || e.retired || z == nil {
			continue
		}
		listed[e.info.VM] = true
		if s.isMoving(e.info.VM) || !e.isUsable(s.now) {
			continue
		}
		z.have++
		if len(e.tasks) == 0 && s.now >= e.idleSince+lendAfter {
			z.idle = append(z.idle, e)
		}
	}
	for _, m := range s.moves {
		if z := byName[m.to]; z != nil && !m.ending {
			z.have++
		}
	}
	for _, v := range s.vms {
		if z := byName[v.Pool]; z != nil && z.standby && v.Up && !s.isMoving(v.Name) && !s.isInUpkeep(v.Name) {
			z.parked = append(z.parked, v.Name)
		}
	}
	for _, z := range byName {
		slices.Sort(z.parked)
		slices.SortFunc(z.idle, func(a, b *executor) int {
			return cmp.Or(cmp.Compare(a.idleSince, b.idleSince), cmp.Compare(a.info.ID, b.info.ID))
		})
	}
}
