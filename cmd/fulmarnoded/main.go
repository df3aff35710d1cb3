// Command fulmarnoded is the daemon that schedules jobs on the platform.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmardrum/fulmardrum/internal/fulmarnode"
	fulmaradapter "github.com/fulmardrum/fulmardrum/platform"
)

func main() {
	app := kingpin.New("fulmarnoded", "Accepts jobs from callers and runs them on the platform's executors.")
	path := app.Flag("settings", "Settings file, JSON with comments.").Short('s').Envar(fulmaradapter.SettingsVariable).Required().String()
	check := app.Flag("check", "Validate the settings file and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := fulmarnode.Main(*path, *check); err != nil {
		os.Exit(1)
	}
}
