package fulmarnode

import (
	"errors"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// fullDisk writes the first bytes up to its capacity and then fails.
type fullDisk struct{ capacity int }

func (d *fullDisk) Write(data []byte) (int, error) {
	n := min(len(data), d.capacity)
	d.capacity -= n
	if n < len(data) {
		return n, errors.New("no space left")
	}
	return n, nil
}

// TestDroppedCountsEachLineOfFailedWrite writes more lines than the output takes. A line that
// is cut counts as dropped.
func TestDroppedCountsEachLineOfFailedWrite(t *testing.T) {
	const line = "0123456789\n"
	w := NewLogWriter(&fullDisk{capacity: 3*len(line) + 4})
	for range 5 {
		_, _ = w.Write([]byte(line))
	}
	w.Close()
	quicktest.Assert(t, w.Dropped(), quicktest.Equals, int64(2))
}

func TestDroppedCountsLinesBeyondBuffer(t *testing.T) {
	w := NewLogWriter(&fullDisk{capacity: 1 << 30})
	_, _ = w.Write([]byte(strings.Repeat("x", maxBufferedLogBytes+1)))
	w.Close()
	_, _ = w.Write([]byte("after Close"))
	quicktest.Assert(t, w.Dropped(), quicktest.Equals, int64(2))
}
