// Package main plays the cases of the second review: it starts the entries as processes of
// their own on loopback addresses, with stand-ins of the platform, of the minions and of the
// clients, and checks one rule by what these have seen.
//
// # Usage
//
//	target/review-second CASE RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*world) verdict{
	"quota": quota, "twice": twice, "crashes": crashes, "route": droppedRoute, "suspended": suspended, "hopeless": hopeless, "cancelled": cancelled, "upkeep": upkeep, "waiting": waiting, "policy": policy,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: review-second CASE RECORD")
		return 2
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(rec)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	defer func() {
		if failure, ok := recover().(couldNotRun); ok {
			rec.printf("the case could not run: %v", failure.cause)
			code = 2
		}
	}()
	v := cases[os.Args[1]](w)
	rec.printf("%s", v.text)
	_, _ = fmt.Println(v.text)
	if v.broken {
		return 1
	}
	return 0
}
