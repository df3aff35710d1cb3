package fulmarentry

import (
	"context"
	"io"
	"net/http"
	"sync"
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
// unknown length is streamed. It refuses the request when ctx ends before a small body
// is complete. The caller must call release, which returns the buffered bytes to the
// budget, also after a refusal.
func (b *bodyReader) read(ctx context.Context, rw http.ResponseWriter, r *http.Request, request *fulmardispatch.Request) (release func(), refusal *fulmarapi.Refusal) {
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
	if refusal := b.readBuffered(ctx, b.limitedBody(rw, r), data); refusal != nil {
		return release, refusal
	}
	request.BufferedBody = data
	return release, nil
}

// readBuffered fills data with a whole body.
func (b *bodyReader) readBuffered(ctx context.Context, source *deadlineReader, data []byte) *fulmarapi.Refusal {
	stopWatch := context.AfterFunc(ctx, source.interrupt)
	defer stopWatch()
	_, err := io.ReadFull(source, data)
	switch {
	case err != nil && isDone(ctx):
		return contextRefusal(ctx)
	case err != nil:
		return fulmarapi.NewRefusal(fulmarapi.ReasonBodyIncomplete, "the request body ended before its Content-Length")
	}
	// net/http detects a closed connection only after the body was read up to EOF.
	_, _ = source.Read(make([]byte, 1))
	source.finish()
	return nil
}

// setStream makes request stream its body from the caller.
func (b *bodyReader) setStream(rw http.ResponseWriter, r *http.Request, request *fulmardispatch.Request) {
	// The worker may respond before it has read the whole body.
	_ = http.NewResponseController(rw).EnableFullDuplex()
	source := b.limitedBody(rw, r)
	request.BodyStream = source
	request.StopBodyStream = source.interrupt
}

// limitedBody returns the body of r with the size limit and the read timeout applied.
func (b *bodyReader) limitedBody(rw http.ResponseWriter, r *http.Request) *deadlineReader {
	return &deadlineReader{
		reader: http.MaxBytesReader(rw, r.Body, b.maxBytes), readTimeout: b.readTimeout,
		setDeadline: http.NewResponseController(rw).SetReadDeadline,
	}
}

// deadlineReader extends the connection's read deadline before each read.
type deadlineReader struct {
	reader      io.Reader
	readTimeout fulmarclock.Millis
	setDeadline func(deadline time.Time) error

	mu sync.Mutex
	// ended means that the deadline is not changed any more.
	ended bool
}

// Read extends the deadline and reads.
func (r *deadlineReader) Read(data []byte) (int, error) {
	r.changeDeadline(time.Now().Add(r.readTimeout.Duration()), false)
	return r.reader.Read(data)
}

// interrupt ends a blocked read and lets every further one fail.
func (r *deadlineReader) interrupt() { r.changeDeadline(expiredDeadline, true) }

// finish removes the deadline, after which interrupt does nothing.
func (r *deadlineReader) finish() { r.changeDeadline(time.Time{}, true) }

// changeDeadline sets the deadline unless a last one was set.
func (r *deadlineReader) changeDeadline(deadline time.Time, last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = last
	_ = r.setDeadline(deadline)
}

func isDone(ctx context.Context) bool { return ctx.Err() != nil }
