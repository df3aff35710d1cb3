package fulmarnode

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
)

// settingsReloader reads the settings again at SIGHUP; the log level follows them. It
// lives as long as the process: without a receiver SIGHUP would end a member that
// is about to stop.
type settingsReloader struct {
	path    string
	logger  *log.Logger
	signals chan os.Signal
	done    chan struct{}
}

func newSettingsReloader(path string, logger *log.Logger) *settingsReloader {
	r := &settingsReloader{path: path, logger: logger, signals: make(chan os.Signal, 1), done: make(chan struct{})}
	signal.Notify(r.signals, syscall.SIGHUP)
	go r.run()
	return r
}

// Close waits for a reload under way. From then on SIGHUP is ignored.
func (r *settingsReloader) Close() {
	signal.Ignore(syscall.SIGHUP)
	close(r.signals)
	<-r.done
}

func (r *settingsReloader) run() {
	defer close(r.done)
	for range r.signals {
		r.reload()
	}
}

func (r *settingsReloader) reload() {
	settings, err := LoadSettings(r.path)
	if err != nil {
		r.logger.Error("the changed settings were refused, the old ones stay", "error", err)
		return
	}
	setLevel(r.logger, settings.LogLevel)
	r.logger.Info("the settings were read again", "log_level", settings.LogLevel)
}
