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
	// memoryLimitRatio is the soft memory limit of the process as a fraction of the
	// machine's memory.
	memoryLimitRatio = 0.6
	// gcPercent is the percentage by which the heap grows between garbage collections.
	// It is above the default because the heap is small relative to the machine's
	// memory and collections take processor time that orders to VMs and machines need.
	gcPercent = 200
	// shutdownRatio is the fraction of the platform's grace period that a shutdown may
	// use.
	shutdownRatio = 0.8
	// defaultLevel is the log level unless the command line names one.
	defaultLevel = "info"
	// settingsPollInterval is the interval at which the settings file is read again
	// without a signal.
	settingsPollInterval = 2 * time.Second
)

func addPlatform(p *flaggy.Parser) (*flaggy.Subcommand, runner) {
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "run one entry for jobs on the users' platform"
	file := os.Getenv(platform.SettingsVariable)
	level, tokenHash := defaultLevel, ""
	sub.String(&file, "s", "settings", "the platform's file of settings")
	sub.String(&level, "l", "level", "level of the log: trace, debug, info, warn or error")
	sub.String(&tokenHash, "", "token-hash", "SHA-256 of the operators' token, in hex; without it, no explanations are given")
	p.AttachSubcommand(sub, 1)
	return sub, func(ctx context.Context, con *console) error { return servePlatform(ctx, con, file, level, tokenHash) }
}

// servePlatform runs one entry until SIGINT or SIGTERM. SIGHUP makes it read the
// settings again at once.
func servePlatform(ctx context.Context, con *console, file, level, tokenHash string) error {
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	log := logging.New(logging.Config{Out: con.out, Name: s.Node, Level: level})
	defer log.Close()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.Limits.MemoryMb<<20)))
	e, err := platform.Start(platform.Config{Settings: s, TokenHash: tokenHash, Network: network.TCP{}, Log: log.Logger()})
	if err != nil {
		return err
	}
	log.Logger().Info("serving", "front", s.Listen.Front, "ready", s.Listen.Ready, "settings", file)
	received := watchSettings(con.interrupts, reloads, file, s, log.Logger())
	log.Logger().Info("stopping", "signal", received)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(shutdownRatio*float64(s.Bounds.GraceS)*float64(time.Second)))
	defer cancel()
	e.Stop(ctx)
	log.Logger().Info("stopped", "lines", log.Dropped())
	return nil
}

// watchSettings reads the settings file again on SIGHUP and at every
// settingsPollInterval, until it receives an interrupt, which it returns. It only logs
// the changed keys: their values take effect when the process starts again.
func watchSettings(interrupts, reloads <-chan os.Signal, file string, s platform.Settings, log hclog.Logger) os.Signal {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		reason := "changed"
		select {
		case sig := <-interrupts:
			return sig
		case sig := <-reloads:
			reason = sig.String()
		case <-tick.C:
		}
		next, err := platform.ReadSettings(file)
		if err != nil {
			log.Error("can't read the settings again; running on with the settings in use", "reason", reason, "error", err)
			continue
		}
		changed := s.Differences(next)
		if len(changed) > 0 || reason != "changed" {
			log.Info("settings read again; changed values take effect at the next start", "reason", reason, "changed", changed)
		}
		s = next
	}
}
