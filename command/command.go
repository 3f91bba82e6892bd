// Package command implements the command line, which starts the processes and
// runs the operators' commands.
//
// The exit code is 0 if the command succeeded, 1 if it failed, 2 if its usage or the
// settings are wrong, and 3 if a change is recorded but not yet in force everywhere.
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

// usageError reports a command line that is not valid.
type usageError struct {
	text string
}

func (e *usageError) Error() string { return "usage: " + e.text }

// console holds the output, the error output and the signals of a command.
type console struct {
	out io.Writer
	err io.Writer
	// interrupts receives SIGINT and SIGTERM.
	interrupts <-chan os.Signal
}

// runner is a parsed command that can be run.
type runner func(ctx context.Context, con *console) error

// Main runs the command that args name and returns its exit code.
func Main(args []string) int {
	// The buffer holds two signals: the first starts the shutdown, the second cuts it
	// short.
	interrupts := make(chan os.Signal, 2)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	con := &console{out: os.Stdout, err: os.Stderr, interrupts: interrupts}
	run, err := parse(args)
	if err == nil {
		err = run(context.Background(), con)
	}
	return con.reportError(err)
}

// reportError prints err, if there is one, and returns the exit code for it.
func (con *console) reportError(err error) int {
	if err == nil {
		return ExitDone
	}
	if _, ok := errors.Into[*pendingError](err); ok {
		// The command has already printed how far the change is in force.
		return ExitPending
	}
	if faults, ok := errors.Into[*settings.Faults](err); ok {
		for _, f := range faults.List {
			con.printError(f.String())
		}
		return ExitUsage
	}
	con.printError(err.Error())
	if _, ok := errors.Into[*usageError](err); ok {
		return ExitUsage
	}
	// The entry answers 422 to an invalid configuration.
	if refused, ok := errors.Into[*operator.RefusedError](err); ok && refused.Problem.Status == 422 {
		return ExitUsage
	}
	return ExitFailed
}

func (con *console) printError(text string) {
	// A failed write to standard error can't be reported anywhere.
	_, _ = fmt.Fprintln(con.err, "almondcove: "+text)
}

func (con *console) printf(format string, args ...any) {
	// A write fails if the reader has closed the pipe; nobody is left to read.
	_, _ = fmt.Fprintf(con.out, format, args...)
}

// parse returns the runner of the command that args name.
func parse(args []string) (runner, error) {
	parser := flaggy.NewParser("almondcove")
	parser.Description = "fleet capacity and maintenance manager"
	parser.ShowHelpOnUnexpected = true
	parser.DisableShowVersionWithVersion()
	var chosen runner
	// newSelector returns a function that, after parsing, chooses run if the command
	// line names sub.
	newSelector := func(sub *flaggy.Subcommand, run runner) func() {
		return func() {
			if sub.Used {
				chosen = run
			}
		}
	}
	var selectors []func()
	for _, add := range []func(*flaggy.Parser) (*flaggy.Subcommand, runner){addServe, addPlatform, addCheck, addStandin, addDemo} {
		sub, run := add(parser)
		selectors = append(selectors, newSelector(sub, run))
	}
	for _, cmd := range addOperatorCommands(parser) {
		selectors = append(selectors, newSelector(cmd.sub, cmd.run))
	}
	if err := parser.ParseArgs(args); err != nil {
		return nil, &usageError{text: err.Error()}
	}
	for _, selectUsed := range selectors {
		selectUsed()
	}
	if chosen == nil {
		parser.ShowHelp()
		return nil, &usageError{text: "name a command"}
	}
	return chosen, nil
}

// newLogger returns a logger that writes each event as one line of key=value pairs.
func newLogger(w io.Writer, name, level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(level), Output: w})
}
