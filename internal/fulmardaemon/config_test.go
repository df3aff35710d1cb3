package fulmardaemon_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// configChange is the input of an operation: an operator's change based on a
// generation, or the final read of the stored record.
type configChange struct {
	base      int64
	finalRead bool
}

// configResult is the output of an operation: the kind of response and its generation.
type configResult struct {
	kind       string
	generation int64
}

const accepted = "accepted"

// configModel is a compare-and-swap register of the generation: a change increments
// it by one, but only from the generation that the change is based on. A change
// without a response may or may not have been applied.
var configModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(1)} },
	Step: func(state, input, output any) []any {
		current, change, result := state.(int64), input.(configChange), output.(configResult)
		switch {
		case change.finalRead:
			return statesIf(current == result.generation, current)
		case result.kind == accepted:
			return statesIf(current == change.base && result.generation == current+1, current+1)
		case result.kind == "old-generation":
			return statesIf(current == result.generation && current != change.base, current)
		case result.kind == "unavailable":
			return []any{current}
		case current == change.base:
			return []any{current, current + 1}
		}
		return []any{current}
	},
	Equal: func(a, b any) bool { return a == b },
}

// statesIf returns state as the only next state, or none if the operation is not allowed.
func statesIf(allowed bool, state int64) []any {
	if !allowed {
		return nil
	}
	return []any{state}
}

// unboundedReturn is the return time of a change without a response, which may take
// effect at any time up to the final read.
const unboundedReturn = int64(1) << 50

// configHistory records concurrent changes of the configuration through all members.
type configHistory struct {
	f       *fleet
	mu      sync.Mutex
	history []porcupine.Operation
	// highest is the highest accepted generation.
	highest int64
}

// runOperator submits changes based on the generation of a random member through
// another random one, so that some are stale.
func (r *configHistory) runOperator(index int, seed uint64, changes int) {
	random := rand.New(rand.NewPCG(seed, uint64(index)))
	for range changes {
		through := r.f.members[random.IntN(len(r.f.members))]
		base := r.f.members[random.IntN(len(r.f.members))].daemon.Record().Generation
		call := r.f.clock.Unix()
		result := r.apply(through, base, index)
		r.add(index, configChange{base: base}, result, call, r.f.clock.Unix()+1)
		<-r.f.clock.After(fulmarclock.Millis(random.IntN(30)))
	}
}

func (r *configHistory) apply(through *member, base int64, index int) configResult {
	client := fulmarapi.NewClient("http://"+through.daemon.OperatorAddress(), "")
	done, err := client.Apply(context.Background(), fulmarapi.ConfigRequest{
		Generation: base, File: "test", Author: fmt.Sprint(index), Reason: "test", Text: `{"pools": {"p": {"vms": 1}}}`,
	})
	var refusal *fulmarapi.OperatorError
	switch {
	case err == nil:
		return configResult{kind: accepted, generation: done.Generation}
	case errors.As(err, &refusal):
		return configResult{kind: refusal.Kind, generation: refusal.Generation}
	}
	return configResult{kind: "unknown"}
}

// add records the result of a change; one without a response has kind "unknown".
func (r *configHistory) add(index int, change configChange, result configResult, call, returned int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.kind == "unknown" {
		returned = unboundedReturn
	}
	if result.kind == accepted {
		r.highest = max(r.highest, result.generation)
	}
	r.history = append(r.history, porcupine.Operation{ClientId: index, Input: change, Output: result, Call: call, Return: returned})
}

// checkGenerationNeverDecreases polls a member's generation until stop is closed.
func (f *fleet) checkGenerationNeverDecreases(m *member, stop <-chan struct{}) {
	last := int64(0)
	for {
		generation := m.daemon.Record().Generation
		if generation < last {
			f.c.Errorf("generation decreased from %d to %d", last, generation)
		}
		last = generation
		select {
		case <-stop:
			return
		case <-f.clock.After(1):
		}
	}
}

