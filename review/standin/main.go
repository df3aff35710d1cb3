package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that does not end by itself.
const caseTimeout = 110 * time.Second

// cases are the cases by name. Each returns the violations of its rule.
var cases = map[string]func(*world) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case, writes its record and returns its exit code.
func runCase(name, directory string) int {
	w, err := newWorld(filepath.Join(directory, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	timer := time.AfterFunc(caseTimeout, func() { w.abort("the case did not end in time") })
	defer timer.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { w.abort("the case was ended by signal " + (<-signals).String()) }()
	violations, err := cases[name](w)
	if err != nil {
		w.log("the case could not run: %v", err)
		fmt.Println(name, "could not run:", err)
		return exitNotRun
	}
	if len(violations) == 0 {
		w.log("RESULT the rule held")
		fmt.Println(name, "the rule held")
		return exitHeld
	}
	for _, v := range violations[:min(len(violations), 20)] {
		w.log("VIOLATION %s", v)
	}
	w.log("RESULT the rule was broken %d times", len(violations))
	fmt.Println(name, "the rule was broken", len(violations), "times; the first:", violations[0])
	return exitBroken
}

// abort ends a case, with all processes that it started.
func (w *world) abort(reason string) {
	w.log("%s", reason)
	w.close()
	os.Exit(exitNotRun)
}
