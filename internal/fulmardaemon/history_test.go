package fulmardaemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// keyStep is one step in the history of a key.
type keyStep struct {
	key  string
	kind keyStepKind
}

type keyStepKind int

// Kinds of steps: the start of a run, from the workers' journal, and what a
// caller was told, from its request to its response.
const (
	stepRan keyStepKind = iota
	stepAnswered
	stepNotRun
)

// keyModel says that a key runs at most once, that an answer means that the key
// has run, and that not-run is said only while the key has not run. An unknown
// outcome claims nothing and is no step.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(keyStep).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		hasRun := state.(bool)
		switch input.(keyStep).kind {
		case stepRan:
			return !hasRun, true
		case stepAnswered:
			return hasRun, true
		default:
			return !hasRun, false
		}
	},
}

// historyRun sends repeats of a few keys through all members while faults come and go.
type historyRun struct {
	f       *fleet
	mu      sync.Mutex
	history []porcupine.Operation
	replies []reply
}

func (h *historyRun) caller(place int, seed uint64, requests, keys int) {
	random := rand.New(rand.NewPCG(seed, uint64(place)))
	faults := []string{"", "", "fault=cut-after", "fault=cut-before", "fault=half", "fault=busy", "work=20"}
	for i := range requests {
		a := ask{
			id: fmt.Sprintf("%d-%d", place, i), method: post, member: random.IntN(len(h.f.members)),
			key: fmt.Sprintf("key-%d", random.IntN(keys)), query: faults[random.IntN(len(faults))],
			timeout: time.Duration(50+random.IntN(400)) * time.Millisecond,
		}
		ctx, cancel := context.WithCancel(context.Background())
		if random.IntN(8) == 0 {
			cancel = cancelSoon(h.f, cancel, random.IntN(40))
		}
		call := h.f.clock.Unix()
		r := h.f.send(ctx, a)
		cancel()
		h.add(place, a, r, call, h.f.clock.Unix()+1)
	}
}

// cancelSoon makes the caller go away after a few milliseconds.
func cancelSoon(f *fleet, cancel context.CancelFunc, millis int) context.CancelFunc {
	f.clock.AfterFunc(fulmarclock.Millis(millis), cancel)
	return func() {}
}

func (h *historyRun) add(place int, a ask, r reply, call, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replies = append(h.replies, r)
	step := keyStep{key: a.key}
	switch {
	case r.outcome == fulmarapi.Answered && !r.cut:
		step.kind = stepAnswered
	case r.outcome == fulmarapi.NotRun:
		step.kind = stepNotRun
	default:
		return
	}
	h.history = append(h.history, porcupine.Operation{ClientId: place, Input: step, Call: call, Return: end})
}

// check adds the runs of the journal and checks the whole history.
func (h *historyRun) check() porcupine.CheckResult {
	for i, run := range h.f.journal.Runs() {
		h.history = append(h.history, porcupine.Operation{
			ClientId: firstRunClient + i, Input: keyStep{key: run.Key, kind: stepRan},
			Call: run.StartUnix, Return: run.StartUnix + 1,
		})
	}
	return porcupine.CheckOperationsTimeout(keyModel, h.history, time.Minute)
}

// firstRunClient sets the journal's steps apart from the callers'.
const firstRunClient = 1000

// TestKeysRunAtMostOnceAcrossMembers checks histories of concurrent repeats
// with worker faults, lost answers and outages of the key-value service.
func TestKeysRunAtMostOnceAcrossMembers(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := startFleet(qt.New(t), 3, 3)
			h := &historyRun{f: f}
			stop := make(chan struct{})
			var faults sync.WaitGroup
			faults.Add(1)
			go func() {
				defer faults.Done()
				f.disturb(seed, stop)
			}()
			var callers sync.WaitGroup
			for place := range 8 {
				callers.Add(1)
				go func() {
					defer callers.Done()
					h.caller(place, seed, 40, 60)
				}()
			}
			callers.Wait()
			close(stop)
			faults.Wait()
			f.eventually("nothing runs any more", func() bool {
				for _, m := range f.members {
					if m.daemon.Entry().InFlight() > 0 {
						return false
					}
				}
				return true
			})
			f.checkTruth(h.replies)
			f.c.Assert(h.check(), qt.Equals, porcupine.Ok)
		})
	}
}

// disturb brings outages and lost answers of the key-value service about, in seeded order.
func (f *fleet) disturb(seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 99))
	defer f.platform.Faults().Set(fulmarstandin.FaultTable{})
	tables := []fulmarstandin.FaultTable{{}, {LoseAnswers: 3}, {Down: true}, {SlowMillis: 20}, {}}
	for {
		f.platform.Faults().Set(tables[random.IntN(len(tables))])
		select {
		case <-stop:
			return
		case <-f.clock.After(100):
		}
	}
}

// TestKeyModelRefusesKnownFaults shows that the model catches what it is there for.
func TestKeyModelRefusesKnownFaults(t *testing.T) {
	cases := []struct {
		name  string
		steps []keyStepKind
		legal bool
	}{
		{"ran, then answered", []keyStepKind{stepRan, stepAnswered}, true},
		{"not-run, then ran for a repeat", []keyStepKind{stepNotRun, stepRan, stepAnswered}, true},
		{"ran twice", []keyStepKind{stepRan, stepRan}, false},
		{"not-run after it ran", []keyStepKind{stepRan, stepNotRun}, false},
		{"answered without a run", []keyStepKind{stepAnswered}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var history []porcupine.Operation
			for i, kind := range tc.steps {
				history = append(history, porcupine.Operation{
					ClientId: i, Input: keyStep{key: "k", kind: kind}, Call: int64(10 * i), Return: int64(10*i + 1),
				})
			}
			qt.Assert(t, porcupine.CheckOperations(keyModel, history), qt.Equals, tc.legal)
		})
	}
}
