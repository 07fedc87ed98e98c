// Command faultrig plays the cases of the second review against real gateway processes on loopback.
//
// It holds the stand-ins of a case: the platform's store, the backend servers, the platform that starts the processes,
// and the clients. It starts the daemon of the deploy file with the settings of a small deployment.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notToRun = 2
)

// caseLimit is the most that a case may take.
const caseLimit = 110 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: faultrig CASE DAEMON RECORD")
		os.Exit(notToRun)
	}
	play, ok := map[string]func(*rig) (bool, error){"answers": playAnswers, "failures": playFailures, "tokens": playTokens}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(notToRun)
	}
	r, err := newRig(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notToRun)
	}
	giveUp := func(why string) {
		r.note("%s", why)
		r.close()
		os.Exit(notToRun)
	}
	time.AfterFunc(caseLimit, func() { giveUp("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { giveUp("ended by " + (<-signals).String()) }()
	isBroken, err := play(r)
	r.close()
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		os.Exit(notToRun)
	case isBroken:
		r.note("RESULT: the rule was broken")
		os.Exit(broken)
	default:
		r.note("RESULT: the rule held")
		os.Exit(held)
	}
}
