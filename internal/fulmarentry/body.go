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

// longPast is a deadline that ends a waiting read or write at once.
var longPast = time.Unix(1, 0)

// memory bounds the bytes of buffered bodies on a member.
type memory struct {
	most int64
	used atomic.Int64
}

func (m *memory) reserve(n int64) bool {
	if m.used.Add(n) <= m.most {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *memory) release(n int64) { m.used.Add(-n) }

// bodyReader takes callers' bodies in, small ones whole and large ones as streams.
type bodyReader struct {
	memory *memory
	// buffered bounds a body that is held whole, and most any body, in bytes.
	buffered int64
	most     int64
	// idle bounds the time between two reads of a body.
	idle fulmarclock.Millis
}

// take reads a small body whole, or prepares the streaming of a large one. The
// returned function frees what the body holds.
func (b *bodyReader) take(rw http.ResponseWriter, r *http.Request, request *fulmardispatch.Request) (release func(), refusal *fulmarapi.Refusal) {
	release = func() {}
	if r.ContentLength > b.most {
		return release, fulmarapi.NewRefusal(fulmarapi.ReasonBodyTooLarge, "the body is above the limit")
	}
	if r.Body == nil || r.Body == http.NoBody {
		return release, nil
	}
	if r.ContentLength < 0 || r.ContentLength > b.buffered {
		b.stream(rw, r, request)
		return release, nil
	}
	size := r.ContentLength
	if !b.memory.reserve(size) {
		return release, fulmarapi.NewRefusal(fulmarapi.ReasonMemoryFull, "too many bodies are held").WithRetryAfter(1)
	}
	release = func() { b.memory.release(size) }
	data := make([]byte, size)
	source := b.source(rw, r)
	if _, err := io.ReadFull(source, data); err != nil {
		return release, fulmarapi.NewRefusal(fulmarapi.ReasonBodyIncomplete, "the body ended early")
	}
	// Reaching the end lets the server notice a caller that goes away.
	_, _ = source.Read(make([]byte, 1))
	_ = http.NewResponseController(rw).SetReadDeadline(time.Time{})
	request.Buffered = data
	return release, nil
}

func (b *bodyReader) stream(rw http.ResponseWriter, r *http.Request, request *fulmardispatch.Request) {
	// The worker may answer before it has read the whole body.
	_ = http.NewResponseController(rw).EnableFullDuplex()
	request.Stream = b.source(rw, r)
	request.StopStream = func() { _ = http.NewResponseController(rw).SetReadDeadline(longPast) }
}

func (b *bodyReader) source(rw http.ResponseWriter, r *http.Request) io.Reader {
	controller := http.NewResponseController(rw)
	return &timedReader{
		reader: http.MaxBytesReader(rw, r.Body, b.most),
		extend: func() { _ = controller.SetReadDeadline(time.Now().Add(b.idle.Duration())) },
	}
}

// timedReader gives each read its own time limit.
type timedReader struct {
	reader io.Reader
	extend func()
}

// Read reads after moving the deadline on.
func (r *timedReader) Read(data []byte) (int, error) {
	r.extend()
	return r.reader.Read(data)
}

func hasEnded(ctx context.Context) bool { return ctx.Err() != nil }
