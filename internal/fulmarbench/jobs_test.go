package fulmarbench

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin/fulmarrig"
)

// Whole members against the platform's stand-in: every job ends, each of its tasks
// is done once, whatever happens meanwhile.
func TestJobsEndOnceThroughMembers(t *testing.T) {
	rows := []struct {
		name    string
		disturb func(f *jobFleet)
	}{
		{"calm", func(*jobFleet) {}},
		{"the owner stops", func(f *jobFleet) { f.mustOwn().cancel() }},
		{"every member stops in turn but one", func(f *jobFleet) {
			for _, m := range f.members[1:] {
				m.cancel()
				<-m.ended
				m.ended <- nil
			}
		}},
		{"a VM crashes", func(f *jobFleet) { f.rig.Crash(f.rig.VMs(jobService(0))[0], fulmarclock.Second) }},
		{"the store is away", func(f *jobFleet) {
			f.rig.SetStoreDown(true)
			time.Sleep(2 * time.Second)
			f.rig.SetStoreDown(false)
		}},
		{"a wave of upkeep", func(f *jobFleet) {
			_ = f.rig.RequestWave(1, f.rig.VMs(jobService(0)), fulmarclock.Minute, 1)
		}},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			fleet, err := startJobFleet(3, 1, 4)
			defer fleet.close()
			quicktest.Assert(t, err, quicktest.IsNil)
			fleet.mustOwn()
			load := JobLoad{Queues: 1, Rate: 10, Tasks: 4, Duration: 3 * time.Second, Seed: 1}
			var disturbing sync.WaitGroup
			disturbing.Go(func() {
				time.Sleep(load.Duration / 3)
				r.disturb(fleet)
			})
			result := handIn(context.Background(), fleet.targets(), load)
			disturbing.Wait()
			quicktest.Check(t, result.failed, quicktest.Equals, 0)
			// However much was refused meanwhile, a job is taken and ends once all is calm.
			last := &jobCallers{load: JobLoad{Tasks: 4}, targets: fleet.targets(), client: newClient(), result: newJobResult()}
			for n := 0; last.result.inAim+last.result.late == 0; n++ {
				last.call(context.Background(), 0, fmt.Sprintf("ffffffff%08x", n), n%len(last.targets), jobLeastTask)
			}
			quicktest.Check(t, fulmarrig.Check(fleet.rig.Runs()), quicktest.HasLen, 0)
		})
	}
}

// While the store is away jobs are refused instead of waiting for their timeout, and
// none of those that were refused ever runs.
func TestJobsRefusedInAnOutageNeverRun(t *testing.T) {
	fleet, err := startJobFleet(1, 1, 4)
	defer fleet.close()
	quicktest.Assert(t, err, quicktest.IsNil)
	fleet.mustOwn()
	callers := &jobCallers{client: newClient()}
	handIn := func(id string) int {
		status, _ := callers.send(context.Background(), http.MethodPost, "http://"+fleet.targets()[0]+jobPrefix(0)+id, jobBody(1, 100))
		return status
	}
	for handIn("00000000000000aa") != http.StatusOK {
		time.Sleep(fleetPoll)
	}
	fleet.rig.SetStoreDown(true)
	statuses := make(chan int, 1)
	go func() { statuses <- handIn("00000000000000bb") }()
	refused := map[string]bool{}
	for n := 0; len(refused) < 3; n++ {
		id := fmt.Sprintf("%016x", n+1)
		if handIn(id) == http.StatusTooManyRequests {
			refused[id] = true
		}
	}
	fleet.rig.SetStoreDown(false)
	<-statuses
	for handIn("00000000000000cc") != http.StatusOK {
		time.Sleep(fleetPoll)
	}
	for !fleet.hasRun("00000000000000cc") {
		time.Sleep(fleetPoll)
	}
	for id := range refused {
		quicktest.Check(t, fleet.hasRun(id), quicktest.IsFalse, quicktest.Commentf(id))
	}
}

// mustOwn waits until a member owns the scheduler and returns it.
func (f *jobFleet) mustOwn() *jobMember {
	for {
		if m := f.owner(); m != nil {
			return m
		}
		time.Sleep(fleetPoll)
	}
}

// hasRun tells whether a task of a job was ever started.
func (f *jobFleet) hasRun(id string) bool {
	return slices.ContainsFunc(f.rig.Runs(), func(r fulmarrig.Run) bool { return strings.HasPrefix(r.Task, id+".") })
}
