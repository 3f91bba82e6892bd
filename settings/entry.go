package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"time"

	"almondcove/fleet"
)

// Entry is the settings of one entry.
type Entry struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	// Callers, Operators and Peers are the addresses to listen on.
	Callers   netip.AddrPort `json:"callers"`
	Operators netip.AddrPort `json:"operators"`
	Peers     netip.AddrPort `json:"peers"`
	// Seeds are the peer addresses of other entries.
	Seeds []netip.AddrPort `json:"seeds"`
	// Platform lists the base URLs of the platform's key-value service.
	Platform []string `json:"platform"`
	// Prefix starts every key in the platform.
	Prefix string `json:"prefix"`
	// Token is the SHA-256 of the operators' token, in hex.
	Token string `json:"token"`
	// Linger is how long the entry serves on after it has said that it is leaving.
	Linger fleet.Duration `json:"linger"`
	// Drain bounds the whole shutdown.
	Drain fleet.Duration `json:"drain"`
	// Silence is how long a task may go unanswered before it is asked for.
	Silence fleet.Duration `json:"silence"`
	// Body bounds the body of a task in bytes.
	Body int64 `json:"body"`
	// Memory is the number of megabytes that the process keeps under if it can.
	Memory int `json:"memory"`
	// Level is the level of the log: trace, debug, info, warn or error.
	Level string `json:"level"`
}

// The defaults of an entry.
const (
	defaultPrefix  = "almondcove/"
	defaultLinger  = 2 * time.Second
	defaultDrain   = 30 * time.Second
	defaultSilence = 500 * time.Millisecond
	defaultBody    = 4 << 20
	defaultLevel   = "info"
	defaultMemory  = 96
	maxMemory      = 1 << 20
	maxBody        = 64 << 20
	maxSpan        = 10 * time.Minute
)

var (
	plainName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hexDigest = regexp.MustCompile(`^[0-9a-f]{64}$`)
	levels    = regexp.MustCompile(`^(trace|debug|info|warn|error)$`)
)

const nameExpected = "a name of a-z, 0-9 and '-', at most 63 long"

// ReadEntry reads the settings of an entry. The error is *Faults.
func ReadEntry(data []byte) (Entry, error) {
	s := Entry{
		Prefix:  defaultPrefix,
		Linger:  fleet.Duration(defaultLinger),
		Drain:   fleet.Duration(defaultDrain),
		Silence: fleet.Duration(defaultSilence),
		Body:    defaultBody,
		Level:   defaultLevel,
		Memory:  defaultMemory,
	}
	r := decode(data, &s)
	if len(r.faults) == 0 || len(r.lines) > 1 {
		s.check(r)
	}
	return s, r.err()
}

func (s *Entry) check(r *reader) {
	r.require(plainName.MatchString(s.Name), "name", nameExpected)
	r.require(plainName.MatchString(s.Centre), "centre", nameExpected)
	r.listen(s.Callers, "callers")
	r.listen(s.Operators, "operators")
	r.listen(s.Peers, "peers")
	for i, seed := range s.Seeds {
		r.require(usable(seed), "seeds["+strconv.Itoa(i)+"]", `an address with a port, such as "127.0.0.1:8082"`)
	}
	r.require(len(s.Platform) > 0, "platform", "at least one URL")
	for i, u := range s.Platform {
		r.url(u, "platform["+strconv.Itoa(i)+"]")
	}
	r.require(s.Prefix != "" && s.Prefix[len(s.Prefix)-1] == '/', "prefix", "text that ends in '/'")
	r.require(hexDigest.MatchString(s.Token), "token", "the SHA-256 of the operators' token, in hex")
	r.span(s.Linger, 0, "linger")
	r.span(s.Drain, time.Second, "drain")
	r.span(s.Silence, 10*time.Millisecond, "silence")
	r.require(s.Body > 0 && s.Body <= maxBody, "body", "a whole number from 1 to "+strconv.Itoa(maxBody))
	r.require(s.Memory >= 16 && s.Memory <= maxMemory, "memory", "a whole number of megabytes from 16 to "+strconv.Itoa(maxMemory))
	r.require(levels.MatchString(s.Level), "level", "trace, debug, info, warn or error")
}

func usable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0
}

func (r *reader) listen(a netip.AddrPort, path string) {
	r.require(usable(a), path, `an address with a port, such as "127.0.0.1:8080"`)
}

func (r *reader) url(text, path string) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	r.require(ok, path, `a URL such as "http://127.0.0.1:2379"`)
}

func (r *reader) span(d fleet.Duration, low time.Duration, path string) {
	ok := time.Duration(d) >= low && time.Duration(d) <= maxSpan
	r.require(ok, path, "a duration from "+low.String()+" to "+maxSpan.String())
}
