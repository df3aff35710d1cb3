package fulmarsoak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	recutWaveName = "wave of restarts and cuts"
	recutVMs      = 24
	recutCallers  = 6
	// recutCallInterval keeps the load at about half of the capacity that the cuts leave.
	recutCallInterval = 2500 * time.Millisecond
	// recutPause is the time from one wave to the next: mostly, the cuts of a wave end before.
	recutPause = 10 * time.Second
	// The downtime of the executors of a wave lies between these bounds.
	minRecutDowntime = 300 * fulmarclock.Millis(1)
	maxRecutDowntime = 800 * fulmarclock.Millis(1)
	// The time from an executor's restart to its cut lies between these bounds.
	minRecutDelay = 100 * time.Millisecond
	maxRecutDelay = 2500 * time.Millisecond
	// maxRecutDelayAfterKill leaves the next owner the time to meet the executors before their cuts.
	maxRecutDelayAfterKill = 3500 * time.Millisecond
	// recutDuration is longer than the leases that owners grant, and shorter than the longest one.
	recutDuration = 9 * time.Second
	// The jobs of a burst are submitted while the executors of a wave are down.
	recutBurst = 12
	// burstCaller is the number of the caller of the first burst.
	burstCaller = 1000
	// An owner is killed or paused within these times after a wave begins.
	maxOwnerKillDelay  = 1200 * time.Millisecond
	maxOwnerPauseDelay = 2 * time.Second
	ownerPause         = 2 * time.Second
	shortestRecutRun   = 1500 * fulmarclock.Millis(1)
	longestRecutRun    = 12000 * fulmarclock.Millis(1)
	// secondRecutStepRun keeps the time short in which jobs end after the last fault.
	secondRecutStepRun = 200 * fulmarclock.Millis(1)
)

// cutOff cuts a VM's executor off from the members for recutDuration, and from the store too if fromStore is set.
func (s *soak) cutOff(vm string, fromStore bool) {
	if p := s.executorProxy(vm); p != nil {
		time.AfterFunc(recutDuration, p.begin(held))
	}
	if !fromStore {
		return
	}
	end := s.storeCuts[vm].begin(func() { s.rig.SetCutFromStore(vm, true) }, func() { s.rig.SetCutFromStore(vm, false) })
	time.AfterFunc(recutDuration, end)
}

// submitBurst submits jobs at random times during a span.
func (s *soak) submitBurst(span time.Duration) {
	caller := burstCaller + s.faultCounts[recutWaveName]
	for n := range recutBurst {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(n)))
		wait := draw(s.random, span)
		s.bursts.Go(func() {
			time.Sleep(wait)
			s.submitJob(fmt.Sprintf("%08x%08x", caller, n+1), random)
		})
	}
}

// recutWave restarts most executors at one moment and cuts them off soon after.
var recutWave = fault{recutWaveName, func(s *soak) func() {
	vms := s.rig.VMs("work")
	s.random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	longestDelay := maxRecutDelay
	if s.harmOwner() {
		longestDelay = maxRecutDelayAfterKill
	}
	for i, vm := range vms[:len(vms)*2/3] {
		r := s.randomRestart(vm)
		r.downtime = minRecutDowntime + draw(s.random, maxRecutDowntime-minRecutDowntime)
		r.keepsListener = i%4 > 0
		s.restart(r)
		wait := minRecutDelay + draw(s.random, longestDelay-minRecutDelay)
		fromStore := s.random.IntN(2) == 0
		s.logFault("cut", fmt.Sprintf("%s in %v, from the store %t", vm, wait, fromStore))
		time.AfterFunc(wait, func() { s.cutOff(vm, fromStore) })
	}
	s.submitBurst(maxRecutDowntime.Duration())
	return func() {}
}}

// harmOwner kills or pauses the owner on half of the calls, after a random time. It returns whether it kills it.
func (s *soak) harmOwner() (kills bool) {
	fallback := s.randomMember()
	switch s.random.IntN(4) {
	case 0:
		wait := draw(s.random, maxOwnerKillDelay)
		time.AfterFunc(wait, func() {
			m := s.ownerOr(fallback)
			s.logFault("killed", m.name)
			m.signal(syscall.SIGKILL)
		})
		return true
	case 1:
		wait := draw(s.random, maxOwnerPauseDelay)
		pause := pauseFault("pause owner", func(s *soak) *member { return s.ownerOr(fallback) })
		time.AfterFunc(wait, func() { time.AfterFunc(ownerPause, pause.inject(s)) })
	}
	return false
}

// TestRecutSoak guards against runs that outlive what the owner waits for, on executors that restart and are cut off soon
// after.
func TestRecutSoak(t *testing.T) {
	runSeeds(t, scenario{
		name: "recut", faults: []fault{recutWave}, graceSeconds: defaultGraceSeconds, vms: recutVMs, callers: recutCallers,
		callInterval: recutCallInterval, faultPause: recutPause, shortestRun: shortestRecutRun, longestRun: longestRecutRun,
		secondStepRun: secondRecutStepRun,
	}, *recuts)
}
