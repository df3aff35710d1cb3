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

// copyBuffer is the size of one step of a streamed answer, in bytes. An answer
// that fits into it is read whole before the caller sees its first byte.
const copyBuffer = 16 << 10

const problemType = "https://fulmardrum.invalid/problems/"

// statuses maps each reason to the status of its response; the rest are 503.
var statuses = map[fulmarapi.Reason]int{
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

// writeRefusal sends a refusal as a problem document.
func writeRefusal(rw http.ResponseWriter, refusal *fulmarapi.Refusal) {
	status, known := statuses[refusal.Reason()]
	if !known {
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
		Type: problemType + string(refusal.Reason()), Title: string(refusal.Reason()), Status: status,
		Detail: refusal.Detail(), Outcome: refusal.Outcome(), Reason: refusal.Reason(),
	})
}

// answerWriter passes a worker's answer on to the caller.
type answerWriter struct {
	rw     http.ResponseWriter
	method string
	idle   fulmarclock.Millis
	// buffer holds the first bytes of the body.
	buffer []byte
	whole  bool
}

// readStart reads the first bytes of the answer, so that a short answer is known to be whole.
func (w *answerWriter) readStart(answer *fulmardispatch.Answer) error {
	n, err := io.ReadFull(answer, w.buffer)
	w.buffer = w.buffer[:n]
	var cut *fulmardispatch.CutError
	if errors.As(err, &cut) {
		return err // its cause may be io.ErrUnexpectedEOF too
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		w.whole = true
		return nil
	}
	return err
}

// write sends the header and the whole body. After an error the caller's connection must be aborted.
func (w *answerWriter) write(answer *fulmardispatch.Answer) error {
	header := w.rw.Header()
	source := answer.Header()
	fulmardispatch.StripHeaders(source)
	for name, values := range source {
		header[name] = values
	}
	header.Set(fulmarapi.HeaderOutcome, string(fulmarapi.Answered))
	if w.whole && header.Get("Content-Length") == "" && w.allowsBody(answer.Status()) {
		header.Set("Content-Length", strconv.Itoa(len(w.buffer)))
	}
	w.rw.WriteHeader(answer.Status())
	if err := w.send(w.buffer); err != nil || w.whole {
		return err
	}
	return w.copyRest(answer)
}

func (w *answerWriter) copyRest(answer *fulmardispatch.Answer) error {
	data := w.buffer[:cap(w.buffer)]
	for {
		n, err := answer.Read(data)
		if sendErr := w.send(data[:n]); sendErr != nil {
			return sendErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		_ = http.NewResponseController(w.rw).Flush()
	}
}

func (w *answerWriter) send(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	_ = http.NewResponseController(w.rw).SetWriteDeadline(time.Now().Add(w.idle.Duration()))
	_, err := w.rw.Write(data)
	return err
}

func (w *answerWriter) allowsBody(status int) bool {
	return w.method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
