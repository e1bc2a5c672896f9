// Program standin-2 holds the stand-ins and clients of the cases of the second review. It
// plays the case that its argument names, from the project's root.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the functions that play a case. Each returns what broke the rule, or an empty
// text if it held.
var cases = map[string]func(r *record, trouble bool) string{
	"breakoff": playBreakoff,
	"path":     playPath,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, path string) (code int) {
	defer func() {
		if v := recover(); v != nil {
			fmt.Println("could not run:", v)
			fmt.Println(string(debug.Stack()))
			code = exitCannotRun
		}
	}()
	f := cases[name]
	if f == nil {
		panic("no such case: " + name)
	}
	r := newRecord(path)
	if broken := f(r, os.Getenv("TROUBLE") != "0"); broken != "" {
		r.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("held")
	return exitHeld
}
