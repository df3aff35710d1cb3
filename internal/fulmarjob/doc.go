// Package fulmarjob holds the values that the parts of the job scheduler exchange:
// jobs as callers hand them in, the configuration, executors, and the platform's
// answers in the project's own words.
//
// Usage:
//
//	specification := fulmarjob.Specification{Payload: "…", Steps: steps}
//	if err := specification.Check(); err != nil { … }
//	task := fulmarjob.TaskID{Job: id, Occurrence: 0, Step: 1, Index: 17}
//
// Values are plain data without behaviour of their own beyond checks and sums.
package fulmarjob
