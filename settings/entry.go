package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"time"

	"almondcove/fleet"
)

// Entry holds the settings of one entry.
type Entry struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	// Callers, Operators and Peers are the addresses on which the entry listens for
	// callers, for operators and for other entries.
	Callers   netip.AddrPort `json:"callers"`
	Operators netip.AddrPort `json:"operators"`
	Peers     netip.AddrPort `json:"peers"`
	// Seeds are the peer addresses of other entries.
	Seeds []netip.AddrPort `json:"seeds"`
	// Platform lists the base URLs of the platform's key-value service.
	Platform []string `json:"platform"`
	// Prefix is the prefix of all keys in the platform's key-value service.
	Prefix string `json:"prefix"`
	// TokenHash is the SHA-256 of the operators' token, in hex.
	TokenHash string `json:"token"`
	// Linger is how long the entry still takes requests after it has announced that
	// it is leaving.
	Linger fleet.Duration `json:"linger"`
	// Drain is the time limit of the whole shutdown.
	Drain fleet.Duration `json:"drain"`
	// Silence is the longest time that the entry waits for an upstream's answer to a
	// task before it asks the upstream for the state of the task.
	Silence fleet.Duration `json:"silence"`
	// MaxBodyBytes is the largest body of a task.
	MaxBodyBytes int64 `json:"body"`
	// MemoryLimitMB is the soft memory limit of the process. Live data can exceed it.
	MemoryLimitMB int `json:"memory"`
	// BodiesMB is the budget of the bodies that are being read; zero means a quarter of
	// MemoryLimitMB.
	BodiesMB int `json:"bodies"`
	// WaitingMB is the budget of the bodies of tasks that have no outcome yet; zero means
	// half of MemoryLimitMB.
	WaitingMB int `json:"waiting"`
	// Connections is the number of callers' connections; zero means as many as the
	// descriptors of the process allow.
	Connections int `json:"connections"`
	// Stall is how long a body may make no progress.
	Stall fleet.Duration `json:"stall"`
	// Level is the log level: trace, debug, info, warn or error.
	Level string `json:"level"`
}

// The defaults and the bounds of an entry's settings.
const (
	defaultPrefix        = "almondcove/"
	defaultLinger        = 2 * time.Second
	defaultDrain         = 30 * time.Second
	defaultSilence       = 500 * time.Millisecond
	defaultMaxBodyBytes  = 4 << 20
	defaultLevel         = "info"
	defaultMemoryLimitMB = 96
	defaultStall         = 10 * time.Second
	// bodiesShare is the default of Entry.BodiesMB as a divisor of the memory.
	bodiesShare = 4
	// waitingShare is the default of Entry.WaitingMB as a divisor of the memory.
	waitingShare        = 2
	maxConnections      = 1 << 20
	maxMemoryLimitMB    = 1 << 20
	largestMaxBodyBytes = 64 << 20
	maxDuration         = 10 * time.Minute
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	levelPattern  = regexp.MustCompile(`^(trace|debug|info|warn|error)$`)
)

const nameExpected = "a name of a-z, 0-9 and '-', at most 63 long"

// ReadEntry reads and checks the settings of an entry. The error is *Faults.
func ReadEntry(data []byte) (Entry, error) {
	s := Entry{
		Prefix:        defaultPrefix,
		Linger:        fleet.Duration(defaultLinger),
		Drain:         fleet.Duration(defaultDrain),
		Silence:       fleet.Duration(defaultSilence),
		MaxBodyBytes:  defaultMaxBodyBytes,
		Level:         defaultLevel,
		MemoryLimitMB: defaultMemoryLimitMB,
		Stall:         fleet.Duration(defaultStall),
	}
	dec := decode(data, &s)
	// If the decoder got no member, as after a syntax error, the checks would only
	// report every required member as missing.
	if len(dec.faults) == 0 || len(dec.lines) > 1 {
		s.check(dec)
	}
	if s.BodiesMB == 0 {
		s.BodiesMB = s.MemoryLimitMB / bodiesShare
	}
	if s.WaitingMB == 0 {
		s.WaitingMB = s.MemoryLimitMB / waitingShare
	}
	return s, dec.err()
}

func (s *Entry) check(dec *decoder) {
	dec.require(namePattern.MatchString(s.Name), "name", nameExpected)
	dec.require(namePattern.MatchString(s.Centre), "centre", nameExpected)
	dec.requireListenAddress(s.Callers, "callers")
	dec.requireListenAddress(s.Operators, "operators")
	dec.requireListenAddress(s.Peers, "peers")
	for i, seed := range s.Seeds {
		dec.require(hasPort(seed), "seeds["+strconv.Itoa(i)+"]", `an address with a port, such as "127.0.0.1:8082"`)
	}
	dec.require(len(s.Platform) > 0, "platform", "at least one URL")
	for i, u := range s.Platform {
		dec.requireURL(u, "platform["+strconv.Itoa(i)+"]")
	}
	dec.require(s.Prefix != "" && s.Prefix[len(s.Prefix)-1] == '/', "prefix", "text that ends in '/'")
	dec.require(digestPattern.MatchString(s.TokenHash), "token", "the SHA-256 of the operators' token, in hex")
	dec.requireDuration(s.Linger, 0, "linger")
	dec.requireDuration(s.Drain, time.Second, "drain")
	dec.requireDuration(s.Silence, 10*time.Millisecond, "silence")
	dec.require(s.MaxBodyBytes > 0 && s.MaxBodyBytes <= largestMaxBodyBytes, "body", "a whole number from 1 to "+strconv.Itoa(largestMaxBodyBytes))
	dec.require(s.MemoryLimitMB >= 16 && s.MemoryLimitMB <= maxMemoryLimitMB, "memory", "a whole number of megabytes from 16 to "+strconv.Itoa(maxMemoryLimitMB))
	dec.require(s.BodiesMB >= 0 && s.BodiesMB <= s.MemoryLimitMB, "bodies", "a whole number of megabytes, at most those of memory")
	dec.require(s.WaitingMB >= 0 && s.WaitingMB <= s.MemoryLimitMB, "waiting", "a whole number of megabytes, at most those of memory")
	dec.require(s.Connections >= 0 && s.Connections <= maxConnections, "connections", "a whole number from 0 to "+strconv.Itoa(maxConnections))
	dec.requireDuration(s.Stall, time.Second, "stall")
	dec.require(levelPattern.MatchString(s.Level), "level", "trace, debug, info, warn or error")
}

// hasPort reports whether a is a valid address with a port other than 0.
func hasPort(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0
}

func (dec *decoder) requireListenAddress(a netip.AddrPort, path string) {
	dec.require(hasPort(a), path, `an address with a port, such as "127.0.0.1:8080"`)
}

func (dec *decoder) requireURL(text, path string) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	dec.require(ok, path, `a URL such as "http://127.0.0.1:2379"`)
}

func (dec *decoder) requireDuration(d fleet.Duration, low time.Duration, path string) {
	ok := time.Duration(d) >= low && time.Duration(d) <= maxDuration
	dec.require(ok, path, "a duration from "+low.String()+" to "+maxDuration.String())
}
