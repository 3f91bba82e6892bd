package schedule

import (
	"cmp"
	"slices"

	"almondcove/record"
)

// maxRecordedName bounds the names in the record of a VM that the next owner can do without, and
// all its labels together.
const maxRecordedName = 1 << 10

// recordedVM returns what the record of a VM holds of its entry in the platform's list. The next
// owner has the rest from the list. Any writer can leave an entry there, with texts of any length.
func recordedVM(v VM) VM {
	labels := 0
	for _, label := range v.Labels {
		labels += len(label) + len(`"",`)
	}
	if labels > maxRecordedName {
		v.Labels = nil
	}
	v.Centre = recordedName(v.Centre)
	return v
}

// recordedName returns a name, or nothing if it is too long for a record.
func recordedName(name string) string {
	if len(name) > maxRecordedName {
		return ""
	}
	return name
}

// encodePart encodes a part of the record of the fleet. If that is longer than the store takes,
// it gives up what the part can do without: the list of the runs on VMs, for which the next owner
// then waits, and after that VMs that can't run anything and get no tasks until they are recorded.
func (c *Core) encodePart(part *FleetPart) (err error) {
	part.encoded, err = record.Encode(part)
	excess := len(part.encoded) - c.config.MaxRecordBytes
	if err != nil || c.config.MaxRecordBytes == 0 || excess <= 0 {
		return err
	}
	inexact := part.dropRuns(&excess)
	omitted := part.omitVMs(&excess, func(p Place) bool { return c.mayRunTasks(p.ID) })
	c.config.Log.Warn("part of the fleet shortened", "part", part.Number, "bytes", len(part.encoded), "limit", c.config.MaxRecordBytes,
		"inexact", inexact, "omitted", omitted)
	part.encoded, err = record.Encode(part)
	return err
}

// dropRuns records VMs as not exact, those with the most runs first, until that has saved the
// excess. It returns their number.
func (p *FleetPart) dropRuns(excess *int) int {
	var exact []*Place
	for i := range p.VMs {
		if p.VMs[i].Exact {
			exact = append(exact, &p.VMs[i])
		}
	}
	slices.SortFunc(exact, func(a, b *Place) int {
		return cmp.Or(cmp.Compare(len(b.Held), len(a.Held)), cmp.Compare(a.ID, b.ID))
	})
	n := 0
	for _, place := range exact {
		if *excess <= 0 {
			break
		}
		before := place.encodedBytes()
		place.Exact, place.Held, place.Left = false, nil, 0
		*excess -= before - place.encodedBytes()
		n++
	}
	return n
}

// omitVMs leaves VMs out, except those to be kept, until that has saved the excess. It returns
// their number.
func (p *FleetPart) omitVMs(excess *int, keep func(Place) bool) int {
	before := len(p.VMs)
	p.VMs = slices.DeleteFunc(p.VMs, func(place Place) bool {
		if *excess <= 0 || keep(place) {
			return false
		}
		*excess -= place.encodedBytes()
		return true
	})
	return before - len(p.VMs)
}

func (p *Place) encodedBytes() int {
	// Encoding can't fail, since the part was encoded.
	data, _ := record.Encode(p)
	return len(data)
}

// mayRunTasks reports whether a VM may run tasks, so that its record must not be dropped.
func (c *Core) mayRunTasks(id string) bool {
	v := c.vms[id]
	return v != nil && (v.recorded || v.noRenewal || len(v.runs) > 0 || len(v.unrecordedEnds) > 0 || c.gates[id] != nil)
}
