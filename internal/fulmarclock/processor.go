package fulmarclock

import "syscall"

// ProcessorTime returns the processor time that the process has used so far, in user and kernel mode.
// It returns zero if the system doesn't tell.
func ProcessorTime() Millis {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return Millis((usage.Utime.Nano() + usage.Stime.Nano()) / 1_000_000)
}
