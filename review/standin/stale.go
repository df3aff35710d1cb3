package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["one-stale-order"] = runStaleOrder }

// Figures of the case: when the owner is cut off after the first upkeep has begun, and for how long.
const (
	cutDelay  = 100 * time.Millisecond
	cutLength = 5200 * time.Millisecond
)

// runStaleOrder requests two waves with the same machine. While it is down for the first one, the owner
// is cut off from the platform, and another member takes over.
func runStaleOrder(w *world) ([]string, error) {
	const host, prefix = "pule25.example", "/puxa400/"
	w.useLinks = true
	w.configure([]route{{host: host, prefix: prefix, service: "invoices", slack: 4}}, []string{"invoices"}, "")
	for i := range 4 {
		if _, err := w.fleet.add(fmt.Sprintf("m-%d", i+1), "invoices", "r1-1"); err != nil {
			return nil, err
		}
	}
	if err := w.startMembers(3, host, prefix); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	owner := w.owner()
	w.requestWave(1, "m-1")
	w.requestWave(2, "m-1")
	if !waitFor(10*time.Second, func() bool { return len(w.fleet.ordersSoFar()) > 0 }) {
		return nil, fmt.Errorf("no upkeep was ordered")
	}
	time.Sleep(cutDelay)
	if w.trouble {
		w.cutOff(owner, cutLength)
	}
	isDone := func() bool {
		return string(w.store.value("status/wave/1")) == completedWave && string(w.store.value("status/wave/2")) == completedWave
	}
	if !waitFor(30*time.Second, isDone) {
		return nil, fmt.Errorf("the waves were not completed")
	}
	w.log("both waves are completed")
	time.Sleep(cutLength)
	return findLowerTokens(w), nil
}

// completedWave is the state of a wave that is completed.
const completedWave = `{"state":"completed"}`

// requestWave requests the upkeep of a machine.
func (w *world) requestWave(number int, machine string) {
	value, err := json.Marshal(map[string]any{"wave": number, "machines": []string{machine}, "duration_s": 20, "upper_limit": 1})
	if err != nil {
		panic(err) // unreachable: a wave always encodes
	}
	w.fleet.addWave(number, machine)
	w.store.put(fmt.Sprintf("op/wave/%d", number), value)
	w.log("operator requests wave %d: %s", number, machine)
}

// findLowerTokens returns the violations of ONE where fences aren't checked: an order for a machine with
// a lower token after one with a higher token, or two holders with one token.
func findLowerTokens(w *world) []string {
	var violations []string
	highest := map[string]order{}
	for _, o := range w.fleet.ordersSoFar() {
		last, found := highest[o.Machine]
		if found && o.Token < last.Token {
			violations = append(violations, fmt.Sprintf("ONE: at %d ms %s orders %s of %s with token %d, after %s did with token %d at %d ms",
				o.At, o.Holder, o.Call, o.Machine, o.Token, last.Holder, last.Token, last.At))
		}
		if found && o.Token == last.Token && o.Holder != last.Holder {
			violations = append(violations, fmt.Sprintf("ONE: %s and %s order with token %d", o.Holder, last.Holder, o.Token))
		}
		if !found || o.Token >= last.Token {
			highest[o.Machine] = o
		}
	}
	return violations
}
