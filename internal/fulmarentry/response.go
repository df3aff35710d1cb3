package fulmarentry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// copyBufferBytes is the size of the buffer that forwards a response. A body that
// fits into it is read completely before the caller gets the first byte.
const copyBufferBytes = 16 << 10

const problemTypePrefix = "https://fulmardrum.invalid/problems/"

// statusByReason holds the HTTP status of each refusal reason; the others have 503.
var statusByReason = map[fulmarapi.Reason]int{
	fulmarapi.ReasonUnknownPool:    http.StatusNotFound,
	fulmarapi.ReasonBadHeader:      http.StatusBadRequest,
	fulmarapi.ReasonBadMethod:      http.StatusMethodNotAllowed,
	fulmarapi.ReasonUnknownTeam:    http.StatusBadRequest,
	fulmarapi.ReasonBodyTooLarge:   http.StatusRequestEntityTooLarge,
	fulmarapi.ReasonBodyIncomplete: http.StatusBadRequest,
	fulmarapi.ReasonQueueFull:      http.StatusTooManyRequests,
	fulmarapi.ReasonTeamQueueFull:  http.StatusTooManyRequests,
	fulmarapi.ReasonDuplicateKey:   http.StatusConflict,
	fulmarapi.ReasonDeadlinePassed: http.StatusGatewayTimeout,
	fulmarapi.ReasonWorkerTimeout:  http.StatusGatewayTimeout,
	fulmarapi.ReasonWorkerLost:     http.StatusBadGateway,
	fulmarapi.ReasonAnswerCut:      http.StatusBadGateway,
	fulmarapi.ReasonAnswerUnframed: http.StatusBadGateway,
}

// writeRefusal sends a refusal as a problem document (RFC 9457).
func writeRefusal(rw http.ResponseWriter, refusal *fulmarapi.Refusal) {
	status, found := statusByReason[refusal.Reason()]
	if !found {
		status = http.StatusServiceUnavailable
	}
	header := rw.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(fulmarapi.HeaderOutcome, string(refusal.Outcome()))
	header.Set(fulmarapi.HeaderReason, string(refusal.Reason()))
	if refusal.RetryAfter() > 0 {
		header.Set("Retry-After", strconv.Itoa(refusal.RetryAfter()))
	}
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(fulmarapi.Problem{
		Type: problemTypePrefix + string(refusal.Reason()), Title: string(refusal.Reason()), Status: status,
		Detail: refusal.Detail(), Outcome: refusal.Outcome(), Reason: refusal.Reason(),
	})
}

// responseForwarder copies a worker's response to the caller.
type responseForwarder struct {
	rw           http.ResponseWriter
	method       string
	writeTimeout fulmarclock.Millis
	// buffer holds the first bytes of the body, and later each further chunk.
	buffer []byte
	// complete is set when buffer holds the whole body.
	complete bool
}

// prefetch fills the buffer with the start of the body. A response that breaks off
// within it can still be retried, as no byte of it has been sent to the caller.
func (f *responseForwarder) prefetch(response *fulmardispatch.Response) error {
	n, err := io.ReadFull(response, f.buffer)
	f.buffer = f.buffer[:n]
	var truncated *fulmardispatch.TruncatedError
	if errors.As(err, &truncated) {
		return err // checked first, as it may wrap io.ErrUnexpectedEOF
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		f.complete = true
		return nil
	}
	return err
}

// forward sends the header and the body. After an error the caller's connection
// must be aborted, as part of the response may have been sent.
func (f *responseForwarder) forward(response *fulmardispatch.Response) error {
	header := f.rw.Header()
	source := response.Header()
	fulmardispatch.StripHeaders(source)
	for name, values := range source {
		header[name] = values
	}
	header.Set(fulmarapi.HeaderOutcome, string(fulmarapi.Answered))
	if f.complete && header.Get("Content-Length") == "" && f.allowsBody(response.Status()) {
		header.Set("Content-Length", strconv.Itoa(len(f.buffer)))
	}
	f.rw.WriteHeader(response.Status())
	if err := f.writeChunk(f.buffer); err != nil || f.complete {
		return err
	}
	return f.copyBody(response)
}

// copyBody sends the part of the body after the prefetched one, chunk by chunk.
func (f *responseForwarder) copyBody(response *fulmardispatch.Response) error {
	data := f.buffer[:cap(f.buffer)]
	for {
		n, err := response.Read(data)
		if sendErr := f.writeChunk(data[:n]); sendErr != nil {
			return sendErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		_ = http.NewResponseController(f.rw).Flush()
	}
}

// writeChunk writes data within writeTimeout.
func (f *responseForwarder) writeChunk(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	_ = http.NewResponseController(f.rw).SetWriteDeadline(time.Now().Add(f.writeTimeout.Duration()))
	_, err := f.rw.Write(data)
	return err
}

// allowsBody reports whether a response with this status to the request's method has a body (RFC 9110, section 6.4.1).
func (f *responseForwarder) allowsBody(status int) bool {
	return f.method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
