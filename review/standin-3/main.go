// Command standin-3 plays the cases of the third review against processes of the entry
// program. Its store, instances and clients follow the users' pages.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// result is how a case ended.
type result struct {
	broken  bool
	summary string
}

// cases are the cases by name. trouble is false for the run without the disruption.
var cases = map[string]func(r *record, trouble bool) (result, error){
	"cold":     cold,
	"evacuate": evacuate,
	"limits":   limits,
	"pause":    pause,
	"seeds":    seeds,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(2)
	}
	time.AfterFunc(maxTime, func() { abort("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		abort("the case was stopped")
	}()
	r := newRecord()
	res, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not run:", err)
	}
	r.event("%s", res.summary)
	if e := r.write(os.Args[2]); e != nil {
		fmt.Println(e)
		os.Exit(2)
	}
	switch {
	case err != nil:
		os.Exit(2)
	case res.broken:
		os.Exit(1)
	}
}

// abort ends all processes and the case.
func abort(why string) {
	fmt.Println(why)
	closeFleet()
	os.Exit(2)
}
