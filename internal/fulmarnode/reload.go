package fulmarnode

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
)

// settingsReloader reloads the settings file on SIGHUP and applies its log level; other
// settings need a restart. It runs as long as the process, because an unhandled SIGHUP
// would kill a member that is starting or shutting down.
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

// Close ignores SIGHUP from now on and waits for a reload in progress.
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
		r.logger.Error("reload refused: invalid settings; keeping the old ones", "error", err)
		return
	}
	setLevel(r.logger, settings.LogLevel)
	r.logger.Info("settings reloaded", "log_level", settings.LogLevel)
}
