package fulmarsoak

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// The interval between two faults and the duration of a fault are drawn from these ranges.
	minFaultInterval = 150 * time.Millisecond
	maxFaultInterval = 900 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	waveDuration     = 30 * fulmarclock.Second
)

// fault is a kind of fault. inject starts it and returns a function that ends it.
type fault struct {
	name   string
	inject func(s *soak) func()
}

func (s *soak) randomMember() *member { return s.members[s.random.IntN(len(s.members))] }

// signalFault returns a fault that sends a signal to a random member.
func signalFault(name string, signal syscall.Signal) fault {
	return fault{name, func(s *soak) func() {
		s.randomMember().signal(signal)
		return func() {}
	}}
}

// proxyFault returns a fault that sets the mode of one proxy until it ends.
func proxyFault(name string, m mode, choose func(s *soak) *proxy) fault {
	return fault{name, func(s *soak) func() {
		return choose(s).begin(m)
	}}
}

// pauseFault returns a fault that pauses a member.
func pauseFault(name string, choose func(s *soak) *member) fault {
	return fault{name, func(s *soak) func() {
		m := choose(s)
		s.logFault("paused", m.name)
		return m.pauses.begin(func() { m.signal(syscall.SIGSTOP) }, func() { m.signal(syscall.SIGCONT) })
	}}
}

// overlap counts the faults of one kind in progress, of which the last one to end stops the effect.
type overlap struct {
	mu    sync.Mutex
	count int
}

// begin starts a fault and returns a function that ends it. start is called for the first fault
// in progress, stop after the last one.
func (o *overlap) begin(start, stop func()) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count == 0 {
		start()
	}
	o.count++
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.count--
		if o.count == 0 {
			stop()
		}
	}
}

func randomStoreProxy(s *soak) *proxy { return s.randomMember().storeProxy }

func randomFleetProxy(s *soak) *proxy { return s.randomMember().fleetProxy }

func randomExecutorProxy(s *soak) *proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executorProxies[s.random.IntN(len(s.executorProxies))]
}

var configurationFault = fault{"configuration", func(s *soak) func() {
	s.configurationVersion += 1 + s.random.IntN(3)
	s.applyConfiguration()
	return func() {}
}}

var faults = slices.Concat(restartFaults, []fault{
	signalFault("kill", syscall.SIGKILL),
	signalFault("kill", syscall.SIGKILL),
	signalFault("stop", syscall.SIGTERM),
	signalFault("reload", syscall.SIGHUP),
	pauseFault("pause", (*soak).randomMember),
	{"kill all", func(s *soak) func() {
		for _, m := range s.members {
			m.signal(syscall.SIGKILL)
		}
		return func() {}
	}},
	proxyFault("store delayed", delayed, randomStoreProxy),
	proxyFault("store blackhole", blackhole, randomStoreProxy),
	proxyFault("store one way", oneWay, randomStoreProxy),
	proxyFault("VM API blackhole", blackhole, randomFleetProxy),
	proxyFault("executor delayed", delayed, randomExecutorProxy),
	proxyFault("executor blackhole", blackhole, randomExecutorProxy),
	proxyFault("executor one way", oneWay, randomExecutorProxy),
	{"store reset", func(s *soak) func() {
		randomStoreProxy(s).reset()
		return func() {}
	}},
	{"executor reset", func(s *soak) func() {
		randomExecutorProxy(s).reset()
		return func() {}
	}},
	{"store down", func(s *soak) func() {
		return s.storeOutages.begin(func() { s.rig.SetStoreDown(true) }, func() { s.rig.SetStoreDown(false) })
	}},
	{"VM crash", func(s *soak) func() {
		if vms := s.rig.VMs("work"); len(vms) > 0 {
			s.rig.Crash(vms[s.random.IntN(len(vms))], fulmarclock.Second)
		}
		return func() {}
	}},
	configurationFault,
	{"wave", func(s *soak) func() {
		number := int64(s.faultCounts["wave"] + 1)
		if err := s.rig.RequestWave(number, s.rig.VMs("work"), waveDuration, 2); err != nil {
			s.t.Error(err)
		}
		return func() {}
	}},
})

// injectFaults injects random faults, which may overlap, until ctx ends.
func (s *soak) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		interval := minFaultInterval + time.Duration(s.random.Int64N(int64(maxFaultInterval-minFaultInterval)))
		time.Sleep(interval / max(s.scenario.faultRate, 1))
		f := s.scenario.faults[s.random.IntN(len(s.scenario.faults))]
		duration := minFaultDuration + time.Duration(s.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		s.logFault(f.name, duration)
		end := f.inject(s)
		s.faultCounts[f.name]++
		time.AfterFunc(duration, end)
		time.Sleep(s.scenario.faultPause)
	}
}

// logFault writes a line beside the members' logs if they are kept.
func (s *soak) logFault(name string, details any) {
	if *logs == "" {
		return
	}
	line := fmt.Sprintf("time=%s %s %v\n", time.Now().Format("15:04:05.000"), name, details)
	appendLine(filepath.Join(s.directory, "faults.log"), line)
}
