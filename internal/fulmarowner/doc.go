// Package fulmarowner elects one member at a time as the owner of the scheduler. The
// owner holds the ownership key in the store, restores the scheduler from the journal,
// and executes the commands of fulmarsched until it loses the ownership or shuts down.
//
// Usage:
//
//	candidate := fulmarowner.NewCandidate(options)
//	candidate.Run(ctx)                     // acquires the ownership whenever nobody has it
//	response := candidate.Do(ctx, request) // while this member is the owner
//
// One goroutine runs the scheduler. Calls to the platform run concurrently and report
// their results to it as events through a bounded channel.
package fulmarowner
