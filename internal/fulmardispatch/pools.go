package fulmardispatch

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// PoolSpec is the configuration and the workers that one pool's scheduler should use.
type PoolSpec struct {
	Settings Settings
	View     PoolView
}

// PoolsOptions configure the schedulers of a member.
type PoolsOptions struct {
	Clock fulmarclock.Clock
	// NewPolicy returns a policy for one pool.
	NewPolicy func() Policy
	// Sharing is one of the names in fulmarsettings.
	Sharing string
	// RingCapacity is the capacity of each scheduler's event ring.
	RingCapacity int
	Seed         uint64
}

// Pools runs one scheduler for each pool of the configuration.
type Pools struct {
	options PoolsOptions
	mu      sync.Mutex
	current atomic.Pointer[map[string]*Scheduler]
}

// NewPools returns a Pools without schedulers.
func NewPools(options PoolsOptions) *Pools {
	p := &Pools{options: options}
	p.current.Store(&map[string]*Scheduler{})
	return p
}

// Scheduler returns the scheduler of a pool.
func (p *Pools) Scheduler(pool string) (*Scheduler, bool) {
	s, found := (*p.current.Load())[pool]
	return s, found
}

// Names returns the sorted names of the pools.
func (p *Pools) Names() []string {
	var names []string
	for name := range *p.current.Load() {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Apply starts schedulers for new pools, updates the existing ones, and stops those of pools without a spec.
func (p *Pools) Apply(specs map[string]PoolSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := *p.current.Load()
	next := make(map[string]*Scheduler, len(specs))
	for name, spec := range specs {
		s, found := previous[name]
		if !found {
			s = NewScheduler(name, Options{
				Clock: p.options.Clock, Policy: p.options.NewPolicy(), Sharing: p.options.Sharing, RingCapacity: p.options.RingCapacity,
				Seed: p.options.Seed, Settings: spec.Settings,
			})
			go s.Run()
		}
		s.SetSettings(spec.Settings)
		s.SetView(spec.View)
		next[name] = s
	}
	p.current.Store(&next)
	for name, s := range previous {
		if _, kept := next[name]; !kept {
			s.Close(fulmarapi.NewRefusal(fulmarapi.ReasonUnknownPool, "the pool was removed"))
		}
	}
}

// SetPeerDemands sets the demands of the other members, by pool.
func (p *Pools) SetPeerDemands(demands map[string][]Demand) {
	for name, s := range *p.current.Load() {
		s.SetPeerDemands(demands[name])
	}
}

// Demands returns the number of running and waiting requests of each pool that has any.
func (p *Pools) Demands() map[string]int {
	demands := map[string]int{}
	for name, s := range *p.current.Load() {
		if running, waiting := s.Load(); running+waiting > 0 {
			demands[name] = running + waiting
		}
	}
	return demands
}

// Reports returns the state of every pool, sorted by name.
func (p *Pools) Reports() []fulmarapi.PoolReport {
	var reports []fulmarapi.PoolReport
	for _, name := range p.Names() {
		s, found := p.Scheduler(name)
		if !found {
			continue
		}
		if report, running := s.Report(); running {
			reports = append(reports, report)
		}
	}
	return reports
}

// Close refuses the waiting requests of every pool and stops the schedulers.
func (p *Pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range *p.current.Load() {
		s.Close(fulmarapi.NewRefusal(fulmarapi.ReasonStopping, "this member is shutting down"))
	}
	p.current.Store(&map[string]*Scheduler{})
}
