package fulmarentry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// expiredDeadline, set as a read deadline, ends a blocked read at once.
var expiredDeadline = time.Unix(1, 0)

// byteBudget limits the total size of the request bodies that a member buffers.
type byteBudget struct {
	// limit and used are in bytes.
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes from the budget and reports whether they were available.
func (b *byteBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// bodyReader reads the bodies of callers' requests: it buffers small ones and streams large ones.
type bodyReader struct {
	budget *byteBudget
	// maxBuffered limits a buffered body and maxBytes any body, in bytes.
	maxBuffered int64
	maxBytes    int64
	// readTimeout limits each single read of a body.
	readTimeout fulmarclock.Millis
}

// read sets the body of request: a small body is buffered, a large one or one of
// unknown length is streamed. The caller must call release, which returns the
// buffered bytes to the budget, also after a refusal.
func (b *bodyReader) read(rw http.ResponseWriter, r *http.Request, request *fulmardispatch.Request) (release func(), refusal *fulmarapi.Refusal) {
	release = func() {}
	if r.ContentLength > b.maxBytes {
		return release, fulmarapi.NewRefusal(fulmarapi.ReasonBodyTooLarge, "the request body exceeds the size limit")
	}
	if r.Body == nil || r.Body == http.NoBody {
		return release, nil
	}
	if r.ContentLength < 0 || r.ContentLength > b.maxBuffered {
		b.setStream(rw, r, request)
		return release, nil
	}
	size := r.ContentLength
	if !b.budget.reserve(size) {
		return release, fulmarapi.NewRefusal(fulmarapi.ReasonMemoryFull, "this member buffers too many request bodies").WithRetryAfter(1)
	}
	release = func() { b.budget.release(size) }
	data := make([]byte, size)
	source := b.limitedBody(rw, r)
	if _, err := io.ReadFull(source, data); err != nil {
		return release, fulmarapi.NewRefusal(fulmarapi.ReasonBodyIncomplete, "the request body ended before its Content-Length")
	}
	// net/http detects a closed connection only after the body was read up to EOF.
	_, _ = source.Read(make([]byte, 1))
	_ = http.NewResponseController(rw).SetReadDeadline(time.Time{})
	request.BufferedBody = data
	return release, nil
}

// setStream makes request stream its body from the caller.
func (b *bodyReader) setStream(rw http.ResponseWriter, r *http.Request, request *fulmardispatch.Request) {
	// The worker may respond before it has read the whole body.
	_ = http.NewResponseController(rw).EnableFullDuplex()
	request.BodyStream = b.limitedBody(rw, r)
	request.StopBodyStream = func() { _ = http.NewResponseController(rw).SetReadDeadline(expiredDeadline) }
}

// limitedBody returns the body of r with the size limit and the read timeout applied.
func (b *bodyReader) limitedBody(rw http.ResponseWriter, r *http.Request) io.Reader {
	controller := http.NewResponseController(rw)
	return &deadlineReader{
		reader:         http.MaxBytesReader(rw, r.Body, b.maxBytes),
		extendDeadline: func() { _ = controller.SetReadDeadline(time.Now().Add(b.readTimeout.Duration())) },
	}
}

// deadlineReader extends the connection's read deadline before each read.
type deadlineReader struct {
	reader         io.Reader
	extendDeadline func()
}

// Read extends the deadline and reads.
func (r *deadlineReader) Read(data []byte) (int, error) {
	r.extendDeadline()
	return r.reader.Read(data)
}

func isDone(ctx context.Context) bool { return ctx.Err() != nil }
