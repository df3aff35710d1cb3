package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestOnlyAllowedExecutorsRunAnAdvisedQueue(t *testing.T) {
	w := newWorld(t, 4)
	w.mayRun = func(id string) bool { return id == "x-2" }
	w.configuration.Queues[0].NeedsAdvice = true
	w.play(1200)
	w.submit(jobID(1), step(6), step(2, 0))
	w.submit(jobID(2), step(3))
	w.playUntil(20000, "both jobs are completed", w.allCompleted)
	for _, r := range w.runs {
		quicktest.Assert(t, r.executor, quicktest.Equals, "x-2")
	}
	quicktest.Assert(t, len(w.scheduler.advice), quicktest.Equals, 0)
}

func TestAdviceIsAskedAgainAfterAChangeOfTheOwner(t *testing.T) {
	w := newWorld(t, 2)
	w.configuration.Queues[0].NeedsAdvice = true
	w.play(1200)
	w.submit(jobID(1), step(2), step(2, 0))
	w.playUntil(2000, "the job is stored", func() bool { return len(w.journal) > 0 })
	w.newOwner()
	w.playUntil(20000, "the job is completed", w.allCompleted)
}
