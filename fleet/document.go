package fleet

// Document is a whole configuration, except its keys, in one JSON value. Operators
// load a configuration in this form.
type Document struct {
	Preset  string                   `json:"preset"`
	Teams   map[string]Team          `json:"teams"`
	Queues  map[string]Queue         `json:"queues"`
	Pools   map[string]Pool          `json:"pools"`
	Presets map[string]Preset        `json:"presets"`
	Centres map[string]map[string]VM `json:"centres"`
}

// Config returns the configuration that the document describes, at revision 0.
func (d Document) Config() *Config {
	c := (&Config{}).clone()
	c.Head.Preset = d.Preset
	c.Teams, c.Queues = cloneMap(d.Teams), cloneMap(d.Queues)
	c.Pools, c.Presets = cloneMap(d.Pools), cloneMap(d.Presets)
	for centre, vms := range d.Centres {
		c.Centres[centre] = Centre{}
		for name, v := range vms {
			v.Centre = centre
			c.VMs[name] = v
		}
	}
	return c
}

// Document returns the configuration without its keys.
func (c *Config) Document() Document {
	d := Document{
		Preset:  c.Head.Preset,
		Teams:   c.Teams,
		Queues:  c.Queues,
		Pools:   c.Pools,
		Presets: c.Presets,
		Centres: make(map[string]map[string]VM),
	}
	for centre := range c.Centres {
		d.Centres[centre] = c.vmsIn(centre)
	}
	return d
}
