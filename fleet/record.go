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
	// Key is KIND/NAME, for example "team/festival"; VMs are kept by data centre.
	Key string `json:"key"`
	// Rev is the revision in which the record last changed.
	Rev uint64 `json:"rev"`
	// Body is the object's JSON; a record without one marks a removed object.
	Body json.RawMessage `json:"body,omitempty"`
}

// Records returns the records that changed after revision since, the head last.
// It returns nil when nothing changed.
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

// Decode builds a configuration from base and the records of a later revision.
// The records must include the head. A head that is not newer than base gives
// *Stale, and a record that can't be read gives *Unreadable; base stays valid.
func Decode(base *Config, records []Record) (*Config, error) {
	next := base.clone()
	var head *Record
	for _, r := range records {
		if r.Key == HeadKey {
			head = &r
			continue
		}
		if err := next.put(r); err != nil {
			return nil, err
		}
	}
	if head == nil {
		return nil, &Unreadable{Key: HeadKey, Reason: "the head is missing"}
	}
	// Decoding into base's head would write over the stamps that it shares.
	next.Head = Head{}
	if err := json.Unmarshal(head.Body, &next.Head); err != nil {
		return nil, &Unreadable{Key: HeadKey, Reason: err.Error()}
	}
	if next.Head.Rev <= base.Head.Rev {
		return nil, &Stale{Held: base.Head.Rev, Offered: next.Head.Rev}
	}
	next.records[HeadKey] = *head
	return next, nil
}

// put stores a record and the object that it holds.
func (c *Config) put(r Record) error {
	kind, name, ok := strings.Cut(r.Key, "/")
	if !ok {
		return &Unreadable{Key: r.Key, Reason: "the key is not KIND/NAME"}
	}
	if old, ok := c.records[r.Key]; ok && old.Rev > r.Rev {
		return nil
	}
	var err error
	switch kind {
	case "team":
		err = putIn(c.Teams, name, r)
	case "key":
		err = putIn(c.Keys, name, r)
	case "queue":
		err = putIn(c.Queues, name, r)
	case "pool":
		err = putIn(c.Pools, name, r)
	case "preset":
		err = putIn(c.Presets, name, r)
	case "centre":
		err = putIn(c.Centres, name, r)
	case "vms":
		err = c.putVMs(name, r)
	default:
		// A newer version may know more kinds; the record is kept and passed on.
	}
	if err != nil {
		return &Unreadable{Key: r.Key, Reason: err.Error()}
	}
	c.records[r.Key] = r
	return nil
}

func putIn[V any](m map[string]V, name string, r Record) error {
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

// encode returns the record for key from the typed objects.
func (c *Config) encode(key string) (Record, error) {
	kind, name, _ := strings.Cut(key, "/")
	var v any
	found := true
	switch kind {
	case HeadKey:
		v = c.Head
	case "team":
		v, found = look(c.Teams, name)
	case "key":
		v, found = look(c.Keys, name)
	case "queue":
		v, found = look(c.Queues, name)
	case "pool":
		v, found = look(c.Pools, name)
	case "preset":
		v, found = look(c.Presets, name)
	case "centre":
		v, found = look(c.Centres, name)
	case "vms":
		v = c.vmsOf(name)
	}
	r := Record{Key: key, Rev: c.Head.Rev}
	if !found {
		return r, nil
	}
	body, err := json.Marshal(v)
	if err != nil {
		return r, &Unreadable{Key: key, Reason: err.Error()}
	}
	r.Body = body
	return r, nil
}

func look[V any](m map[string]V, name string) (any, bool) {
	v, ok := m[name]
	return v, ok
}

func (c *Config) vmsOf(centre string) map[string]VM {
	out := make(map[string]VM)
	for name, v := range c.VMs {
		if v.Centre == centre {
			out[name] = v
		}
	}
	return out
}
