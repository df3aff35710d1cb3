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

// keyEvent is one event in the history of an idempotency key.
type keyEvent struct {
	key  string
	kind keyEventKind
}

type keyEventKind int

// Kinds of events: a run, at its start in the workers' journal, and the outcome that
// a caller received, with the interval from its request to its response.
const (
	eventRan keyEventKind = iota
	eventAnswered
	eventNotRun
)

// keyModel specifies that a key runs at most once, that an answered outcome
// requires a run before it, and that a not-run outcome requires that the key has
// not run. An unknown outcome promises nothing and is not an event.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(keyEvent).key
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
		switch input.(keyEvent).kind {
		case eventRan:
			return !hasRun, true
		case eventAnswered:
			return hasRun, true
		default:
			return !hasRun, false
		}
	},
}

// keyHistory records the events of concurrent requests that share a few idempotency keys.
type keyHistory struct {
	f         *fleet
	mu        sync.Mutex
	history   []porcupine.Operation
	responses []clientResponse
}

// runCaller sends requests with random keys, faults and timeouts through random
// members; some are cancelled.
func (h *keyHistory) runCaller(index int, seed uint64, requests, keys int) {
	random := rand.New(rand.NewPCG(seed, uint64(index)))
	faults := []string{"", "", "fault=cut-after", "fault=cut-before", "fault=half", "fault=busy", "work=20"}
	for i := range requests {
		req := clientRequest{
			id: fmt.Sprintf("%d-%d", index, i), method: post, member: random.IntN(len(h.f.members)),
			key: fmt.Sprintf("key-%d", random.IntN(keys)), query: faults[random.IntN(len(faults))],
			timeout: time.Duration(50+random.IntN(400)) * time.Millisecond,
		}
		ctx, cancel := context.WithCancel(context.Background())
		if random.IntN(8) == 0 {
			cancel = cancelAfter(h.f, cancel, random.IntN(40))
		}
		call := h.f.clock.Unix()
		r := h.f.send(ctx, req)
		cancel()
		h.add(index, req, r, call, h.f.clock.Unix()+1)
	}
}

// cancelAfter cancels a request after some milliseconds, as when its caller disconnects.
func cancelAfter(f *fleet, cancel context.CancelFunc, millis int) context.CancelFunc {
	f.clock.AfterFunc(fulmarclock.Millis(millis), cancel)
	return func() {}
}

// add records the event of a response, unless its outcome is unknown.
func (h *keyHistory) add(index int, req clientRequest, r clientResponse, call, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responses = append(h.responses, r)
	event := keyEvent{key: req.key}
	switch {
	case r.outcome == fulmarapi.Answered && !r.truncated:
		event.kind = eventAnswered
	case r.outcome == fulmarapi.NotRun:
		event.kind = eventNotRun
	default:
		return
	}
	h.history = append(h.history, porcupine.Operation{ClientId: index, Input: event, Call: call, Return: end})
}

// check adds the runs in the journal and checks the whole history against keyModel.
func (h *keyHistory) check() porcupine.CheckResult {
	for i, run := range h.f.journal.Runs() {
		h.history = append(h.history, porcupine.Operation{
			ClientId: firstRunClientID + i, Input: keyEvent{key: run.Key, kind: eventRan},
			Call: run.StartUnixMillis, Return: run.StartUnixMillis + 1,
		})
	}
	return porcupine.CheckOperationsTimeout(keyModel, h.history, time.Minute)
}

// firstRunClientID separates the client IDs of the journal's events from those of the callers.
const firstRunClientID = 1000

// TestKeysRunAtMostOnceAcrossMembers checks histories of concurrent requests with
// equal keys under worker faults, lost responses and outages of the key-value service.
func TestKeysRunAtMostOnceAcrossMembers(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := startFleet(qt.New(t), 3, 3)
			h := &keyHistory{f: f}
			stop := make(chan struct{})
			var faults sync.WaitGroup
			faults.Add(1)
			go func() {
				defer faults.Done()
				f.injectPlatformFaults(seed, stop)
			}()
			var callers sync.WaitGroup
			for index := range 8 {
				callers.Add(1)
				go func() {
					defer callers.Done()
					h.runCaller(index, seed, 40, 60)
				}()
			}
			callers.Wait()
			close(stop)
			faults.Wait()
			f.eventually("no request is in flight", func() bool {
				for _, m := range f.members {
					if m.daemon.Gateway().InFlight() > 0 {
						return false
					}
				}
				return true
			})
			f.checkOutcomes(h.responses)
			f.c.Assert(h.check(), qt.Equals, porcupine.Ok)
		})
	}
}

// injectPlatformFaults switches between faults of the key-value service in seeded
// order until stop is closed: outages, lost responses and slow responses.
func (f *fleet) injectPlatformFaults(seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 99))
	defer f.platform.Faults().Set(fulmarstandin.FaultTable{})
	tables := []fulmarstandin.FaultTable{{}, {LoseResponses: 3}, {Down: true}, {DelayMillis: 20}, {}}
	for {
		f.platform.Faults().Set(tables[random.IntN(len(tables))])
		select {
		case <-stop:
			return
		case <-f.clock.After(100):
		}
	}
}

// TestKeyModelRejectsIllegalHistories checks that keyModel detects each violation.
func TestKeyModelRejectsIllegalHistories(t *testing.T) {
	cases := []struct {
		name   string
		events []keyEventKind
		legal  bool
	}{
		{"ran, then answered", []keyEventKind{eventRan, eventAnswered}, true},
		{"not-run, then ran on a retry", []keyEventKind{eventNotRun, eventRan, eventAnswered}, true},
		{"ran twice", []keyEventKind{eventRan, eventRan}, false},
		{"not-run after it ran", []keyEventKind{eventRan, eventNotRun}, false},
		{"answered without a run", []keyEventKind{eventAnswered}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var history []porcupine.Operation
			for i, kind := range tc.events {
				history = append(history, porcupine.Operation{
					ClientId: i, Input: keyEvent{key: "k", kind: kind}, Call: int64(10 * i), Return: int64(10*i + 1),
				})
			}
			qt.Assert(t, porcupine.CheckOperations(keyModel, history), qt.Equals, tc.legal)
		})
	}
}
