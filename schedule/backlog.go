package schedule

import "time"

// Backlog is what waits at the owner.
type Backlog struct {
	// States is the number of jobs whose state is not recorded, and Oldest the longest time
	// for which an end has been waiting to be recorded.
	States int
	Oldest time.Duration
	// Parts is the number of parts of the record of the VMs that are out of date.
	Parts int
	// Unready counts the listed VMs that answer but may not get tasks yet, because they have
	// not reported under a token of this owner or are not recorded.
	Unready int
	// Starting is the number of start orders without an answer.
	Starting int
	// Silent is the number of VMs that don't answer, and Gates that of the VMs that may run
	// tasks of the previous owner and have not answered this one.
	Silent, Gates int
}

// Backlog returns what waits at the owner.
func (c *Core) Backlog(now time.Time) Backlog {
	b := Backlog{States: len(c.dirty), Parts: len(c.changedParts), Starting: len(c.startsInFlight), Gates: len(c.gates)}
	for _, v := range c.vms {
		switch {
		case v.silent:
			b.Silent++
		case v.listed && !v.Draining && !(v.attached && v.recorded):
			b.Unready++
		}
		if len(v.unrecordedEnds) > 0 {
			b.Oldest = max(b.Oldest, now.Sub(v.unrecordedEnds[0].readAt))
		}
	}
	return b
}
