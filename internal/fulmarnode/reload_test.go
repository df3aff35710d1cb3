package fulmarnode

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/frankban/quicktest"
)

// lines passes each line on.
type lines struct {
	mu  sync.Mutex
	out chan string
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out <- string(line)
	return len(line), nil
}

func hangUp(t *testing.T) {
	t.Helper()
	quicktest.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), quicktest.IsNil)
}

// A member that is told to stop may be told of new settings until it has stopped,
// and after: SIGHUP must not end it. The test would end with the process.
func TestHangUpsAreTakenUntilTheEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	quicktest.Assert(t, os.WriteFile(path, []byte(wholeSettings), 0o600), quicktest.IsNil)
	out := &lines{out: make(chan string, 10)}
	r := newReloader(path, log.New(out))
	hangUp(t)
	quicktest.Assert(t, strings.Contains(<-out.out, "read again"), quicktest.IsTrue)
	quicktest.Assert(t, os.WriteFile(path, []byte("{"), 0o600), quicktest.IsNil)
	hangUp(t)
	quicktest.Assert(t, strings.Contains(<-out.out, "refused"), quicktest.IsTrue)
	r.Close()
	hangUp(t)
}
