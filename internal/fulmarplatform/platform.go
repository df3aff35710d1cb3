// Package fulmarplatform adapts the platform's services: the key-value
// service, the VM list and the control of VMs.
//
// Usage:
//
//	client := fulmarplatform.NewClient("http://10.0.0.9:7000", 2000, calls)
//	entry, err := client.Get(ctx, "fleet/config")
//	revision, err := client.CompareAndSwap(ctx, "fleet/config", entry.Revision, value, "")
//
// A write ends in one of three ways: committed (no error), *ConflictError, or
// *UnknownError when the answer was lost and the write may have taken effect.
// *UnavailableError means the call took no effect.
package fulmarplatform

import "fmt"

// Revision orders the writes of the key-value service; zero means the key is absent.
type Revision int64

// LeaseID names a lease; the empty string means none.
type LeaseID string

// Entry is one key with its value.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Deleted  bool     `json:"deleted,omitempty"`
}

// Changes is what a watch saw.
type Changes struct {
	// Revision is the point up to which Entries is complete.
	Revision Revision `json:"revision"`
	// Entries are the keys under the prefix that changed, each with its last value.
	Entries []Entry `json:"entries"`
}

// VMState is the platform's word on a VM.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's VM list.
type VM struct {
	ID         string  `json:"id"`
	Address    string  `json:"address"`
	Region     string  `json:"region"`
	DataCentre string  `json:"data_centre"`
	Rack       string  `json:"rack"`
	Slots      int     `json:"slots"`
	State      VMState `json:"state"`
	// Boots counts the VM's boots.
	Boots int64 `json:"boots"`
}

// VMList is the platform's list at one version.
type VMList struct {
	Version int64 `json:"version"`
	VMs     []VM  `json:"vms"`
}

// ConflictError says that the key was not at the expected revision. Nothing was written.
type ConflictError struct {
	Key     string
	Current Revision
}

// Error names the key and its revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at revision %d, not at the expected one", e.Key, e.Current)
}

// UnknownError says that a write's answer was lost: it may have taken effect.
type UnknownError struct {
	Key   string
	Cause error
}

// Error names the key and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("write of key %q has an unknown result: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// UnavailableError says that the service did not carry out the call.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error names the call and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform call %s was not carried out: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// LeaseLostError says that a lease has ended.
type LeaseLostError struct {
	Lease LeaseID
}

// Error names the lease.
func (e *LeaseLostError) Error() string { return fmt.Sprintf("lease %q has ended", e.Lease) }

// StatusError is an answer of the platform that fits no other error.
type StatusError struct {
	Status int
	Body   string
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform answered with status %d: %s", e.Status, e.Body)
}
