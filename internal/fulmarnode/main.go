package fulmarnode

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
)

// softMemoryFraction is the fraction of the memory limit that is Go's soft limit, above
// which the garbage collector runs more often.
const softMemoryFraction = 0.7

// gcPercent is the GOGC value. It is above the default of 100 because a member uses far
// less memory than its limit, while processor time is scarce.
const gcPercent = 400

const megabyte = 1 << 20

// Main runs a member with the settings file at path until SIGINT or SIGTERM. With
// checkOnly it only checks the file.
func Main(path string, checkOnly bool) error {
	writer := NewLogWriter(os.Stdout)
	defer writer.Close()
	logger := log.NewWithOptions(writer, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter})
	reloader := newSettingsReloader(path, logger)
	defer reloader.Close()
	settings, err := LoadSettings(path)
	if err != nil {
		logger.Error("invalid settings; exiting", "error", err)
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
	node, err := Start(settings, logger.With("member", settings.Member))
	if err != nil {
		logger.Error("failed to start the member; exiting", "error", err)
		return err
	}
	return node.Run(ctx)
}

func setLevel(logger *log.Logger, name string) {
	level, err := log.ParseLevel(name)
	if err != nil {
		logger.Warn("unknown log level; it stays unchanged", "level", name)
		return
	}
	logger.SetLevel(level)
}
