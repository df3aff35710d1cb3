// Package fulmarshare divides a capacity fairly among customers by weighted max-min fairness: no
// customer gets more than it demands, what small demands leave goes to the others in proportion to
// their weights, and nothing is left over while a demand is unmet. The package is pure code without
// state between divisions.
//
// Usage:
//
//	shares := fulmarshare.Divide(1, []fulmarshare.Demand{{Weight: 190, Amount: 0.9}, {Weight: 6, Amount: 0.2}})
//
// A Division does this for customers that hold and want CPU and memory, and tells which of their
// jobs are beyond their share:
//
//	account := fulmarshare.NewAccount("customer", weight)
//	division := fulmarshare.NewDivision()
//	division.Open(account)
//	account.AddJob(heldByJob, wantedByJob) // for each job
//	if division.Divide(capacity) {
//		// For each job of the customer in its order:
//		standing := account.Take(heldByJob, wantedByJob)
//	}
package fulmarshare
