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

// lineWriter passes each line on.
type lineWriter struct {
	mu    sync.Mutex
	lines chan string
}

func (l *lineWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines <- string(line)
	return len(line), nil
}

func sendHangup(t *testing.T) {
	t.Helper()
	quicktest.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), quicktest.IsNil)
}

// A member that is told to stop may be told of new settings until it has stopped,
// and after: SIGHUP must not end it. The test would end with the process.
func TestHangupNeverEndsProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	quicktest.Assert(t, os.WriteFile(path, []byte(validSettings), 0o600), quicktest.IsNil)
	out := &lineWriter{lines: make(chan string, 10)}
	r := newSettingsReloader(path, log.New(out))
	sendHangup(t)
	quicktest.Assert(t, strings.Contains(<-out.lines, "read again"), quicktest.IsTrue)
	quicktest.Assert(t, os.WriteFile(path, []byte("{"), 0o600), quicktest.IsNil)
	sendHangup(t)
	quicktest.Assert(t, strings.Contains(<-out.lines, "refused"), quicktest.IsTrue)
	r.Close()
	sendHangup(t)
}
