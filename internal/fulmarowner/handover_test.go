package fulmarowner

import (
	"context"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// overload makes the executor answer no start and submits a job with many tasks.
func (h *harness) overload() {
	h.executors.start = func(ctx context.Context) (fulmarjob.CommandResult, error) {
		return fulmarjob.ResultUnknown, noResponse(ctx)
	}
	small := fulmarjob.Step{Count: 1000, Resources: fulmarjob.Resources{MilliCPU: 1, MemoryMB: 1}, EstimatedDuration: 1000}
	request := Request{Kind: Submit, Job: jobA, Queue: "q", ConfigurationVersion: 1, Specification: fulmarjob.Specification{Payload: jobA, Steps: []fulmarjob.Step{small}}}
	h.c.Assert(h.ask(request).Outcome, quicktest.Equals, Done)
}

func TestOverloadedOwnerHandsOverToLargerMember(t *testing.T) {
	h := newHarness(t)
	h.executors.mostCores = 4 * testCores
	first := h.start()
	h.overload()
	h.waitFor("the term ends", func() bool { return h.candidate.term.Load() != first })
	h.c.Assert(first.ask(), quicktest.Equals, NotOwner)
}

func (t *term) ask() Outcome {
	return t.do(context.Background(), Request{Kind: State, Job: jobA}).Outcome
}

func TestHandOverNeedsLargerMemberAndStore(t *testing.T) {
	due := handOver{age: minHandOverAge, narrowFor: minNarrowTime, cores: 0.2, mostCores: 0.8, storeResponds: true}
	quicktest.Assert(t, due.isDue(), quicktest.IsTrue)
	for name, change := range map[string]func(h *handOver){
		"just begun":       func(h *handOver) { h.age = minHandOverAge - 1 },
		"not overloaded":   func(h *handOver) { h.narrowFor = minNarrowTime - 1 },
		"of the same size": func(h *handOver) { h.mostCores = h.cores },
		"of unknown size":  func(h *handOver) { h.cores = 0 },
		"alone":            func(h *handOver) { h.mostCores = 0 },
		"store away":       func(h *handOver) { h.storeResponds = false },
	} {
		h := due
		change(&h)
		quicktest.Check(t, h.isDue(), quicktest.IsFalse, quicktest.Commentf("%s", name))
	}
}
