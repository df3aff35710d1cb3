package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with the events of a case, each with its time in milliseconds since the start.
type record struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// now returns the milliseconds since the start of the case.
func (r *record) now() int64 { return time.Since(r.start).Milliseconds() }

// logf adds one event.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%7d %s\n", r.now(), fmt.Sprintf(format, args...))
}

// printf adds one event and prints it.
func (r *record) printf(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.logf(format, args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
