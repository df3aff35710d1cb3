// Package fulmarowner lets one member at a time own the scheduler: it claims the
// ownership in the store, restores the journal, and runs the decisions of
// fulmarsched against the executors until the claim is lost or the member stops.
//
// Usage:
//
//	candidate := fulmarowner.NewCandidate(options)
//	candidate.Run(ctx)                          // claims whenever nobody owns the scheduler
//	reply := candidate.Ask(ctx, question)       // while this member is the owner
//
// One goroutine holds the scheduler. Calls to the platform run beside it and
// report their answers as events through a bounded ring.
package fulmarowner
