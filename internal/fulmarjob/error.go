package fulmarjob

import (
	"fmt"
	"strings"
)

// maxQuotedBytes bounds the part of an error's text that may quote a value of the platform, which may
// have megabytes of any bytes. Errors are logged and sent to other members.
const maxQuotedBytes = 512

// quote returns the beginning of a text as valid UTF-8.
func quote(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxQuotedBytes)], "\uFFFD")
}

// NotExecutedError means that the platform refused a call without executing it; a retry may succeed.
type NotExecutedError struct {
	Call   string
	Status int
}

// Error returns the call and the HTTP status.
func (e *NotExecutedError) Error() string {
	return fmt.Sprintf("%s: refused without being executed, status %d", e.Call, e.Status)
}

// UnknownOutcomeError means that a call got no response: it may have been executed, or may still be executed later.
type UnknownOutcomeError struct {
	Call  string
	Cause error
}

// Error returns the call and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s: outcome unknown: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// RejectedError means that the platform rejected a call without executing it; a retry can't succeed.
type RejectedError struct {
	Call   string
	Status int
	Reason string
}

// Error returns the call, the HTTP status and the beginning of the platform's reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s: rejected, status %d %s", quote(e.Call), e.Status, quote(e.Reason))
}

// CompactedError means that the store has compacted the history that a watch requested.
type CompactedError struct{ Call string }

// Error returns the call.
func (e *CompactedError) Error() string { return e.Call + ": the requested history has been compacted" }

// FormatError means that a value could not be decoded or encoded.
type FormatError struct {
	What  string
	Cause error
}

// Error returns what was malformed and the beginning of why.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s is malformed: %s", quote(e.What), quote(fmt.Sprint(e.Cause)))
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }
