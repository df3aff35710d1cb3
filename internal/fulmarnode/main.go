package fulmarnode

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
)

// softMemoryFraction is the part of the memory limit from which the collector works harder.
const softMemoryFraction = 0.7

// gcPercent is by how much the memory in use may grow before the next collection, in percent: the limit is far
// above what a member uses, and its processor is not.
const gcPercent = 400

const megabyte = 1 << 20

// Main runs a member with the settings at path until a signal stops it.
func Main(path string, checkOnly bool) error {
	writer := NewLogWriter(os.Stdout)
	defer writer.Close()
	logger := log.NewWithOptions(writer, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter})
	settings, err := LoadSettings(path)
	if err != nil {
		logger.Error("the settings were refused", "error", err)
		return err
	}
	if checkOnly {
		return nil
	}
	setLevel(logger, settings.LogLevel)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB*megabyte) * softMemoryFraction))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reloads := newSettingsReloader(path, logger)
	defer reloads.Close()
	node, err := Start(settings, logger.With("member", settings.Member))
	if err != nil {
		logger.Error("the member could not start", "error", err)
		return err
	}
	return node.Run(ctx)
}

func setLevel(logger *log.Logger, name string) {
	level, err := log.ParseLevel(name)
	if err != nil {
		logger.Warn("the log level is unknown", "level", name)
		return
	}
	logger.SetLevel(level)
}
