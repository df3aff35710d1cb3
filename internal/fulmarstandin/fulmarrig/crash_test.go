package fulmarrig

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	fulmaradapter "github.com/fulmardrum/fulmardrum/platform"
)

// TestTaskCrashesItsExecutor guards against a crash that blames a neighbour or ends no runs.
func TestTaskCrashesItsExecutor(t *testing.T) {
	const downtime = 2 * fulmarclock.Second
	clock := fulmarclock.NewManual(1)
	rig, err := Start(Options{
		Clock: clock, MaxLease: 10 * fulmarclock.Second, CrashDowntime: downtime,
		Pools:           []Pool{{Service: "work", VMs: 1, MilliCPU: 8000, MemoryMB: 1024}},
		CrashesExecutor: func(task string) bool { return task == "bad" },
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	defer rig.Close()
	startRun(t, rig, "x-work-0-1", "good")
	startRun(t, rig, "x-work-0-1", "bad")
	clock.Advance(crashDelay)
	awaitState(rig, vmDown)

	runs := rig.Runs()
	quicktest.Assert(t, runs, quicktest.HasLen, 2)
	for i, caused := range []bool{false, true} {
		quicktest.Check(t, runs[i].Outcome, quicktest.Equals, runCrashed)
		quicktest.Check(t, runs[i].Ended, quicktest.Equals, 1+crashDelay)
		quicktest.Check(t, runs[i].CausedCrash, quicktest.Equals, caused)
	}
	quicktest.Assert(t, isRegistered(rig, "x-work-0-1"), quicktest.IsFalse)
	clock.Advance(downtime)
	awaitState(rig, vmUp)
	quicktest.Assert(t, isRegistered(rig, "x-work-0-2"), quicktest.IsTrue)
}

func isRegistered(rig *Rig, executor string) bool {
	_, found := rig.Get(fulmaradapter.ExecutorPrefix + executor)
	return found
}

// awaitState waits for the call of a manual clock that changes the state of the only VM.
func awaitState(rig *Rig, state string) {
	current := func() string {
		rig.fleet.mu.Lock()
		defer rig.fleet.mu.Unlock()
		return rig.fleet.vms[0].state
	}
	for current() != state {
		time.Sleep(time.Millisecond)
	}
}

// startRun starts the first run of a task directly at an executor.
func startRun(t *testing.T, rig *Rig, executor, task string) {
	entry := struct {
		Address string `json:"address"`
	}{}
	value, _ := rig.Get(fulmaradapter.ExecutorPrefix + executor)
	quicktest.Assert(t, json.Unmarshal(value, &entry), quicktest.IsNil)
	body, err := json.Marshal(command{Task: task, RunNumber: 1, Deadline: rig.executorClock() + 5*fulmarclock.Second})
	quicktest.Assert(t, err, quicktest.IsNil)
	request, err := http.NewRequest(http.MethodPost, "http://"+entry.Address+"/fulmardrum/run-start", bytes.NewReader(body))
	quicktest.Assert(t, err, quicktest.IsNil)
	request.Header.Set("X-Expected-Executor", executor)
	response, err := http.DefaultClient.Do(request)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, response.Body.Close(), quicktest.IsNil)
	quicktest.Assert(t, response.StatusCode, quicktest.Equals, http.StatusOK)
}

func TestTaskThatCrashesSeveralExecutorsAtATimeIsFound(t *testing.T) {
	const downUntil = 100 * fulmarclock.Millis(1)
	for _, row := range []struct {
		name        string
		causedCrash bool
		startedNext fulmarclock.Millis
		violations  int
	}{
		{"started before the VM is back", true, downUntil - 1, 1},
		{"started when the VM is back", true, downUntil, 0},
		{"crash with another cause", false, downUntil - 1, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			first := Run{Task: "t", Number: 1, Started: 10, Ended: 20, Outcome: runCrashed}
			if row.causedCrash {
				first.CausedCrash, first.DownUntil = true, downUntil
			}
			next := Run{Task: "t", Number: 2, Started: row.startedNext, Ended: row.startedNext + 5, Outcome: "failed"}
			quicktest.Assert(t, FindViolations([]Run{first, next}), quicktest.HasLen, row.violations)
		})
	}
}

func TestNeighbourLostAfterSeveralCrashesIsFound(t *testing.T) {
	for _, row := range []struct {
		name       string
		crashes    int
		neighbour  string
		violations int
	}{
		{"the last of the permitted crashes", crashesUntilAlone, "other.0", 0},
		{"one crash more", crashesUntilAlone + 1, "other.0", 1},
		{"a task of the same job", crashesUntilAlone + 1, "bad.1", 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			var runs []Run
			for i := range row.crashes {
				at := fulmarclock.Millis(100 * (i + 1))
				runs = append(runs, Run{Task: "bad.0", Number: int64(i + 1), Executor: "x", Incarnation: int64(i), Started: at, Ended: at + 10, Outcome: runCrashed, CausedCrash: true, DownUntil: at + 50})
			}
			last := runs[len(runs)-1]
			runs = append(runs, Run{Task: row.neighbour, Number: 1, Executor: "x", Incarnation: last.Incarnation, Started: last.Started, Ended: last.Ended, Outcome: runCrashed})
			quicktest.Assert(t, FindViolations(runs), quicktest.HasLen, row.violations)
		})
	}
}
