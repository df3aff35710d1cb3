package fulmardispatch

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// AttemptError is the error of an attempt that got no usable response.
type AttemptError struct {
	// Result is the attempt's result for the worker's health.
	Result Result
	// MayHaveRun reports whether bytes of the request may have reached the worker.
	MayHaveRun bool
	// Reason is the reason code sent to the caller if there is no further attempt.
	Reason fulmarapi.Reason
	// Cause is the underlying error, or nil.
	Cause error
}

// Error returns the attempt's result and its cause.
func (f *AttemptError) Error() string {
	if f.Cause == nil {
		return "attempt ended as " + f.Result.String()
	}
	return "attempt ended as " + f.Result.String() + ": " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *AttemptError) Unwrap() error { return f.Cause }

// TruncatedError reports that a response body ended before its declared length or last chunk.
type TruncatedError struct {
	Cause error
}

// Error describes the fault and its cause.
func (e *TruncatedError) Error() string { return "response body ended early: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// TooManyInformationalError reports that a worker sent too many 1xx responses before a final one.
type TooManyInformationalError struct{}

// Error describes the fault.
func (*TooManyInformationalError) Error() string { return "too many 1xx responses from the worker" }

// Response is a worker's response. Its header has been received; its body is read from the connection.
type Response struct {
	response   *http.Response
	exchange   *exchange
	closeOnce  sync.Once
	bodyFailed bool
	bodyEnded  bool
}

// Status returns the status code.
func (a *Response) Status() int { return a.response.StatusCode }

// Header returns the response header.
func (a *Response) Header() http.Header { return a.response.Header }

// Length returns the body's declared length in bytes, or -1 if there is none.
func (a *Response) Length() int64 { return a.response.ContentLength }

// Read reads the body. If the body ends early, Read returns a *CutError and never io.EOF.
func (a *Response) Read(data []byte) (int, error) {
	n, err := a.response.Body.Read(data)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.bodyEnded = true
		return n, io.EOF
	default:
		a.bodyFailed = true
		return n, &TruncatedError{Cause: err}
	}
}

// Result returns ResultFailed for a 5xx status or a body that could not be read, and ResultSucceeded otherwise.
func (a *Response) Result() Result {
	if a.bodyFailed || a.Status() >= http.StatusInternalServerError {
		return ResultFailed
	}
	return ResultSucceeded
}

// Close returns the connection to the pool if the body was read to its end, and closes it otherwise.
func (a *Response) Close() {
	a.closeOnce.Do(func() { a.exchange.end(a.bodyEnded && !a.response.Close) })
}
