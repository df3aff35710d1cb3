// Command fulmardrumd is the daemon that runs on every entry VM and sends callers' requests to workers.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardaemon"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
)

func main() {
	// The settings need a restart; by default SIGHUP would end the process without a shutdown.
	signal.Ignore(syscall.SIGHUP)
	app := kingpin.New("fulmardrumd", "Sends callers' requests to workers and assigns the fleet's VMs to pools.")
	path := app.Flag("settings", "Settings file, JSON with comments.").Short('s').Required().String()
	check := app.Flag("check", "Validate the settings file and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	settings, err := fulmarsettings.LoadDaemon(*path)
	if err != nil {
		logger.Fatal("invalid settings; exiting", "error", err)
	}
	if *check {
		return
	}
	if level, err := log.ParseLevel(settings.LogLevel); err == nil {
		logger.SetLevel(level)
	}
	debug.SetMemoryLimit(settings.Limits.MemoryBytes)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	daemon, err := fulmardaemon.Start(settings, fulmarclock.NewSystem(), logger)
	if err != nil {
		logger.Fatal("failed to start the member; exiting", "error", err)
	}
	if err := daemon.Run(ctx); err != nil {
		logger.Fatal("member failed; exiting", "error", err)
	}
}
