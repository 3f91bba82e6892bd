// Command third plays the cases 11 to 14 of the reviews: it starts entries of the project as
// processes of their own on loopback addresses, between stand-ins of the platform's store,
// its machines, minions and clients.
//
// # Usage
//
//	TROUBLE=1 target/third CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD. It exits with 1 if the rule
// of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it
// leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is a case. It reports whether the rule held.
type play func(g *ground, trouble bool) (held bool, err error)

var cases = map[string]struct {
	minions, entries int
	play             play
}{
	"foreign-entry": {6, 3, foreignEntry},
	"crowd":         {6, 3, crowd},
	"doubled":       {6, 3, doubled},
	"evacuated":     {6, 3, evacuated},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: third CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	g, err := newGround(record, c.minions)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer g.close()
	go endOnSignal(g)
	trouble := os.Getenv("TROUBLE") != "0"
	g.note("case %s, disruption: %v", name, trouble)
	if err := g.startEntries(c.entries); err != nil {
		g.note("the case can't run: %v", err)
		return exitNotRun
	}
	held, err := c.play(g, trouble)
	switch {
	case err != nil:
		g.note("the case can't run: %v", err)
		return exitNotRun
	case held:
		g.note("the rule held")
		return exitHeld
	}
	g.note("THE RULE WAS BROKEN")
	return exitBroken
}

// endOnSignal ends all processes if this one is ended early.
func endOnSignal(g *ground) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	g.close()
	os.Exit(exitNotRun)
}
