// Package fulmarplatform is the client of the platform's services: the key-value
// service, the VM list, and the draining and rebooting of VMs.
//
// Usage:
//
//	client := fulmarplatform.NewClient("http://10.0.0.9:7000", 2000, calls)
//	entry, err := client.Get(ctx, "fleet/config")
//	revision, err := client.CompareAndSwap(ctx, "fleet/config", entry.Revision, value, "")
//
// A write has one of three results: committed (no error), *ConflictError, or
// *UnknownOutcomeError if the response was lost and the write may have taken effect.
// *UnavailableError means that the write had no effect. The other calls that change
// something, such as Renew and Drain, distinguish the last two in the same way.
package fulmarplatform

import (
	"encoding/json"
	"fmt"
)

// Revision is the number of a write in the key-value service and increases with each write;
// zero means that the key is absent.
type Revision int64

// LeaseID identifies a lease; the empty string means none.
type LeaseID string

// Entry is one key with its value and the revision of its last write.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Deleted  bool     `json:"deleted,omitempty"`
}

// unreadableValue replaces a value that can't be decoded. It is no JSON, unlike all stored values.
const unreadableValue = "unreadable value"

// UnmarshalJSON decodes an entry. A value that is no base64 text becomes unreadableValue, so that it
// does not hide the other entries of a response.
func (e *Entry) UnmarshalJSON(data []byte) error {
	type fields Entry
	var decoded struct {
		fields
		Value json.RawMessage `json:"value"`
	}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	*e = Entry(decoded.fields)
	if len(decoded.Value) > 0 && json.Unmarshal(decoded.Value, &e.Value) != nil {
		e.Value = []byte(unreadableValue)
	}
	return nil
}

// Changes is the response to a watch.
type Changes struct {
	// Revision is the revision up to which Entries is complete; the next watch starts after it.
	Revision Revision `json:"revision"`
	// Entries holds the changed keys under the prefix, each with its last value.
	Entries []Entry `json:"entries"`
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM. Members send a draining VM no new requests.
const (
	VMLive     VMState = "live"
	VMDraining VMState = "leaving"
)

// VM is one VM in the platform's list.
type VM struct {
	ID         string  `json:"id"`
	Address    string  `json:"address"`
	Region     string  `json:"region"`
	DataCentre string  `json:"data_centre"`
	Rack       string  `json:"rack"`
	Slots      int     `json:"slots"`
	State      VMState `json:"state"`
	// BootCount is the number of times that the VM has booted.
	BootCount int64 `json:"boots"`
}

// VMList is one version of the platform's VM list.
type VMList struct {
	Version int64 `json:"version"`
	VMs     []VM  `json:"vms"`
}

// maxSlots bounds the slots of a VM, so that the sums over a pool and products with the number of
// running requests don't overflow.
const maxSlots = 1 << 20

// isValid reports whether a row of the list describes a VM that can be used.
func (v VM) isValid() bool { return v.ID != "" && v.Slots >= 0 && v.Slots <= maxSlots }

// UnmarshalJSON decodes a list. VMs register themselves: a row that can't be decoded or is out of
// range is left out, so that it does not hide the others.
func (l *VMList) UnmarshalJSON(data []byte) error {
	var rows struct {
		Version int64             `json:"version"`
		VMs     []json.RawMessage `json:"vms"`
	}
	if err := json.Unmarshal(data, &rows); err != nil {
		return err
	}
	*l = VMList{Version: rows.Version}
	for _, row := range rows.VMs {
		var vm VM
		if json.Unmarshal(row, &vm) == nil && vm.isValid() {
			l.VMs = append(l.VMs, vm)
		}
	}
	return nil
}

// ConflictError reports that the key was not at the expected revision. Nothing was written.
type ConflictError struct {
	Key     string
	Current Revision
}

// Error returns the key and its current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at revision %d instead of the expected revision", e.Key, e.Current)
}

// UnknownOutcomeError reports that the response to a call was lost: the call may have taken
// effect. Key is set if the call was CompareAndSwap.
type UnknownOutcomeError struct {
	Operation string
	Key       string
	Cause     error
}

// Error returns the operation, the key if there is one, and the cause.
func (e *UnknownOutcomeError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("platform call %s has an unknown outcome: %v", e.Operation, e.Cause)
	}
	return fmt.Sprintf("writing key %q has an unknown outcome: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnavailableError reports that a call to the platform failed. It certainly changed nothing.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error returns the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform call %s failed: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// LeaseLostError reports that a lease has expired or was revoked.
type LeaseLostError struct {
	Lease LeaseID
}

// Error returns the lease.
func (e *LeaseLostError) Error() string { return fmt.Sprintf("lease %q has ended", e.Lease) }

// StatusError is a response of the platform with an HTTP status other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform responded with status %d: %s", e.Status, e.Body)
}
