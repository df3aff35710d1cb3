package fulmarrig

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestFindViolations(t *testing.T) {
	first := Run{Task: "t", Number: 1, Executor: "x", Token: 2, Started: 10, Ended: 20, Outcome: "done"}
	second := Run{Task: "t", Number: 2, Executor: "y", Token: 2, Started: 30}
	with := func(r Run, change func(*Run)) Run {
		change(&r)
		return r
	}
	for _, row := range []struct {
		name       string
		runs       []Run
		violations int
	}{
		{"completion not acknowledged", []Run{first, second}, 0},
		{"completion acknowledged", []Run{with(first, func(r *Run) { r.Acknowledged = true }), second}, 1},
		{"completion acknowledged after a lapse without runs", []Run{with(first, func(r *Run) { r.Acknowledged, r.Acknowledgement.AfterLapse = true, true }), second}, 0},
		{"completion acknowledged after a lapse of runs", []Run{with(first, func(r *Run) {
			r.Acknowledged, r.Acknowledgement = true, Acknowledgement{AfterLapse: true, AfterLapseOfRuns: true}
		}), second}, 0},
		{"first run still in progress", []Run{with(first, func(r *Run) { r.Ended = 0 }), second}, 1},
		{"first run ends after the second starts", []Run{with(first, func(r *Run) { r.Ended = 40 }), second}, 1},
		{"same run number", []Run{first, with(second, func(r *Run) { r.Number = 1 })}, 1},
		{"same run number at the next incarnation", []Run{first, with(second, func(r *Run) { r.Number, r.Executor, r.Incarnation = 1, "x", 1 })}, 0},
		{"same run number at the next incarnation after an acknowledged completion", []Run{with(first, func(r *Run) { r.Acknowledged = true }), with(second, func(r *Run) { r.Number, r.Executor, r.Incarnation = 1, "x", 1 })}, 1},
		{"same run number at the next incarnation after an acknowledged failure", []Run{with(first, func(r *Run) { r.Outcome, r.Acknowledged = "failed", true }), with(second, func(r *Run) { r.Number, r.Executor, r.Incarnation = 1, "x", 1 })}, 1},
		{"lower fencing token", []Run{first, with(second, func(r *Run) { r.Executor, r.Token = "x", 1 })}, 1},
		{"lower fencing token of another task", []Run{first, with(second, func(r *Run) { r.Task, r.Executor, r.Token = "u", "x", 1 })}, 1},
		{"lower fencing token at another executor", []Run{first, with(second, func(r *Run) { r.Task, r.Token = "u", 1 })}, 0},
		{"lower fencing token at a later incarnation", []Run{first, with(second, func(r *Run) { r.Task, r.Executor, r.Incarnation, r.Token = "u", "x", 1, 1 })}, 0},
		{"another task", []Run{first, with(first, func(r *Run) { r.Task = "u" })}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			quicktest.Assert(t, FindViolations(row.runs), quicktest.HasLen, row.violations)
		})
	}
}

// Guards against an end that only a lapse without runs excuses, and that no count shows.
func TestRunsAfterIdleLapsesAreCounted(t *testing.T) {
	done := Run{Task: "t", Number: 1, Executor: "x", Started: 10, Ended: 20, Outcome: "done", Acknowledged: true}
	next := Run{Task: "t", Number: 2, Executor: "y", Started: 30}
	for _, row := range []struct {
		lapse Acknowledgement
		want  int
	}{{Acknowledgement{}, 0}, {Acknowledgement{AfterLapse: true}, 1}, {Acknowledgement{AfterLapse: true, AfterLapseOfRuns: true}, 0}} {
		done.Acknowledgement = row.lapse
		quicktest.Check(t, CountRunsAfterIdleLapses([]Run{done, next}), quicktest.Equals, row.want)
	}
}
