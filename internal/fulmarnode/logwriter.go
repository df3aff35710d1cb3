package fulmarnode

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// maxBufferedLogBytes bounds the buffered lines of a LogWriter.
const maxBufferedLogBytes = 1 << 20

// LogWriter buffers log lines and writes them in the background, so that a blocked
// output never blocks the process. Lines that do not fit the buffer are dropped and counted.
type LogWriter struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	buffer []byte
	closed bool
	ready  chan struct{}
	done   chan struct{}
}

// NewLogWriter returns a writer to out. Close stops its goroutine.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, ready: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it when the buffer is full or closed. It never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buffer)+len(line) > maxBufferedLogBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	select {
	case w.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and waits until that is done.
func (w *LogWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	close(w.ready)
	<-w.done
}

func (w *LogWriter) run() {
	defer close(w.done)
	for range w.ready {
		w.flush()
	}
	w.flush()
}

func (w *LogWriter) flush() {
	w.mu.Lock()
	lines := w.buffer
	w.buffer = nil
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if n, err := w.out.Write(lines); err != nil {
		w.dropped.Add(int64(bytes.Count(lines[n:], []byte("\n"))))
	}
}
