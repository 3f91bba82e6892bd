package fleet

// Restriction is a change that removes a permission and takes effect before the
// platform has recorded it. Entries pass it on to each other. A restriction can
// only reduce what may run, so it is safe to apply without the record.
type Restriction struct {
	// Kind is one of the Restrict constants.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Stamp orders the restriction against the stamp in the record of the object.
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

// Supersedes reports whether c includes r or a later change of the same object, so
// that r can be dropped.
func (c *Config) Supersedes(r Restriction) bool {
	switch r.Kind {
	case RestrictKey:
		return c.Keys[r.Name].Withdrawn
	case RestrictCentre:
		centre := c.Centres[r.Name]
		return centre.OutOfService || centre.Stamp >= r.Stamp
	case RestrictVM:
		v := c.VMs[r.Name]
		return v.Disabled || v.Stamp >= r.Stamp
	}
	return true
}

// Restrict returns c with the restrictions applied. The result has the revision of
// c and must not be stored.
func (c *Config) Restrict(rs []Restriction) *Config {
	if len(rs) == 0 {
		return c
	}
	next := c.clone()
	for _, r := range rs {
		if c.Supersedes(r) {
			continue
		}
		if _, err := next.mutate(r.Change()); err != nil {
			// c doesn't have the object yet, so there is nothing to restrict.
			continue
		}
	}
	return next
}
