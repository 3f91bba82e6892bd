package fleet

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
)

// HeadKey is the key of the record that holds the [Head].
const HeadKey = "head"

// Record is the stored form of one object of the configuration.
type Record struct {
	// Key is KIND/NAME, for example "team/festival", or [HeadKey]. One record
	// holds all VMs of a data centre.
	Key string `json:"key"`
	// Rev is the revision in which the record last changed.
	Rev uint64 `json:"rev"`
	// Body is the object in JSON. A record without a body is a tombstone: it marks
	// a removed object.
	Body json.RawMessage `json:"body,omitempty"`
}

// Records returns the records that changed after revision since, the head last.
// It returns nil if none changed.
func (c *Config) Records(since uint64) []Record {
	var out []Record
	for _, r := range c.records {
		if r.Rev > since && r.Key != HeadKey {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	if c.Head.Rev > since {
		out = append(out, c.records[HeadKey])
	}
	return out
}

// Decode returns the configuration that results when the records of a later
// revision are applied to base. The records must include the head. The error is
// *StaleRevisionError if the head is not newer than that of base, and
// *UnreadableRecordError if a record can't be decoded. Decode never modifies base.
func Decode(base *Config, records []Record) (*Config, error) {
	next := base.clone()
	var head *Record
	for _, r := range records {
		if r.Key == HeadKey {
			head = &r
			continue
		}
		if err := next.putRecord(r); err != nil {
			return nil, err
		}
	}
	if head == nil {
		return nil, &UnreadableRecordError{Key: HeadKey, Reason: "the head is missing"}
	}
	// Decode into an empty head: next.Head shares its slice of past stamps with
	// base, and decoding into that slice would overwrite the stamps of base.
	next.Head = Head{}
	if err := json.Unmarshal(head.Body, &next.Head); err != nil {
		return nil, &UnreadableRecordError{Key: HeadKey, Reason: err.Error()}
	}
	if next.Head.Rev <= base.Head.Rev {
		return nil, &StaleRevisionError{Held: base.Head.Rev, Offered: next.Head.Rev}
	}
	next.records[HeadKey] = *head
	return next, nil
}

// putRecord stores a record and the object that it holds, unless c has a newer
// record of the object.
func (c *Config) putRecord(r Record) error {
	kind, name, ok := strings.Cut(r.Key, "/")
	if !ok {
		return &UnreadableRecordError{Key: r.Key, Reason: "the key is not KIND/NAME"}
	}
	if old, ok := c.records[r.Key]; ok && old.Rev > r.Rev {
		return nil
	}
	var err error
	switch kind {
	case "team":
		err = putObject(c.Teams, name, r)
	case "key":
		err = putObject(c.Keys, name, r)
	case "queue":
		err = putObject(c.Queues, name, r)
	case "pool":
		err = putObject(c.Pools, name, r)
	case "preset":
		err = putObject(c.Presets, name, r)
	case "centre":
		err = putObject(c.Centres, name, r)
	case "vms":
		err = c.putVMs(name, r)
	default:
		// The record may come from a newer version with more kinds of objects.
		// Keep it, so that it is passed on.
	}
	if err != nil {
		return &UnreadableRecordError{Key: r.Key, Reason: err.Error()}
	}
	c.records[r.Key] = r
	return nil
}

// putObject decodes r into m[name]. A tombstone removes the object.
func putObject[V any](m map[string]V, name string, r Record) error {
	if r.Body == nil {
		delete(m, name)
		return nil
	}
	var v V
	if err := json.Unmarshal(r.Body, &v); err != nil {
		return err
	}
	m[name] = v
	return nil
}

// putVMs replaces all VMs of a data centre with those in r.
func (c *Config) putVMs(centre string, r Record) error {
	var vms map[string]VM
	if r.Body != nil {
		if err := json.Unmarshal(r.Body, &vms); err != nil {
			return err
		}
	}
	for name, v := range c.VMs {
		if v.Centre == centre {
			delete(c.VMs, name)
		}
	}
	for name, v := range vms {
		v.Centre = centre
		c.VMs[name] = v
	}
	return nil
}

// encode returns the record of the object with the key, at the revision of c. It
// returns a tombstone if c has no such object.
func (c *Config) encode(key string) (Record, error) {
	kind, name, _ := strings.Cut(key, "/")
	var v any
	found := true
	switch kind {
	case HeadKey:
		v = c.Head
	case "team":
		v, found = lookup(c.Teams, name)
	case "key":
		v, found = lookup(c.Keys, name)
	case "queue":
		v, found = lookup(c.Queues, name)
	case "pool":
		v, found = lookup(c.Pools, name)
	case "preset":
		v, found = lookup(c.Presets, name)
	case "centre":
		v, found = lookup(c.Centres, name)
	case "vms":
		v = c.vmsIn(name)
	}
	r := Record{Key: key, Rev: c.Head.Rev}
	if !found {
		return r, nil
	}
	body, err := json.Marshal(v)
	if err != nil {
		return r, &UnreadableRecordError{Key: key, Reason: err.Error()}
	}
	r.Body = body
	return r, nil
}

func lookup[V any](m map[string]V, name string) (any, bool) {
	v, ok := m[name]
	return v, ok
}

func (c *Config) vmsIn(centre string) map[string]VM {
	out := make(map[string]VM)
	for name, v := range c.VMs {
		if v.Centre == centre {
			out[name] = v
		}
	}
	return out
}
