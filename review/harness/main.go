// Command harness runs one scripted case of the review: it starts entries of almondcove as
// processes of their own, plays the platform's store, its machines and the VMs in this
// process, and checks a rule by what those stand-ins and the callers see.
//
// # Usage
//
//	harness -case ends -entry target/almondcove -record review/1/record.txt
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit bounds a case.
const timeLimit = 110 * time.Second

// scenario plays one case. It returns the violations of the rule that were seen.
type scenario func(ctx context.Context, c *cluster, trouble bool) ([]string, error)

// setup is a case: what it runs on, and what happens.
type setup struct {
	config clusterConfig
	play   scenario
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("entry", "target/almondcove", "program of an entry")
	recordFile := flag.String("record", "record.txt", "file for the record")
	logs := flag.String("logs", "", "directory that keeps the logs of the entries; empty: they are deleted")
	flag.Parse()
	chosen, ok := cases()[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "harness: no such case:", *name)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	rec, err := newRecorder(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %t", *name, trouble)
	c, err := startCluster(ctx, chosen.config, *binary, *logs, rec)
	if err != nil {
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	violations, err := chosen.play(ctx, c, trouble)
	c.stop()
	if err != nil {
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	for _, v := range violations {
		rec.add("BROKEN %s", v)
	}
	if len(violations) > 0 {
		fmt.Printf("%s: rule broken, %d times; the first: %s\n", *name, len(violations), violations[0])
		return exitBroken
	}
	rec.add("rule held")
	fmt.Printf("%s: rule held\n", *name)
	return exitHeld
}
