// Package fulmarquota keeps account of what each customer takes on all executors together. It is
// pure code: the caller tells it what begins and what has certainly ended.
//
// Usage:
//
//	ledger := fulmarquota.NewLedger()
//	if ledger.Fits(customer, quota, resources) {
//		ledger.Reserve(customer, resources)  // before a run may begin
//	}
//	…
//	ledger.Release(customer, resources)      // once the run has certainly ended
package fulmarquota
