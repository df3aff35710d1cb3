package fulmarsoak

import (
	"context"
	"syscall"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// Faults begin after a pause between these, and last between the two after them.
	leastGap  = 150 * time.Millisecond
	mostGap   = 900 * time.Millisecond
	leastTime = 200 * time.Millisecond
	mostTime  = 3 * time.Second
	waveTime  = 30 * fulmarclock.Second
)

// fault is a kind of trouble; do begins it and returns what ends it.
type fault struct {
	name string
	do   func(s *soak) func()
}

func (s *soak) member() *member { return s.members[s.random.IntN(len(s.members))] }

func signalled(name string, signal syscall.Signal) fault {
	return fault{name, func(s *soak) func() {
		s.member().signal(signal)
		return func() {}
	}}
}

// onProxy strikes one proxy for a while.
func onProxy(name string, m mode, choose func(s *soak) *proxy) fault {
	return fault{name, func(s *soak) func() {
		p := choose(s)
		p.set(m)
		return func() { p.set(pass) }
	}}
}

func storeOf(s *soak) *proxy { return s.member().store }

func fleetOf(s *soak) *proxy { return s.member().fleet }

func executorOf(s *soak) *proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executors[s.random.IntN(len(s.executors))]
}

var faults = []fault{
	signalled("kill", syscall.SIGKILL),
	signalled("kill", syscall.SIGKILL),
	signalled("stop", syscall.SIGTERM),
	signalled("reload", syscall.SIGHUP),
	{"pause", func(s *soak) func() {
		m := s.member()
		m.signal(syscall.SIGSTOP)
		return func() { m.signal(syscall.SIGCONT) }
	}},
	{"kill all", func(s *soak) func() {
		for _, m := range s.members {
			m.signal(syscall.SIGKILL)
		}
		return func() {}
	}},
	onProxy("store delayed", delayed, storeOf),
	onProxy("store silent", silent, storeOf),
	onProxy("store one way", oneWay, storeOf),
	onProxy("fleet silent", silent, fleetOf),
	onProxy("executor delayed", delayed, executorOf),
	onProxy("executor silent", silent, executorOf),
	onProxy("executor one way", oneWay, executorOf),
	{"store reset", func(s *soak) func() {
		storeOf(s).reset()
		return func() {}
	}},
	{"executor reset", func(s *soak) func() {
		executorOf(s).reset()
		return func() {}
	}},
	{"store down", func(s *soak) func() {
		s.rig.SetStoreDown(true)
		return func() { s.rig.SetStoreDown(false) }
	}},
	{"VM crash", func(s *soak) func() {
		if vms := s.rig.VMs("work"); len(vms) > 0 {
			s.rig.Crash(vms[s.random.IntN(len(vms))], fulmarclock.Second)
		}
		return func() {}
	}},
	{"configuration", func(s *soak) func() {
		s.version += 1 + s.random.IntN(3)
		s.configure()
		return func() {}
	}},
	{"wave", func(s *soak) func() {
		number := int64(s.strikes["wave"] + 1)
		if err := s.rig.RequestWave(number, s.rig.VMs("work"), waveTime, 2); err != nil {
			s.t.Error(err)
		}
		return func() {}
	}},
}

// strike begins faults, which overlap, until ctx ends.
func (s *soak) strike(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(leastGap + time.Duration(s.random.Int64N(int64(mostGap-leastGap))))
		f := faults[s.random.IntN(len(faults))]
		lasts := leastTime + time.Duration(s.random.Int64N(int64(mostTime-leastTime)))
		end := f.do(s)
		s.strikes[f.name]++
		time.AfterFunc(lasts, end)
	}
}
