package main

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// scenario plays a case, with its disruption if trouble is set, and returns what broke the rule.
type scenario func(d *deployment, trouble bool) ([]string, error)

var scenarios = map[string]scenario{
	"burst":       burst,
	"crash":       crash,
	"odd-entry":   oddEntry,
	"late-ack":    lateAck,
	"lost-answer": lostAnswer,
}

func main() { os.Exit(play(os.Args[1:])) }

func play(arguments []string) int {
	if len(arguments) != 3 || scenarios[arguments[0]] == nil {
		fmt.Println("usage: standin-2 SCENARIO FULMARNODED RECORD")
		return notRun
	}
	d, err := newDeployment(arguments[1], arguments[2])
	if err != nil {
		fmt.Println("not run:", err)
		return notRun
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	d.note("scenario %s, trouble %v", arguments[0], trouble)
	faults, err := scenarios[arguments[0]](d, trouble)
	if err != nil {
		d.note("not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	}
	for _, f := range faults {
		d.note("BROKEN: %s", f)
		fmt.Println("broken:", f)
	}
	if len(faults) > 0 {
		return broken
	}
	d.note("the rule held")
	fmt.Println("the rule held")
	return held
}
