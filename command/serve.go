package command

import (
	"context"
	"math"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/integrii/flaggy"
	"golang.org/x/sys/unix"

	"almondcove/demo"
	"almondcove/entry"
	"almondcove/etcd"
	"almondcove/intake"
	"almondcove/network"
	"almondcove/node"
	"almondcove/peer"
	"almondcove/settings"
	"almondcove/standin"
)

// demoStopTimeout is the time limit for the shutdown of the demo.
const demoStopTimeout = 10 * time.Second

// ReadError reports a file that can't be read.
type ReadError struct {
	File  string
	Cause error
}

func (e *ReadError) Error() string { return "command: can't read " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &ReadError{File: name, Cause: err}
	}
	return data, nil
}

func addServe(p *flaggy.Parser) (*flaggy.Subcommand, runner) {
	sub := flaggy.NewSubcommand("serve")
	sub.Description = "run one entry"
	var file string
	sub.String(&file, "s", "settings", "file of settings, JSON with comments")
	p.AttachSubcommand(sub, 1)
	return sub, func(ctx context.Context, con *console) error { return serve(ctx, con, file) }
}

// serve runs one entry until SIGINT or SIGTERM. A second signal ends the graceful
// shutdown early.
func serve(ctx context.Context, con *console, file string) error {
	data, err := readFile(file)
	if err != nil {
		return err
	}
	s, err := settings.ReadEntry(data)
	if err != nil {
		return err
	}
	log := newLogger(con.err, s.Name, s.Level)
	// Near this soft limit the garbage collector runs more often, which keeps the
	// process within the memory that its VM has for it.
	debug.SetMemoryLimit(int64(s.MemoryLimitMB) << 20)
	n, err := node.Start(node.Config{
		Entry: entry.Config{
			Self:           peer.Member{Name: s.Name, Centre: s.Centre, Address: s.Peers},
			Seeds:          s.Seeds,
			Platform:       s.Platform,
			Prefix:         s.Prefix,
			SilenceTimeout: time.Duration(s.Silence),
			Log:            log,
		},
		Callers:   s.Callers,
		Operators: s.Operators,
		TokenHash: s.TokenHash,
		MaxBody:   s.MaxBodyBytes,
		Intake:    intakeLimits(s),
		Linger:    time.Duration(s.Linger),
	})
	if err != nil {
		return err
	}
	log.Info("serving", "callers", n.Callers(), "operators", n.Operators(), "peers", s.Peers)
	<-con.interrupts
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.Drain))
	defer cancel()
	go func() {
		<-con.interrupts
		cancel()
	}()
	return n.Stop(ctx)
}

// intakeLimits returns what clients may make an entry hold.
func intakeLimits(s settings.Entry) intake.Limits {
	out := intake.Limits{
		Bytes: int64(s.BodiesMB) << 20, Waiting: int64(s.WaitingMB) << 20, Connections: s.Connections, Stall: time.Duration(s.Stall),
	}
	var descriptors unix.Rlimit
	if out.Connections == 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors) == nil {
		out.Connections = intake.LimitsFor(0, int(min(descriptors.Cur, math.MaxInt32))).Connections
	}
	return out
}

func addCheck(p *flaggy.Parser) (*flaggy.Subcommand, runner) {
	sub := flaggy.NewSubcommand("check")
	sub.Description = "check a file of settings: of an entry, or with --kind of stand-ins or of a fleet"
	var file string
	kind := "entry"
	sub.AddPositionalValue(&file, "file", 1, true, "the file")
	sub.String(&kind, "k", "kind", "entry, standin or fleet")
	p.AttachSubcommand(sub, 1)
	return sub, func(_ context.Context, con *console) error { return checkFile(con, file, kind) }
}

func checkFile(con *console, file, kind string) error {
	data, err := readFile(file)
	if err != nil {
		return err
	}
	switch kind {
	case "entry":
		_, err = settings.ReadEntry(data)
	case "standin":
		_, err = settings.ReadStandin(data)
	case "fleet":
		_, err = settings.ReadDocument(data)
	default:
		return &usageError{text: "--kind is entry, standin or fleet"}
	}
	if err == nil {
		con.printf("%s is in order\n", file)
	}
	return err
}

