// Package fulmarsoak is a randomized soak test of fulmarnoded. It runs members as separate
// processes against a simulated platform, with callers that submit jobs and with faults
// drawn from a seed.
//
// Usage:
//
//	go test ./internal/fulmarsoak                                 # the seeds of CI, some seconds each
//	go test ./internal/fulmarsoak -soak.seeds 50 -soak.first 100 -soak.length 20s -timeout 1h
//	go test ./internal/fulmarsoak -run TestPlannedSoak -soak.planned 50 -soak.length 20s -timeout 1h
//	go test ./internal/fulmarsoak -run 'TestRestartSoak|TestLateCallSoak' -soak.restarts 50 -timeout 1h
//	go test ./internal/fulmarsoak -run TestSlowSoak -soak.slow 50 -soak.length 10s -timeout 1h
//	go test ./internal/fulmarsoak -run TestRecutSoak -soak.recuts 50 -soak.length 25s -timeout 2h
//	go test ./internal/fulmarsoak -soak.seeds 1 -soak.first 17 -soak.logs DIR -v
//
// Signals kill, stop, pause and reload members. Their connections to the store, the VM API
// and the executors go through loopback proxies, which delay, blackhole or reset them, or
// drop one direction. There are also store outages, VM crashes, maintenance waves and
// configuration changes. Faults overlap. The test checks what callers and executors see: a
// task has one run at a time and none after an acknowledged completion, no refused job ever
// runs, and every accepted job completes. Jobs belong to three customers; requests with another customer's key, or with
// one of nobody, do nothing. One job in 25 has a task that crashes each executor
// that starts it: such a job is never shown as ended, and holds up no other. No start brings
// an executor over its capacity. At the end it prints how often each fault was injected.
//
// Executors also restart under the ID and address that they had, alone, several at once, in series and
// behind a cut of their links. TestRestartSoak does so most often, with short runs; TestLateCallSoak
// also lets calls to executors get no response and be executed seconds later, by whichever incarnation
// serves then.
//
// TestSlowSoak has members that are built with the race detector and run on one thread, more VMs, and executors that
// restart in 20 to 70 ms, also twice in a row. Its cuts hold the bytes of both directions back and deliver them
// when they end, unless their sender has reset the connection. No call is made late. It needs seconds for the build of
// the members.
//
// TestRecutSoak restarts most executors at one moment, so that calls of the downtime wait for the next incarnation, and
// cuts them off soon after for longer than a lease that owners grant: from the members alone, or from the store too, which
// then loses their entries. Owners are killed and paused meanwhile, and runs last for seconds.
//
// With -soak.logs, each seed also keeps all runs as the executors saw them.
//
// Each seed logs near misses: lines of the members' logs that came before violated guarantees in the past.
//
// TestPlannedSoak only stops, reloads and reconfigures members, and changes the capacity of
// executors. Its callers also hold connections open, some without a request so far, and use
// them until the member has closed them or its process has ended. A request that the member
// has read must get a complete response. The kernel resets a connection that is closed with
// unread bytes, so that the test can tell such a request from one that was not read.
//
// The seed determines the faults and their times, but not the scheduling of the processes'
// threads. To investigate a seed that failed once, run it several times.
package fulmarsoak
