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

// configChange is an operator's change made against a generation, or the last look at the record.
type configChange struct {
	read  int64
	final bool
}

// configEnd is what the operator was told.
type configEnd struct {
	kind       string
	generation int64
}

const accepted = "accepted"

// configModel is a register of generations that a change moves on by one, and
// only from the generation that its operator had read.
var configModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(1)} },
	Step: func(state, input, output any) []any {
		current, change, end := state.(int64), input.(configChange), output.(configEnd)
		switch {
		case change.final:
			return statesIf(current == end.generation, current)
		case end.kind == accepted:
			return statesIf(current == change.read && end.generation == current+1, current+1)
		case end.kind == "old-generation":
			return statesIf(current == end.generation && current != change.read, current)
		case end.kind == "unavailable":
			return []any{current}
		case current == change.read:
			return []any{current, current + 1}
		}
		return []any{current}
	},
	Equal: func(a, b any) bool { return a == b },
}

func statesIf(allowed bool, state int64) []any {
	if !allowed {
		return nil
	}
	return []any{state}
}

// openEnd is the end of an operation that may take effect until the record is read at last.
const openEnd = int64(1) << 50

// configRun has operators change the configuration through all members.
type configRun struct {
	f       *fleet
	mu      sync.Mutex
	history []porcupine.Operation
	highest int64
}

func (r *configRun) operator(place int, seed uint64, changes int) {
	random := rand.New(rand.NewPCG(seed, uint64(place)))
	for range changes {
		through := r.f.members[random.IntN(len(r.f.members))]
		read := r.f.members[random.IntN(len(r.f.members))].daemon.Record().Generation
		call := r.f.clock.Unix()
		end := r.apply(through, read, place)
		r.add(place, configChange{read: read}, end, call, r.f.clock.Unix()+1)
		<-r.f.clock.After(fulmarclock.Millis(random.IntN(30)))
	}
}

func (r *configRun) apply(through *member, read int64, place int) configEnd {
	client := fulmarapi.NewClient("http://"+through.daemon.Operators(), "")
	done, err := client.Apply(context.Background(), fulmarapi.ConfigRequest{
		Generation: read, File: "test", Author: fmt.Sprint(place), Reason: "test", Text: `{"pools": {"p": {"vms": 1}}}`,
	})
	var refusal *fulmarapi.OperatorError
	switch {
	case err == nil:
		return configEnd{kind: accepted, generation: done.Generation}
	case errors.As(err, &refusal):
		return configEnd{kind: refusal.Kind, generation: refusal.Generation}
	}
	return configEnd{kind: "unknown"}
}

func (r *configRun) add(place int, change configChange, end configEnd, call, returned int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if end.kind == "unknown" {
		returned = openEnd
	}
	if end.kind == accepted {
		r.highest = max(r.highest, end.generation)
	}
	r.history = append(r.history, porcupine.Operation{ClientId: place, Input: change, Output: end, Call: call, Return: returned})
}

// watchNeverReverts looks at a member's generation until stop is closed.
func (f *fleet) watchNeverReverts(m *member, stop <-chan struct{}) {
	last := int64(0)
	for {
		generation := m.daemon.Record().Generation
		if generation < last {
			f.c.Errorf("generation went back from %d to %d", last, generation)
		}
		last = generation
		select {
		case <-stop:
			return
		case <-f.clock.After(1):
		}
	}
}

// TestAcceptedConfigurationNeverReverts checks concurrent operators under lost
// answers, slowness and outages: no change is lost or doubled, no member goes
// back, and in the end every member, also a new one, follows the last generation.
func TestAcceptedConfigurationNeverReverts(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := startFleet(qt.New(t), 3, 1)
			r := &configRun{f: f}
			stop := make(chan struct{})
			var others, operators sync.WaitGroup
			for _, m := range f.members {
				others.Add(1)
				go func() {
					defer others.Done()
					f.watchNeverReverts(m, stop)
				}()
			}
			others.Add(1)
			go func() {
				defer others.Done()
				f.disturb(seed, stop)
			}()
			for place := range 4 {
				operators.Add(1)
				go func() {
					defer operators.Done()
					r.operator(place, seed, 12)
				}()
			}
			operators.Wait()
			close(stop)
			others.Wait()
			r.checkEnd()
		})
	}
}

func (r *configRun) checkEnd() {
	f := r.f
	f.platform.Faults().Set(fulmarstandin.FaultTable{})
	record, err := fulmarconfig.DecodeRecord(f.platform.Store().Get(fulmarconfig.RecordKey).Value)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(record.Generation >= r.highest, qt.IsTrue)
	f.addMember(testSettings(len(f.members), f.platform.URL()))
	f.eventually("every member follows the last generation", func() bool {
		for _, m := range f.members {
			if m.daemon.Record().Generation != record.Generation {
				return false
			}
		}
		return true
	})
	r.history = append(r.history, porcupine.Operation{
		ClientId: 99, Input: configChange{final: true}, Output: configEnd{generation: record.Generation},
		Call: openEnd + 1, Return: openEnd + 2,
	})
	kinds := map[string]int{}
	for _, o := range r.history {
		kinds[o.Output.(configEnd).kind]++
	}
	f.c.Logf("endings: %v", kinds)
	f.c.Assert(kinds[accepted] > 0, qt.IsTrue)
	f.c.Assert(porcupine.CheckOperationsTimeout(configModel.ToModel(), r.history, time.Minute), qt.Equals, porcupine.Ok)
}

// TestNewMemberTakesNoCallersWithoutAConfiguration starts a member in an outage of the platform.
func TestNewMemberTakesNoCallersWithoutAConfiguration(t *testing.T) {
	f := startFleet(qt.New(t), 1, 1)
	platformDown(f)
	fresh := f.addMember(testSettings(1, f.platform.URL()))
	f.c.Assert(fresh.daemon.Entry().IsReady(), qt.IsFalse)
	r := f.send(context.Background(), ask{id: "early", method: post, member: 1})
	f.checkTruth([]reply{r})
	f.c.Assert(r.reason, qt.Equals, fulmarapi.ReasonNoConfiguration)
	f.platform.Faults().Set(fulmarstandin.FaultTable{})
	f.eventually("the new member is ready", func() bool { return fresh.daemon.Entry().IsReady() })
}

// TestMemberUnknownToTheOthersTakesNoCallers starts a member that learns the
// configuration but cannot announce itself: a move would not wait for its word.
func TestMemberUnknownToTheOthersTakesNoCallers(t *testing.T) {
	f := startFleet(qt.New(t), 1, 1)
	f.platform.Faults().Set(fulmarstandin.FaultTable{NoLeases: true})
	fresh := f.addMember(testSettings(1, f.platform.URL()))
	f.eventually("the configuration is known", func() bool { return fresh.daemon.Record().Generation == 1 })
	r := f.send(context.Background(), ask{id: "early", method: post, member: 1})
	f.checkTruth([]reply{r})
	f.c.Assert(r.reason, qt.Equals, fulmarapi.ReasonNotAnnounced)
	f.c.Assert(fresh.daemon.Entry().IsReady(), qt.IsFalse)
	f.platform.Faults().Set(fulmarstandin.FaultTable{})
	f.eventually("the member is ready", func() bool { return fresh.daemon.Entry().IsReady() })
}
