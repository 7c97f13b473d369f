// Command rig-2 holds the stand-ins of the second review's scripts and plays their cases.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1
	exitNotRun = 2 // the case couldn't run
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "runner" {
		os.Exit(runRunner(os.Args[2:]))
	}
	play, ok := cases[os.Args[1]]
	if !ok || len(os.Args) < 3 {
		os.Exit(exitNotRun)
	}
	r, err := newRig(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code := r.play(play)
	os.Exit(code)
}
