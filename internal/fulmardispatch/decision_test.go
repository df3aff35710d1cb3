package fulmardispatch_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
)

func TestFairShare(t *testing.T) {
	cases := []struct {
		name          string
		capacity, own int
		others        []fulmardispatch.Demand
		want          int
	}{
		{"alone", 80, 500, nil, 80},
		{"enough for all", 80, 10, demandsOf(20, 30), 80},
		{"equal demands", 80, 100, demandsOf(100, 100, 100), 20},
		{"small demands leave slots to others", 80, 100, demandsOf(10, 10), 60},
		{"own demand is small", 80, 5, demandsOf(100, 100), 27},
		{"first by name gets the remainder", 10, 100, []fulmardispatch.Demand{{Requests: 100}, {Requests: 100}}, 4},
		{"last by name does not", 10, 100, []fulmardispatch.Demand{{Requests: 100, Precedes: true}, {Requests: 100, Precedes: true}}, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, fulmardispatch.FairShare(tc.capacity, tc.own, tc.others), qt.Equals, tc.want)
		})
	}
}

func demandsOf(requests ...int) []fulmardispatch.Demand {
	var demands []fulmardispatch.Demand
	for _, n := range requests {
		demands = append(demands, fulmardispatch.Demand{Requests: n})
	}
	return demands
}

// TestFairSharesAddUpToCapacity checks that the members together use all slots if
// their demand is high enough, and never more than there are.
func TestFairSharesAddUpToCapacity(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		capacity := rapid.IntRange(1, 200).Draw(r, "capacity")
		demands := rapid.SliceOfN(rapid.IntRange(0, 300), 1, 8).Draw(r, "demands")
		totalDemand, usedSlots := 0, 0
		for i, own := range demands {
			var others []fulmardispatch.Demand
			for j, requests := range demands {
				if j != i {
					others = append(others, fulmardispatch.Demand{Requests: requests, Precedes: j < i})
				}
			}
			usedSlots += min(own, fulmardispatch.FairShare(capacity, own, others))
			totalDemand += own
		}
		if usedSlots != min(totalDemand, capacity) {
			r.Fatalf("%d of %d slots are used for a demand of %d", usedSlots, capacity, totalDemand)
		}
	})
}

func TestIsOutlier(t *testing.T) {
	cases := []struct {
		name                        string
		failures, successes         int
		otherFailures, otherSamples int
		want                        bool
	}{
		{"too few samples", 5, 0, 0, 100, false},
		{"fails everything", 16, 0, 0, 100, true},
		{"fails rarely", 2, 14, 0, 100, false},
		{"all fail at the same rate", 16, 0, 90, 100, false},
		{"the others fail occasionally", 12, 4, 20, 100, true},
		{"only worker of its pool", 16, 0, 0, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var h fulmardispatch.Health
			for range tc.successes {
				h.Record(false)
			}
			for range tc.failures {
				h.Record(true)
			}
			qt.Assert(t, fulmardispatch.IsOutlier(&h, tc.otherFailures, tc.otherSamples), qt.Equals, tc.want)
		})
	}
}

func TestEjectedWorkerReturnsAfterProbes(t *testing.T) {
	c := qt.New(t)
	var h fulmardispatch.Health
	h.Eject(0, 2000)
	c.Assert(h.IsProbeDue(1999, true), qt.IsFalse)
	c.Assert(h.IsProbeDue(2000, true), qt.IsTrue)
	c.Assert(h.IsProbeDue(2000, false), qt.IsFalse)
	c.Assert(h.IsProbeDue(6000, false), qt.IsTrue)
	h.RecordProbe(2000, true)
	c.Assert(h.IsProbeDue(5999, true), qt.IsFalse)
	for range 3 {
		h.RecordProbe(6000, false)
	}
	c.Assert(h.State(), qt.Equals, fulmardispatch.Healthy)
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	c := qt.New(t)
	budget := fulmardispatch.NewRetryBudget(0.2)
	retries := 0
	for range 1000 {
		budget.Deposit()
		for budget.TryWithdraw() {
			retries++
		}
	}
	c.Assert(retries >= 200 && retries <= 211, qt.IsTrue, qt.Commentf("%d retries", retries))
	c.Assert(fulmardispatch.NewRetryBudget(0).TryWithdraw(), qt.IsFalse)
}

func TestFirstByteTimeoutFollowsLatency(t *testing.T) {
	c := qt.New(t)
	var l fulmardispatch.Latency
	c.Assert(l.FirstByteTimeout(), qt.Equals, fulmarclock.Second)
	for range 200 {
		l.Record(5000)
	}
	c.Assert(l.FirstByteTimeout() >= 5000, qt.IsTrue)
	c.Assert(l.EstimatedWait(80, 40), qt.Equals, fulmarclock.Millis(10000))
}

func TestPoliciesChooseValidIndex(t *testing.T) {
	for _, name := range []string{"round-robin", "least-loaded", "two-choices", "normalized-difference"} {
		t.Run(name, func(t *testing.T) {
			policy, ok := fulmardispatch.PolicyByName(name)
			qt.Assert(t, ok, qt.IsTrue)
			rapid.Check(t, func(r *rapid.T) {
				running := rapid.SliceOfN(rapid.IntRange(0, 7), 1, 20).Draw(r, "running")
				random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
				var candidates []fulmardispatch.Candidate
				for _, n := range running {
					candidates = append(candidates, fulmardispatch.Candidate{Running: n, Slots: 8})
				}
				chosen := policy.Choose(candidates, random.IntN)
				if chosen < 0 || chosen >= len(candidates) {
					r.Fatalf("index %d is out of range for %d candidates", chosen, len(candidates))
				}
			})
		})
	}
}
