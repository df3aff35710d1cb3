package fulmardispatch

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// Failure is the typed error of an attempt without an answer.
type Failure struct {
	// Result is what the attempt says about the worker.
	Result Result
	// MayHaveRun tells whether bytes of the request may have reached the worker.
	MayHaveRun bool
	// Reason is what a caller is told when the attempt is the last one.
	Reason fulmarapi.Reason
	// Cause is the error below, if there is one.
	Cause error
}

// Error returns the result and the cause.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return "attempt " + f.Result.String()
	}
	return "attempt " + f.Result.String() + ": " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// CutError says that an answer ended before its stated length.
type CutError struct {
	Cause error
}

// Error returns the cause.
func (e *CutError) Error() string { return "the worker's answer was cut: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

// TooManyInformationalError says that a worker sent too many 1xx answers before a final one.
type TooManyInformationalError struct{}

// Error describes the fault.
func (*TooManyInformationalError) Error() string { return "too many 1xx responses from the worker" }

// Answer is a worker's answer whose body may still be on its way.
type Answer struct {
	response   *http.Response
	exchange   *exchange
	closeOnce  sync.Once
	bodyFailed bool
	bodyEnded  bool
}

// Status returns the status code.
func (a *Answer) Status() int { return a.response.StatusCode }

// Header returns the worker's header.
func (a *Answer) Header() http.Header { return a.response.Header }

// Length returns the body's length in bytes, or -1 when it is not stated.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Read reads the body; a body that ends too early gives a *CutError and never io.EOF.
func (a *Answer) Read(data []byte) (int, error) {
	n, err := a.response.Body.Read(data)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.bodyEnded = true
		return n, io.EOF
	default:
		a.bodyFailed = true
		return n, &CutError{Cause: err}
	}
}

// Result tells what the answer says about the worker.
func (a *Answer) Result() Result {
	if a.bodyFailed || a.Status() >= http.StatusInternalServerError {
		return ResultFailed
	}
	return ResultSucceeded
}

// Close returns the connection for reuse if the body was read to its end, and drops it otherwise.
func (a *Answer) Close() {
	a.closeOnce.Do(func() { a.exchange.end(a.bodyEnded && !a.response.Close) })
}
