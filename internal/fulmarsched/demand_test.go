package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// burst hands jobs in at even distances and notes when each is completed.
type burst struct {
	world   *world
	handed  map[string]fulmarclock.Millis
	ended   map[string]fulmarclock.Millis
	refused map[string]fulmarclock.Millis
}

func newBurst(w *world) *burst {
	b := &burst{world: w, handed: map[string]fulmarclock.Millis{}, ended: map[string]fulmarclock.Millis{}, refused: map[string]fulmarclock.Millis{}}
	w.inspect = b.note
	return b
}

func (b *burst) note() {
	for id := range b.handed {
		if b.ended[id] == 0 && b.world.state(id) == fulmarjob.Completed {
			b.ended[id] = b.world.now
		}
	}
}

// play hands in a job every gap until a time.
func (b *burst) play(until, gap fulmarclock.Millis, steps ...fulmarjob.Step) {
	for n := 0; b.world.now < until; n++ {
		id := jobID(n)
		if b.world.submit(id, steps...).Outcome == OutcomeAccepted {
			b.handed[id] = b.world.now
		} else {
			b.refused[id] = b.world.now
		}
		b.world.play(b.world.now + gap)
	}
}

// Each second 32 core-seconds of work come to a pool of 12 cores. VMs need 1.5 s to
// arrive, so jobs from a second after that on are to be in aim.
func TestABurstIsServedOnceVMsCanHaveArrived(t *testing.T) {
	const took, aim = 800, 600 + 1.6*800
	w := newWorld(t, 3)
	w.behave = func(fulmarjob.TaskID, int64, *playedExecutor) (fulmarclock.Millis, bool) { return took, false }
	w.play(4500)
	w.scheduler.UpdateVMs(w.now, vmList(w, 30))
	b := newBurst(w)
	start := w.now
	quick := step(4)
	quick.Estimate = took
	b.play(start+6000, 100, quick)
	w.play(w.now + 6000)
	served := start + testBounds.MoveDuration + fulmarclock.Second
	for id, at := range b.refused {
		quicktest.Check(t, at < served, quicktest.IsTrue, quicktest.Commentf("%s, handed in after %d ms, was refused", id, at-start))
	}
	for id, at := range b.handed {
		end := b.ended[id]
		inAim := end > 0 && end <= at+aim
		quicktest.Check(t, inAim || at < served, quicktest.IsTrue, quicktest.Commentf("%s, handed in after %d ms, took %d ms", id, at-start, end-at))
	}
}

func TestOneJobTellsNothingOfARate(t *testing.T) {
	var d demand
	d.add(1000, 50000)
	quicktest.Assert(t, d.rate(1000), quicktest.Equals, 0.0)
	for i := range 20 {
		d.add(fulmarclock.Millis(1100+100*i), 50000)
	}
	rate := d.rate(3000)
	quicktest.Assert(t, rate > 400 && rate < 600, quicktest.IsTrue, quicktest.Commentf("%f for 500", rate))
	quicktest.Assert(t, d.rate(10000) < 1, quicktest.IsTrue)
}

func TestRenewalsAreSparedWhereManyExecutorsAreBusy(t *testing.T) {
	w := newWorld(t, 30)
	w.behave = endless
	w.play(1200)
	w.scheduler.bounds.RenewalsPerSecond = 200
	quicktest.Assert(t, w.scheduler.reportGap(), quicktest.Equals, minHoldGap)
	w.submit(jobID(1), lasting(30, 1))
	w.playUntil(4000, "all tasks serve", func() bool { return w.atWork(jobID(1)) == 30 })
	quicktest.Assert(t, w.scheduler.reportGap(), quicktest.Equals, fulmarclock.Millis(150))
	w.scheduler.bounds.RenewalsPerSecond = 10
	quicktest.Assert(t, w.scheduler.reportGap(), quicktest.Equals, maxHoldGap)
}
