package fulmarbench

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin/fulmarrig"
)

// completionLimit is far longer than any job of these tests takes, also on a busy machine.
const completionLimit = 2 * time.Minute

// TestJobWithoutCompletionTimesOut submits a job to a member that accepts it and never completes it.
func TestJobWithoutCompletionTimesOut(t *testing.T) {
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"state":"running"}`)) }))
	defer member.Close()
	callers := &jobCallers{
		load: JobLoad{TasksPerJob: 1, CompletionTimeout: 2 * jobPollInterval}, client: newClient(), result: newJobResult(),
		targets: []string{member.Listener.Addr().String()},
	}
	callers.runJob(context.Background(), 0, "00000000000000aa", 0, 100)
	quicktest.Assert(t, callers.result.timedOut, quicktest.Equals, 1)
}

// TestEveryTaskCompletesOnceDespiteFaults runs complete members against the simulated
// platform. Every accepted job must complete and no task may run again after its completion,
// whichever fault is injected meanwhile.
func TestEveryTaskCompletesOnceDespiteFaults(t *testing.T) {
	rows := []struct {
		name        string
		injectFault func(f *jobFleet)
	}{
		{"no fault", func(*jobFleet) {}},
		{"owner stops", func(f *jobFleet) { f.mustAwaitOwner().cancel() }},
		{"all members but one stop", func(f *jobFleet) {
			for _, m := range f.members[1:] {
				m.cancel()
				<-m.exited
				m.exited <- nil
			}
		}},
		{"VM crash", func(f *jobFleet) { f.rig.Crash(f.rig.VMs(jobService(0))[0], fulmarclock.Second) }},
		{"store outage", func(f *jobFleet) {
			f.rig.SetStoreDown(true)
			time.Sleep(2 * time.Second)
			f.rig.SetStoreDown(false)
		}},
		{"maintenance wave", func(f *jobFleet) {
			_ = f.rig.RequestWave(1, f.rig.VMs(jobService(0)), fulmarclock.Minute, 1)
		}},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			fleet, err := startJobFleet(3, 1, 4)
			defer fleet.close()
			quicktest.Assert(t, err, quicktest.IsNil)
			fleet.mustAwaitOwner()
			load := JobLoad{Queues: 1, Rate: 10, TasksPerJob: 4, Duration: 3 * time.Second, Seed: 1, CompletionTimeout: completionLimit}
			var injection sync.WaitGroup
			injection.Go(func() {
				time.Sleep(load.Duration / 3)
				r.injectFault(fleet)
			})
			result := submitJobs(context.Background(), fleet.targets(), load)
			injection.Wait()
			quicktest.Check(t, result.timedOut, quicktest.Equals, 0)
			// Jobs may be refused during the fault, but afterwards one must be accepted and complete.
			last := &jobCallers{load: JobLoad{TasksPerJob: 4}, targets: fleet.targets(), client: newClient(), result: newJobResult()}
			for n := 0; last.result.onTime+last.result.late == 0; n++ {
				last.runJob(context.Background(), 0, fmt.Sprintf("ffffffff%08x", n), n%len(last.targets), jobMinTaskMillis)
			}
			quicktest.Check(t, fulmarrig.FindViolations(fleet.rig.Runs()), quicktest.HasLen, 0)
		})
	}
}

// TestJobsRefusedDuringStoreOutageNeverRun checks that during a store outage jobs are refused
// at once instead of waiting for their timeout, and that none of the refused jobs ever runs.
func TestJobsRefusedDuringStoreOutageNeverRun(t *testing.T) {
	fleet, err := startJobFleet(1, 1, 4)
	defer fleet.close()
	quicktest.Assert(t, err, quicktest.IsNil)
	fleet.mustAwaitOwner()
	callers := &jobCallers{client: newClient()}
	submit := func(id string) int {
		status, _ := callers.send(context.Background(), http.MethodPost, "http://"+fleet.targets()[0]+jobPrefix(0)+id, jobBody(1, 100))
		return status
	}
	for submit("00000000000000aa") != http.StatusOK {
		time.Sleep(fleetPollInterval)
	}
	fleet.rig.SetStoreDown(true)
	statuses := make(chan int, 1)
	go func() { statuses <- submit("00000000000000bb") }()
	refused := map[string]bool{}
	for n := 0; len(refused) < 3; n++ {
		id := fmt.Sprintf("%016x", n+1)
		if submit(id) == http.StatusTooManyRequests {
			refused[id] = true
		}
	}
	fleet.rig.SetStoreDown(false)
	<-statuses
	for submit("00000000000000cc") != http.StatusOK {
		time.Sleep(fleetPollInterval)
	}
	for !fleet.hasStarted("00000000000000cc") {
		time.Sleep(fleetPollInterval)
	}
	for id := range refused {
		quicktest.Check(t, fleet.hasStarted(id), quicktest.IsFalse, quicktest.Commentf(id))
	}
}

// mustAwaitOwner waits until a member owns the scheduler and returns that member.
func (f *jobFleet) mustAwaitOwner() *jobMember {
	for {
		if m := f.owner(); m != nil {
			return m
		}
		time.Sleep(fleetPollInterval)
	}
}

// hasStarted reports whether a task of a job was ever started.
func (f *jobFleet) hasStarted(id string) bool {
	return slices.ContainsFunc(f.rig.Runs(), func(r fulmarrig.Run) bool { return strings.HasPrefix(r.Task, id+".") })
}
