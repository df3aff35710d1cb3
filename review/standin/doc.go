// Command standin runs the cases of the review that need real processes. It starts the members from
// the command of the deploy file, on loopback addresses, and simulates what they speak to: the
// platform's store, its list of machines, the executors, and the clients.
//
// Usage:
//
//	standin CASE DIRECTORY
//
// It writes record.txt to DIRECTORY and exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 in the environment the case runs without its disruption.
package main
