// Package fulmarspeculate decides which running tasks get a copy: a second run on another executor,
// beside a run that takes far longer than comparable ones. It addresses load in which a few runs in a
// hundred take several times as long as the others, so that the jobs they belong to are late although
// capacity is free.
//
// The decision has no state, clock or randomness. The caller describes the runs that may have a copy,
// and starts the copies that are chosen.
//
// Usage:
//
//	load := fulmarspeculate.Load{Running: 240, Copies: 3, IsWaiting: false}
//	for _, i := range fulmarspeculate.Choose(load, runs) {
//		…start a copy of runs[i]…
//	}
package fulmarspeculate
