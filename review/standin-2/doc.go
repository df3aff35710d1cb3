// Command standin-2 plays the cases of the second review that can't be put as a day of the bench. It
// stands in for the platform's store, its machine API, its executors and the clients, all on loopback
// addresses, and starts members of fulmarnoded as processes.
//
// Usage:
//
//	standin-2 SCENARIO FULMARNODED RECORD
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment the scenario runs without its disruption.
package main