// TestAcceptedConfigurationNeverReverts runs concurrent operators while platform
// responses are lost, slow or missing. No accepted change may be lost or applied
// twice, no member's generation may decrease, and in the end every member, also a
// new one, must have the last generation.
func TestAcceptedConfigurationNeverReverts(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := startFleet(qt.New(t), 3, 1)
			r := &configHistory{f: f}
			stop := make(chan struct{})
			var others, operators sync.WaitGroup
			for _, m := range f.members {
				others.Add(1)
				go func() {
					defer others.Done()
					f.checkGenerationNeverDecreases(m, stop)
				}()
			}
			others.Add(1)
			go func() {
				defer others.Done()
				f.injectPlatformFaults(seed, stop)
			}()
			for index := range 4 {
				operators.Add(1)
				go func() {
					defer operators.Done()
					r.runOperator(index, seed, 12)
				}()
			}
			operators.Wait()
			close(stop)
			others.Wait()
			r.checkFinalState()
		})
	}
}

// checkFinalState waits until every member, one of them new, has the stored
// generation, and checks the whole history against configModel.
func (r *configHistory) checkFinalState() {
	f := r.f
	f.platform.Faults().Set(fulmarstandin.FaultTable{})
	record, err := fulmarconfig.DecodeRecord(f.platform.Store().Get(fulmarconfig.RecordKey).Value)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(record.Generation >= r.highest, qt.IsTrue)
	f.addMember(testSettings(len(f.members), f.platform.URL()))
	f.eventually("every member has the last generation", func() bool {
		for _, m := range f.members {
			if m.daemon.Record().Generation != record.Generation {
				return false
			}
		}
		return true
	})
	r.history = append(r.history, porcupine.Operation{
		ClientId: 99, Input: configChange{finalRead: true}, Output: configResult{generation: record.Generation},
		Call: unboundedReturn + 1, Return: unboundedReturn + 2,
	})
	kinds := map[string]int{}
	for _, o := range r.history {
		kinds[o.Output.(configResult).kind]++
	}
	f.c.Logf("operations by kind of result: %v", kinds)
	f.c.Assert(kinds[accepted] > 0, qt.IsTrue)
	f.c.Assert(porcupine.CheckOperationsTimeout(configModel.ToModel(), r.history, time.Minute), qt.Equals, porcupine.Ok)
}

// TestMemberWithoutConfigurationRefusesCallers starts a member during a platform
// outage: it must refuse callers until it has a configuration.
func TestMemberWithoutConfigurationRefusesCallers(t *testing.T) {
	f := startFleet(qt.New(t), 1, 1)
	platformDown(f)
	fresh := f.addMember(testSettings(1, f.platform.URL()))
	f.c.Assert(fresh.daemon.Gateway().IsReady(), qt.IsFalse)
	r := f.send(context.Background(), clientRequest{id: "early", method: post, member: 1})
	f.checkOutcomes([]clientResponse{r})
	f.c.Assert(r.reason, qt.Equals, fulmarapi.ReasonNoConfiguration)
	f.platform.Faults().Set(fulmarstandin.FaultTable{})
	f.eventually("the new member is ready", func() bool { return fresh.daemon.Gateway().IsReady() })
}

// TestUnannouncedMemberRefusesCallers starts a member that gets the configuration
// but cannot register. It must refuse callers: the planner does not know it and
// would move a VM without waiting for its requests.
func TestUnannouncedMemberRefusesCallers(t *testing.T) {
	f := startFleet(qt.New(t), 1, 1)
	f.platform.Faults().Set(fulmarstandin.FaultTable{RejectLeases: true})
	fresh := f.addMember(testSettings(1, f.platform.URL()))
	f.eventually("the new member has the configuration", func() bool { return fresh.daemon.Record().Generation == 1 })
	r := f.send(context.Background(), clientRequest{id: "early", method: post, member: 1})
	f.checkOutcomes([]clientResponse{r})
	f.c.Assert(r.reason, qt.Equals, fulmarapi.ReasonNotAnnounced)
	f.c.Assert(fresh.daemon.Gateway().IsReady(), qt.IsFalse)
	f.platform.Faults().Set(fulmarstandin.FaultTable{})
	f.eventually("the new member is ready", func() bool { return fresh.daemon.Gateway().IsReady() })
}
