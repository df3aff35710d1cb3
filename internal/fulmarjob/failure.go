package fulmarjob

import "fmt"

// NotDoneError means that the platform refused a call and did nothing.
type NotDoneError struct {
	Call   string
	Status int
}

// Error names the call and the status.
func (e *NotDoneError) Error() string {
	return fmt.Sprintf("%s: not done, status %d", e.Call, e.Status)
}

// UnknownError means that a call got no answer and may have been carried out, also later.
type UnknownError struct {
	Call  string
	Cause error
}

// Error names the call and the cause.
func (e *UnknownError) Error() string { return fmt.Sprintf("%s: no answer: %v", e.Call, e.Cause) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// RejectedError means that the platform answered and did nothing, for good.
type RejectedError struct {
	Call   string
	Status int
	Reason string
}

// Error names the call, the status and the reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s: rejected, status %d %s", e.Call, e.Status, e.Reason)
}

// ForgottenError means that the store no longer has the history asked for.
type ForgottenError struct{ Call string }

// Error names the call.
func (e *ForgottenError) Error() string { return e.Call + ": the history is no longer available" }

// FormatError means that bytes from outside could not be read.
type FormatError struct {
	What  string
	Cause error
}

// Error names what could not be read and why.
func (e *FormatError) Error() string { return fmt.Sprintf("%s can't be read: %v", e.What, e.Cause) }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }
