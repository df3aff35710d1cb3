// Package fulmarsoak holds a randomized soak of fulmarnoded: real members as
// processes of their own, the stand-in of their platform, callers, and faults from
// outside, all drawn from a seed.
//
// Usage:
//
//	go test ./internal/fulmarsoak                                 # the seeds of CI, some seconds each
//	go test ./internal/fulmarsoak -soak.seeds 50 -soak.first 100 -soak.length 20s -timeout 1h
//	go test ./internal/fulmarsoak -soak.seeds 1 -soak.first 17 -soak.logs DIR -v
//
// Members are killed, stopped, paused and told to reload by signals; their connections
// to the store, the API of VMs and the executors go through a loopback proxy, which
// delays, silences, cuts one way and resets them; the store is away, VMs crash, waves
// of upkeep and changes of the configuration come. Faults overlap. The soak checks
// what callers and executors see: one run of a task at a time, none after an
// acknowledged end, no refused job ever runs, every accepted job ends. At the end it
// prints how often each fault struck.
//
// A seed decides the faults and their times, not how the processes' threads take
// turns, so a seed that failed once is played several times when it is looked into.
package fulmarsoak
