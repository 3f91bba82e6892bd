package command

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/integrii/flaggy"

	"almondcove/network"
	"almondcove/platform"
)

// memoryShare is the part of a machine's memory that the process keeps under.
const memoryShare = 0.6

func addPlatform(p *flaggy.Parser) (*flaggy.Subcommand, runner) {
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "run one entry for jobs on the users' platform"
	file := os.Getenv(platform.SettingsVariable)
	level := defaultLevel
	sub.String(&file, "s", "settings", "the platform's file of settings")
	sub.String(&level, "l", "level", "level of the log")
	p.AttachSubcommand(sub, 1)
	return sub, func(ctx context.Context, sh *shell) error { return servePlatform(ctx, sh, file, level) }
}

// defaultLevel is the level of the log unless the command line names one.
const defaultLevel = "info"

func servePlatform(ctx context.Context, sh *shell, file, level string) error {
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	log := newLog(sh.out, s.Node, level)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMb<<20)))
	e, err := platform.Start(platform.Config{Settings: s, Network: network.TCP{}, Log: log})
	if err != nil {
		return err
	}
	log.Info("serving", "front", s.Listen.Front, "ready", s.Listen.Ready)
	signal := <-sh.interrupts
	log.Info("stopping", "signal", signal)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.Bounds.GraceS)*time.Second*4/5)
	defer cancel()
	e.Stop(ctx)
	log.Info("stopped")
	return nil
}
