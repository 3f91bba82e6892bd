package owner

import (
	"encoding/json"

	"almondcove/ledger"
	"almondcove/record"
	"almondcove/schedule"
	"almondcove/store"
)

// fleetRecord is the stored form of the fleet without its VMs. Earlier versions stored
// the VMs in it, as a list.
type fleetRecord struct {
	schedule.Fleet
	// VMs holds the list of an earlier version. This version stores an empty object, which
	// earlier ones can't read: they would miss the VMs, and must not own the jobs.
	VMs json.RawMessage `json:"vms"`
	// Begun holds the machines whose maintenance has begun, by wave, in a record of an earlier
	// version. This version stores an empty list, which earlier ones can't read.
	Begun json.RawMessage `json:"begun"`
}

// noVMs and noneBegun are the members of a fleetRecord as this version stores them.
const (
	noVMs     = `{}`
	noneBegun = `[]`
)

// encodeFleet returns the records of the fleet in a batch, in their stored form.
func encodeFleet(r schedule.RecordBatch) (fleet []byte, parts map[int][]byte, err error) {
	if r.Fleet != nil {
		fleet, err = record.Encode(fleetRecord{Fleet: *r.Fleet, VMs: json.RawMessage(noVMs), Begun: json.RawMessage(noneBegun)})
	}
	parts = make(map[int][]byte, len(r.Parts))
	for _, part := range r.Parts {
		if err == nil {
			parts[part.Number], err = part.Encode()
		}
	}
	return fleet, parts, err
}

// addBegun adds the machines whose maintenance has begun according to a part. A record of an earlier
// version may list some of them, too.
func addBegun(f *schedule.Fleet, begun map[int64][]string) {
	for wave, machines := range begun {
		if f.Begun == nil {
			f.Begun = make(map[int64][]string)
		}
		f.Begun[wave] = append(f.Begun[wave], machines...)
	}
}

// decodeFleet returns the fleet in a snapshot. The error is [*store.Invalid].
func decodeFleet(s ledger.Snapshot) (schedule.Fleet, error) {
	var stored fleetRecord
	if s.Fleet != nil {
		if err := json.Unmarshal(s.Fleet, &stored); err != nil {
			return schedule.Fleet{}, &store.Invalid{Call: "fleet", Cause: err}
		}
	}
	out := stored.Fleet
	if len(stored.Begun) > 0 && string(stored.Begun) != noneBegun {
		if err := json.Unmarshal(stored.Begun, &out.Begun); err != nil {
			return schedule.Fleet{}, &store.Invalid{Call: "fleet", Cause: err}
		}
	}
	recorded := make(map[string]bool)
	for _, data := range s.FleetParts {
		var part schedule.FleetPart
		if err := json.Unmarshal(data, &part); err != nil {
			return schedule.Fleet{}, &store.Invalid{Call: "part of the fleet", Cause: err}
		}
		for _, place := range part.VMs {
			recorded[place.ID] = true
		}
		out.VMs = append(out.VMs, part.VMs...)
		out.Retired = append(out.Retired, part.Retired...)
		out.Queues = append(out.Queues, part.Queues...)
		out.Teams = append(out.Teams, part.Teams...)
		addBegun(&out, part.Begun)
	}
	if len(stored.VMs) == 0 || string(stored.VMs) == noVMs {
		return out, nil
	}
	out.EarlierList = true
	var earlier []schedule.Place
	if err := json.Unmarshal(stored.VMs, &earlier); err != nil {
		return schedule.Fleet{}, &store.Invalid{Call: "fleet", Cause: err}
	}
	// A part is newer than the list of an earlier version.
	for _, place := range earlier {
		if !recorded[place.ID] {
			out.VMs = append(out.VMs, place)
		}
	}
	return out, nil
}
