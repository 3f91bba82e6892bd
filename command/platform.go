package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"almondcove/logging"
	"almondcove/network"
	"almondcove/platform"
)

const (
	// memoryShare is the part of a machine's memory that the process keeps under.
	memoryShare = 0.6
	// heapGrowth is the percentage by which the heap grows between collections. The
	// heap is small against the machine's memory, and collecting it costs processor
	// time that orders need.
	heapGrowth = 200
	// graceShare is the part of the platform's time to stop that a shutdown uses.
	graceShare = 0.8
	// defaultLevel is the level of the log unless the command line names one.
	defaultLevel = "info"
	// lookEvery is how often the settings are looked at for changes without a signal.
	lookEvery = 2 * time.Second
)

func addPlatform(p *flaggy.Parser) (*flaggy.Subcommand, runner) {
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "run one entry for jobs on the users' platform"
	file := os.Getenv(platform.SettingsVariable)
	level := defaultLevel
	sub.String(&file, "s", "settings", "the platform's file of settings")
	sub.String(&level, "l", "level", "level of the log: trace, debug, info, warn or error")
	p.AttachSubcommand(sub, 1)
	return sub, func(ctx context.Context, sh *shell) error { return servePlatform(ctx, sh, file, level) }
}

// servePlatform runs one entry until it is told to stop. SIGHUP makes it read
// the settings again.
func servePlatform(ctx context.Context, sh *shell, file, level string) error {
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	log := logging.New(logging.Config{Out: sh.out, Name: s.Node, Level: level})
	defer log.Close()
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMb<<20)))
	e, err := platform.Start(platform.Config{Settings: s, Network: network.TCP{}, Log: log.Logger()})
	if err != nil {
		return err
	}
	log.Logger().Info("serving", "front", s.Listen.Front, "ready", s.Listen.Ready, "settings", file)
	why := follow(sh.interrupts, reloads, file, s, log.Logger())
	log.Logger().Info("stopping", "signal", why)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(graceShare*float64(s.Bounds.GraceS)*float64(time.Second)))
	defer cancel()
	e.Stop(ctx)
	log.Logger().Info("stopped", "lines", log.Dropped())
	return nil
}

// follow reads the settings again on a signal or when the file has changed, until
// the process is told to stop.
func follow(interrupts, reloads <-chan os.Signal, file string, s platform.Settings, log hclog.Logger) os.Signal {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		why := "changed"
		select {
		case signal := <-interrupts:
			return signal
		case signal := <-reloads:
			why = signal.String()
		case <-tick.C:
		}
		next, err := platform.ReadSettings(file)
		if err != nil {
			log.Error("settings not reloaded", "reason", why, "error", err)
			continue
		}
		changed := s.Differences(next)
		if len(changed) > 0 || why != "changed" {
			log.Info("settings reloaded", "reason", why, "changed", changed)
		}
		s = next
	}
}
