package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// advicePlay is a series of jobs that need placement advice.
type advicePlay struct {
	name      string
	executors int
	times     fulmarjob.AdviceTimes
	// isUnstated means that the configuration does not state the times.
	isUnstated bool
	step       fulmarjob.Step
	jobs       int
	gap        fulmarclock.Millis
	// limit is how long after the last job all jobs are completed.
	limit fulmarclock.Millis
}

func spreadGang(count int) fulmarjob.Step {
	gang := step(count)
	gang.Gang = true
	gang.MaxPerExecutor = 1
	return gang
}

var advicePlays = []advicePlay{
	{name: "jobs one at a time", executors: 12, times: fulmarjob.AdviceTimes{Decision: 300, PerExecutor: 200, Validity: 3000}, step: step(2), jobs: 5, gap: 4500, limit: 10000},
	{name: "burst of jobs", executors: 12, times: fulmarjob.AdviceTimes{Decision: 300, PerExecutor: 200, Validity: 3000}, step: step(2), jobs: 3, gap: 1700, limit: 10000},
	{name: "burst without stated times", executors: 12, times: fulmarjob.AdviceTimes{Decision: 300, PerExecutor: 200, Validity: 3000}, isUnstated: true, step: step(2), jobs: 3, gap: 1700, limit: 20000},
	{name: "many jobs in turn", executors: 12, times: fulmarjob.AdviceTimes{Decision: 300, PerExecutor: 50, Validity: 3000}, step: step(2), jobs: 30, gap: 50, limit: 30000},
	{name: "call about all executors longer than the ticket", executors: 12, times: fulmarjob.AdviceTimes{Decision: 300, PerExecutor: 300, Validity: 3000}, step: step(2), jobs: 3, limit: 15000},
	{name: "call about all executors longer than the timeout", executors: 12, times: fulmarjob.AdviceTimes{Decision: 300, PerExecutor: 1000, Validity: 3000}, step: step(2), jobs: 3, limit: 30000},
	{name: "wide step", executors: 12, times: fulmarjob.AdviceTimes{Decision: 300, PerExecutor: 200, Validity: 3000}, step: step(60), jobs: 2, limit: 30000},
	{name: "gang on many executors", executors: 12, times: fulmarjob.AdviceTimes{Decision: 300, PerExecutor: 200, Validity: 3000}, step: spreadGang(6), jobs: 2, limit: 30000},
	{name: "gang that needs two calls", executors: 24, times: fulmarjob.AdviceTimes{Decision: 1000, PerExecutor: 100, Validity: 3000}, step: spreadGang(12), jobs: 1, limit: 30000},
}

// A job that needs placement advice must start, however its calls and those of other jobs meet.
func TestJobsThatNeedPlacementAdviceStart(t *testing.T) {
	for _, p := range advicePlays {
		for _, start := range validityStarts {
			t.Run(p.name+"/valid "+string(start), func(t *testing.T) { p.run(t, start) })
		}
	}
}

func (p advicePlay) run(t *testing.T, start validityStart) {
	sim := newSimulation(t, p.executors)
	sim.adviceAllows = func(id string) bool { return id[len(id)-1]%3 != 0 }
	advisor := sim.withAdvisor(p.times, start)
	if p.isUnstated {
		sim.configuration.Queues[0].Advice = fulmarjob.AdviceTimes{}
	}
	sim.runUntil(1200)
	for n := range p.jobs {
		sim.submit(jobID(n), p.step)
		sim.runUntil(sim.now + p.gap)
	}
	sim.waitFor(sim.now+p.limit, "the jobs are completed", sim.allCompleted)
	quicktest.Check(t, advisor.mostInFlight, quicktest.Equals, 1)
	quicktest.Check(t, sim.ticketRefusals, quicktest.Equals, 0)
	for _, c := range advisor.calls {
		quicktest.Check(t, len(c.Executors) <= 100, quicktest.IsTrue)
	}
}

// A call that takes longer than its tickets are valid must not keep a job from starting, if the validity
// begins with the response.
func TestJobStartsThoughCallLastsLongerThanItsTickets(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.withAdvisor(fulmarjob.AdviceTimes{Decision: 6000, PerExecutor: 100, Validity: 2000}, fromResponse)
	sim.runUntil(1200)
	sim.submit(jobID(1), step(2))
	sim.waitFor(sim.now+15000, "the job is completed", sim.allCompleted)
}

// Jobs must get their turns at the advisor in the order in which they wait, also if a job's tickets are
// of no use to it.
func TestStepWithoutUseForItsTicketsHoldsUpNoOtherJob(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.withAdvisor(fulmarjob.AdviceTimes{Decision: 500, PerExecutor: 100, Validity: 1000}, fromResponse)
	sim.runUntil(1200)
	large := step(1)
	large.Resources.MilliCPU = 8000
	for n := range 3 {
		sim.submit(jobID(n), large)
	}
	sim.runUntil(sim.now + 5000)
	sim.submit(jobID(9), step(2))
	sim.waitFor(sim.now+6000, "the job is completed", func() bool { return sim.jobState(jobID(9)) == fulmarjob.Completed })
}

// Tickets must not be used for a later incarnation of their executor, nor after they were rejected.
func TestJobsThatNeedPlacementAdviceStartDespiteRestarts(t *testing.T) {
	for _, start := range validityStarts {
		for seed := range 10 {
			t.Run(fmt.Sprintf("valid %s/seed %d", start, seed), func(t *testing.T) {
				random := newRandomSource(int64(seed))
				sim := newSimulation(t, 5)
				sim.adviceAllows = func(id string) bool { return id != "x-1" }
				sim.withAdvisor(fulmarjob.AdviceTimes{Decision: 300, PerExecutor: 200, Validity: 3000}, start)
				sim.losesResult = func(int) bool { return random.intN(20) == 0 }
				sim.commandDelay = func(int) fulmarclock.Millis { return 300 }
				sim.runUntil(1200)
				for n := range 8 {
					sim.submit(jobID(n), step(1+random.intN(6)))
					sim.runUntil(sim.now + fulmarclock.Millis(random.intN(2500)))
					if e := sim.executors[random.intN(5)]; e.alive {
						e.crash()
						sim.at(sim.now+fulmarclock.Millis(300+random.intN(2000)), e.restart)
					}
					if random.intN(4) == 0 {
						sim.newOwner()
					}
				}
				sim.losesResult = func(int) bool { return false }
				sim.waitFor(sim.now+60000, "the jobs are completed", sim.allCompleted)
			})
		}
	}
}
