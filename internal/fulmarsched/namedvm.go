package fulmarsched

import "slices"

// hasKnownVM reports whether entries of the present incarnation have named a VM, all the same one.
func (e *executor) hasKnownVM() bool { return len(e.namedVMs) == 1 }

// knownVM returns the VM of the executor, empty if it is not known.
func (e *executor) knownVM() string {
	if !e.hasKnownVM() {
		return ""
	}
	return e.info.VM
}

// noteVM records the VM that an entry of the present incarnation, or the journal, has named, if any.
func (e *executor) noteVM(vm string) {
	if vm != "" && !slices.Contains(e.namedVMs, vm) {
		e.namedVMs = append(e.namedVMs, vm)
	}
}

// mayBeOn reports whether the executor may be on a VM: a command for the VM would end what runs there.
func (e *executor) mayBeOn(vm string) bool {
	return e.info.VM == vm || slices.Contains(e.namedVMs, vm)
}
