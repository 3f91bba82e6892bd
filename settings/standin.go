package settings

import (
	"net/netip"
	"strconv"

	"almondcove/fleet"
)

// Standin holds the settings of a process that runs stand-ins of the platform and
// of upstreams.
type Standin struct {
	// Listen is the address of the platform stand-in. Without it the process runs no
	// platform stand-in.
	Listen netip.AddrPort `json:"listen"`
	// Upstreams lists the upstream stand-ins to run.
	Upstreams []Upstream `json:"upstreams"`
	// Platform is the base URL of the platform's key-value service, in which the
	// upstream stand-ins register their VMs.
	Platform string `json:"platform"`
	// Prefix is the prefix of all keys in the platform's key-value service.
	Prefix string `json:"prefix"`
}

// Upstream holds the settings of one upstream stand-in.
type Upstream struct {
	VM     string         `json:"vm"`
	Centre string         `json:"centre"`
	Rack   string         `json:"rack"`
	Listen netip.AddrPort `json:"listen"`
	Slots  int            `json:"slots"`
	// Runs maps the name of a queue to the run time of its tasks.
	Runs map[string]fleet.Duration `json:"runs"`
}

// maxSlots is the largest number of slots of one upstream.
const maxSlots = 10_000

// ReadStandin reads and checks the settings of a process that runs stand-ins. The
// error is *Faults.
func ReadStandin(data []byte) (Standin, error) {
	s := Standin{Prefix: defaultPrefix}
	dec := decode(data, &s)
	// Without any decoded member the checks would only report every required member
	// as missing.
	if len(dec.faults) > 0 && len(dec.lines) <= 1 {
		return s, dec.err()
	}
	dec.require(hasPort(s.Listen) || len(s.Upstreams) > 0, "", `"listen", "upstreams" or both`)
	if len(s.Upstreams) > 0 {
		dec.requireURL(s.Platform, "platform")
	}
	for i, u := range s.Upstreams {
		path := "upstreams[" + strconv.Itoa(i) + "]"
		dec.require(namePattern.MatchString(u.VM), path+".vm", nameExpected)
		dec.require(namePattern.MatchString(u.Centre), path+".centre", nameExpected)
		dec.requireListenAddress(u.Listen, path+".listen")
		dec.require(u.Slots > 0 && u.Slots <= maxSlots, path+".slots", "a whole number from 1 to "+strconv.Itoa(maxSlots))
	}
	return s, dec.err()
}
