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
func (e *AttemptError) Error() string {
	if e.Cause == nil {
		return "attempt ended as " + e.Result.String()
	}
	return "attempt ended as " + e.Result.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

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
func (r *Response) Status() int { return r.response.StatusCode }

// Header returns the response header.
func (r *Response) Header() http.Header { return r.response.Header }

// Length returns the body's declared length in bytes, or -1 if there is none.
func (r *Response) Length() int64 { return r.response.ContentLength }

// Read reads the body. If the body ends early, Read returns a *TruncatedError and never io.EOF.
func (r *Response) Read(data []byte) (int, error) {
	n, err := r.response.Body.Read(data)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.bodyEnded = true
		return n, io.EOF
	default:
		r.bodyFailed = true
		return n, &TruncatedError{Cause: err}
	}
}

// Result returns ResultFailed for a 5xx status or a body that could not be read, and ResultSucceeded otherwise.
func (r *Response) Result() Result {
	if r.bodyFailed || r.Status() >= http.StatusInternalServerError {
		return ResultFailed
	}
	return ResultSucceeded
}

// Close returns the connection to the pool if the body was read to its end, and closes it otherwise.
func (r *Response) Close() {
	r.closeOnce.Do(func() { r.exchange.end(r.bodyEnded && !r.response.Close) })
}
