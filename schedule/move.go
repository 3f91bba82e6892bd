package schedule

import "time"

// move is one machine on its way to another pool.
type move struct {
	to      string
	ordered time.Time
}

// demand follows the work that is asked of a pool.
type demand struct{}

// planMoves moves machines to the pools that need them.
func (c *Core) planMoves(time.Time) {}
