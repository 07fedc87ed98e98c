// Command trial runs the scripted cases of the review: it starts the gateway's own program as separate
// processes on loopback addresses, with stand-ins for the platform, the servers and the clients.
//
//	trial CASE FOLDER
//
// The exit code is 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
// TROUBLE=0 leaves out the disruption. What was sent, answered and run is written to FOLDER/record.txt.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// trialCase runs one case and reports whether the rule was broken.
type trialCase func(r *rig, trouble bool) (broken bool, err error)

// cases are the cases by name.
var cases = map[string]trialCase{
	"budget": runBudget,
}

const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE FOLDER")
		return exitCouldNot
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer func() { _ = file.Close() }()
	r, err := newRig(&record{out: file, begun: time.Now()})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer r.close()
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.record.line("the case could not run: %v", err)
		return exitCouldNot
	case broken:
		r.record.line("result: the rule was broken")
		return exitBroken
	default:
		r.record.line("result: the rule held")
		return exitHeld
	}
}
