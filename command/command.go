// Package command is the command line: it starts the processes and is the
// operators' shell.
//
// The exit codes are 0 for done, 1 for failed, 2 for wrong usage or settings,
// and 3 for a change that is recorded but not yet in force everywhere.
//
// # Usage
//
//	os.Exit(command.Main(os.Args[1:]))
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"almondcove/operator"
	"almondcove/settings"
)

// The exit codes.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitPending = 3
)

// usageError reports a command line that can't be carried out.
type usageError struct {
	text string
}

func (e *usageError) Error() string { return "usage: " + e.text }

// shell is what a command works with.
type shell struct {
	out io.Writer
	err io.Writer
	// interrupts is told of SIGINT and SIGTERM.
	interrupts <-chan os.Signal
}

// runner is a parsed command that can be run.
type runner func(ctx context.Context, sh *shell) error

// Main runs the command that args name and returns the exit code.
func Main(args []string) int {
	interrupts := make(chan os.Signal, 2)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	sh := &shell{out: os.Stdout, err: os.Stderr, interrupts: interrupts}
	run, err := parse(args)
	if err == nil {
		err = run(context.Background(), sh)
	}
	return sh.exit(err)
}

// exit says what went wrong and returns the exit code for it.
func (sh *shell) exit(err error) int {
	if err == nil {
		return ExitDone
	}
	if _, ok := errors.Into[*pending](err); ok {
		return ExitPending
	}
	if faults, ok := errors.Into[*settings.Faults](err); ok {
		for _, f := range faults.List {
			sh.complain(f.String())
		}
		return ExitUsage
	}
	sh.complain(err.Error())
	if _, ok := errors.Into[*usageError](err); ok {
		return ExitUsage
	}
	if refused, ok := errors.Into[*operator.Refused](err); ok && refused.Problem.Status == 422 {
		return ExitUsage
	}
	return ExitFailed
}

func (sh *shell) complain(text string) {
	// There is nowhere to report that standard error can't be written.
	_, _ = fmt.Fprintln(sh.err, "almondcove: "+text)
}

func (sh *shell) printf(format string, args ...any) {
	// A reader that has gone away needs no output.
	_, _ = fmt.Fprintf(sh.out, format, args...)
}

// parse returns the command that args name.
func parse(args []string) (runner, error) {
	parser := flaggy.NewParser("almondcove")
	parser.Description = "fleet capacity and maintenance manager"
	parser.ShowHelpOnUnexpected = true
	parser.DisableShowVersionWithVersion()
	var chosen runner
	choose := func(sub *flaggy.Subcommand, run runner) func() {
		return func() {
			if sub.Used {
				chosen = run
			}
		}
	}
	var settle []func()
	for _, add := range []func(*flaggy.Parser) (*flaggy.Subcommand, runner){addServe, addPlatform, addCheck, addStandin, addDemo} {
		sub, run := add(parser)
		settle = append(settle, choose(sub, run))
	}
	for _, v := range addVerbs(parser) {
		settle = append(settle, choose(v.sub, v.run))
	}
	if err := parser.ParseArgs(args); err != nil {
		return nil, &usageError{text: err.Error()}
	}
	for _, f := range settle {
		f()
	}
	if chosen == nil {
		parser.ShowHelp()
		return nil, &usageError{text: "name a command"}
	}
	return chosen, nil
}

// newLog returns a log of one key=value line an event.
func newLog(w io.Writer, name, level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(level), Output: w})
}