func addStandin(p *flaggy.Parser) (*flaggy.Subcommand, runner) {
	sub := flaggy.NewSubcommand("standin")
	sub.Description = "run stand-ins of the platform and of upstreams, for tests"
	var file string
	sub.String(&file, "s", "settings", "file of settings, JSON with comments")
	p.AttachSubcommand(sub, 1)
	return sub, func(ctx context.Context, con *console) error { return runStandin(ctx, con, file) }
}

// runStandin runs the stand-ins of a settings file until SIGINT or SIGTERM.
func runStandin(ctx context.Context, con *console, file string) error {
	data, err := readFile(file)
	if err != nil {
		return err
	}
	s, err := settings.ReadStandin(data)
	if err != nil {
		return err
	}
	log := newLogger(con.err, "standin", "info")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.Listen.IsValid() {
		server, err := standin.Serve(network.TCP{}, s.Listen, standin.NewPlatform())
		if err != nil {
			return err
		}
		defer server.Close()
		log.Info("platform stand-in listening", "listen", server.Address)
	}
	var registering sync.WaitGroup
	// Deferred calls run in reverse order: cancel ends the registrations before Wait
	// waits for them.
	defer registering.Wait()
	defer cancel()
	client := etcd.New(etcd.Config{URLs: []string{s.Platform}})
	for _, u := range s.Upstreams {
		server, err := standin.Serve(network.TCP{}, u.Listen, standin.NewUpstream(standin.UpstreamConfig{
			VM: u.VM, Centre: u.Centre, Slots: u.Slots, RunTimes: u.Runs,
		}))
		if err != nil {
			return err
		}
		defer server.Close()
		log.Info("upstream stand-in listening", "vm", u.VM, "listen", server.Address)
		registering.Go(func() {
			standin.RegisterVM(ctx, client, s.Prefix, peer.VM{
				Name: u.VM, Centre: u.Centre, Address: u.Listen, Slots: u.Slots, Rack: u.Rack, State: peer.VMLive,
			})
		})
	}
	<-con.interrupts
	return nil
}

func addDemo(p *flaggy.Parser) (*flaggy.Subcommand, runner) {
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "run a small fleet in one process on loopback"
	output := outputText
	level := "warn"
	sub.String(&output, "o", "output", "text or json")
	sub.String(&level, "l", "level", "level of the log: debug, info, warn or error")
	p.AttachSubcommand(sub, 1)
	return sub, func(ctx context.Context, con *console) error { return runDemo(ctx, con, output, level) }
}

// runDemo runs the demo until SIGINT or SIGTERM. A second signal ends the graceful
// shutdown early.
func runDemo(ctx context.Context, con *console, output, level string) error {
	if err := checkOutput(output); err != nil {
		return err
	}
	d, err := demo.Start(ctx, demo.Config{Log: newLogger(con.err, "demo", level)})
	if err != nil {
		return err
	}
	if output == outputJSON {
		con.printf("%s\n", d.Access.JSON())
	} else {
		printAccess(con, d.Access)
	}
	<-con.interrupts
	ctx, cancel := context.WithTimeout(ctx, demoStopTimeout)
	defer cancel()
	go func() {
		<-con.interrupts
		cancel()
	}()
	d.Stop(ctx)
	return nil
}

// printAccess prints the addresses of the demo and example commands.
func printAccess(con *console, a demo.Access) {
	for i, url := range a.Callers {
		con.printf("entry %d     callers %s   operators %s\n", i+1, url, a.Operators[i])
	}
	for i, url := range a.Upstreams {
		con.printf("upstream %d  %s\n", i+1, url)
	}
	con.printf("platform    %s\n\n", a.Platform)
	con.printf("run a task:\n  curl -sS -H 'Authorization: Bearer %s' -d 'one pint' %s/queues/%s/tasks\n", a.Key, a.Callers[0], a.Queue)
	con.printf("operate:\n  export ALMONDCOVE_URL=%s ALMONDCOVE_TOKEN=%s\n", a.Operators[0], a.Token)
	con.printf("  go run . status\n  go run . preset use peak --wait\n  go run . centre out east --wait\n")
	con.printf("make a fault:\n  curl -sS -X PUT -d '{\"kind\": \"down\", \"for\": \"10s\"}' %s/faults\n", a.Platform)
	con.printf("interrupt to end\n")
}
