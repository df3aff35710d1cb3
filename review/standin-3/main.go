package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// options are the command line of a case.
type options struct {
	program   string
	directory string
	trouble   bool
	length    time.Duration
}

// verdict is the result of a case.
type verdict struct {
	// broken is empty if the rule held.
	broken []string
	// failure is why the case could not run.
	failure error
}

// cases are the cases by their names.
var cases = map[string]func(o options, r *record) verdict{
	"drain-resend":  playDrainResend,
	"moved-to-lost": playMovedToLost,
	"late-start":    playLateStart,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE [flags]")
		return exitNotRun
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	program := flags.String("program", "target/fulmarnoded", "the member's program")
	path := flags.String("record", "record.txt", "the file with the events")
	trouble := flags.Bool("trouble", true, "whether to play the disruption")
	length := flags.Duration("length", 90*time.Second, "how long the case runs at most")
	keep := flags.String("logs", "", "directory for the members' logs; a temporary one by default")
	if err := flags.Parse(os.Args[2:]); err != nil {
		return exitNotRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	directory := *keep
	if directory == "" {
		if directory, err = os.MkdirTemp("", "standin-3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer os.RemoveAll(directory)
	}
	v := cases[os.Args[1]](options{*program, directory, *trouble, *length}, r)
	switch {
	case v.failure != nil:
		r.printf("the case could not run: %v", v.failure)
		return exitNotRun
	case len(v.broken) > 0:
		for _, b := range v.broken {
			r.printf("broken: %s", b)
		}
		return exitBroken
	}
	r.printf("held")
	return exitHeld
}

// notReadyError means that the members did not accept jobs.
type notReadyError struct{}

func (notReadyError) Error() string { return "no job was accepted at the start" }

// fleetOf starts the platform and three members, and waits until they accept jobs.
func fleetOf(o options, r *record, p *platform, queues []queue, services []string) ([]*member, *clients, error) {
	p.configure(1, queues, services)
	var members []*member
	for i := range 3 {
		m, err := startMember(o.program, o.directory, fmt.Sprintf("member-%d", i+1), p)
		if err != nil {
			return members, nil, err
		}
		members = append(members, m)
	}
	c := newClients(r, members)
	if !c.waitForService(queues[0]) {
		return members, c, notReadyError{}
	}
	return members, c, nil
}

func stopAll(members []*member) {
	for _, m := range members {
		m.stop()
	}
}
