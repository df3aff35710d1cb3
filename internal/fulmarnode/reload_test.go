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

// lineWriter sends each written line to a channel.
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

// SIGHUP must not kill a member while it shuts down, nor after the reloader is closed.
// If it did, the test process itself would die.
func TestHangupNeverEndsProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	quicktest.Assert(t, os.WriteFile(path, []byte(validSettings), 0o600), quicktest.IsNil)
	w := &lineWriter{lines: make(chan string, 10)}
	r := newSettingsReloader(path, log.New(w))
	sendHangup(t)
	quicktest.Assert(t, strings.Contains(<-w.lines, "settings reloaded"), quicktest.IsTrue)
	quicktest.Assert(t, os.WriteFile(path, []byte("{"), 0o600), quicktest.IsNil)
	sendHangup(t)
	quicktest.Assert(t, strings.Contains(<-w.lines, "reload refused: invalid settings"), quicktest.IsTrue)
	r.Close()
	sendHangup(t)
}
