// Command standin-3 plays the cases of the third review that can't be put as a day. It starts members of
// fulmarnoded as processes, and the platform's store, its VM API, executors and clients as stand-ins on
// loopback addresses. It records what was sent, answered and run, and checks one rule.
//
// Usage:
//
//	standin-3 CASE --program target/fulmarnoded --record review/N/record.txt [--trouble=false]
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main
