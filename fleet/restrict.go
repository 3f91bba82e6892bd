package fleet

// Restriction removes a permission before the platform's record says so. It
// passes from entry to entry and can only ever reduce what may run.
type Restriction struct {
	// Kind is one of the Restrict constants.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Stamp orders the restriction against the record's own stamp.
	Stamp string `json:"stamp"`
}

// The kinds of restriction.
const (
	RestrictKey    = "key"
	RestrictCentre = "centre"
	RestrictVM     = "vm"
)

// Change returns the change that records the restriction, or nil for an unknown kind.
func (r Restriction) Change() Change {
	switch r.Kind {
	case RestrictKey:
		return KeyWithdraw{ID: r.Name}
	case RestrictCentre:
		return CentreOut{Name: r.Name, Stamp: r.Stamp}
	case RestrictVM:
		return VMLeave{Name: r.Name, Stamp: r.Stamp}
	}
	return nil
}

// Absorbs reports whether c already reflects r or a later decision, so that r
// may be forgotten.
func (c *Config) Absorbs(r Restriction) bool {
	switch r.Kind {
	case RestrictKey:
		return c.Keys[r.Name].Gone
	case RestrictCentre:
		centre := c.Centres[r.Name]
		return centre.Out || centre.Stamp >= r.Stamp
	case RestrictVM:
		v := c.VMs[r.Name]
		return v.Leave || v.Stamp >= r.Stamp
	}
	return true
}

// Restrict returns c with the restrictions laid over it. The result carries
// the same revision and must not be stored.
func (c *Config) Restrict(rs []Restriction) *Config {
	if len(rs) == 0 {
		return c
	}
	next := c.clone()
	for _, r := range rs {
		if c.Absorbs(r) {
			continue
		}
		if _, err := next.mutate(r.Change()); err != nil {
			// The object is unknown here, so there is nothing to restrict yet.
			continue
		}
	}
	return next
}
