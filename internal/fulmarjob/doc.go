// Package fulmarjob holds the value types that the packages of the job scheduler
// share: job specifications, the configuration, executors and their reports, and
// the errors of calls to the platform.
//
// Usage:
//
//	specification := fulmarjob.Specification{Payload: "…", Steps: steps}
//	if err := specification.Validate(); err != nil { … }
//	task := fulmarjob.TaskID{Job: id, Occurrence: 0, Step: 1, Index: 17}
//
// The types are plain data; their methods only validate, compare, add and look up.
package fulmarjob
