// Command cases plays the cases of the review: it starts entry VMs as processes,
// and runs the store, the instances and the clients as stand-ins.
//
//	cases CASE DIR
//
// It writes DIR/record.txt and exits with 0 if the rule held, 1 if it was broken
// and 2 if the case could not run. With TROUBLE=0 in the environment it plays the
// case without the disruption.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a run that hangs.
const maxRunTime = 110 * time.Second

// cases holds the cases by name. A case returns the violations of the rule.
var cases = map[string]func(r *run) error{
	"status-below-100": playStatusBelow100,
	"early-reject":     playEarlyReject,
	"slow-trailers":    playTrailers,
	"late-stop":        playLateStop,
}

// run is the state of one run.
type run struct {
	record  *record
	trouble bool
	dep     *deployment
}

func main() {
	os.Exit(mainCode())
}

func mainCode() int {
	// Children are killed when the thread that started them ends.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE DIR")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	r := &run{record: rec, trouble: os.Getenv("TROUBLE") != "0", dep: &deployment{record: rec}}
	defer r.dep.stop()
	time.AfterFunc(maxRunTime, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		r.dep.kill()
		rec.close()
		os.Exit(exitNotRun)
	})
	if err := cases[os.Args[1]](r); err != nil {
		rec.logf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	n := rec.violationCount()
	rec.logf("violations: %d", n)
	fmt.Printf("violations: %d\n", n)
	if n > 0 {
		return exitBroken
	}
	return exitHeld
}
