package settings

import (
	"net/netip"
	"strconv"

	"almondcove/fleet"
)

// Standin is the settings of a process of stand-ins.
type Standin struct {
	// Listen is where the platform stand-in listens; without it there is none.
	Listen netip.AddrPort `json:"listen"`
	// Upstreams are the upstream stand-ins.
	Upstreams []Upstream `json:"upstreams"`
	// Platform is the URL of the platform whose list the upstreams join.
	Platform string `json:"platform"`
	// Prefix starts every key in the platform.
	Prefix string `json:"prefix"`
}

// Upstream is the settings of one upstream stand-in.
type Upstream struct {
	VM     string         `json:"vm"`
	Centre string         `json:"centre"`
	Rack   string         `json:"rack"`
	Listen netip.AddrPort `json:"listen"`
	Slots  int            `json:"slots"`
	// Runs gives the run time of a queue's tasks.
	Runs map[string]fleet.Duration `json:"runs"`
}

// maxSlots bounds the slots of one upstream.
const maxSlots = 10_000

// ReadStandin reads the settings of a process of stand-ins. The error is *Faults.
func ReadStandin(data []byte) (Standin, error) {
	s := Standin{Prefix: defaultPrefix}
	r := decode(data, &s)
	if len(r.faults) > 0 && len(r.lines) <= 1 {
		return s, r.err()
	}
	r.require(usable(s.Listen) || len(s.Upstreams) > 0, "", `"listen", "upstreams" or both`)
	if len(s.Upstreams) > 0 {
		r.url(s.Platform, "platform")
	}
	for i, u := range s.Upstreams {
		path := "upstreams[" + strconv.Itoa(i) + "]"
		r.require(plainName.MatchString(u.VM), path+".vm", nameExpected)
		r.require(plainName.MatchString(u.Centre), path+".centre", nameExpected)
		r.listen(u.Listen, path+".listen")
		r.require(u.Slots > 0 && u.Slots <= maxSlots, path+".slots", "a whole number from 1 to "+strconv.Itoa(maxSlots))
	}
	return s, r.err()
}
