package ledger

import (
	"context"
	"encoding/json"
	"strings"

	"almondcove/job"
	"almondcove/store"
)

// StoredJob is one job with its state as read from the store. If the job has ended,
// Job may hold only the ID.
type StoredJob struct {
	Job   *job.Job
	State *job.State
}

// Snapshot is the complete content of the ledger.
type Snapshot struct {
	Jobs []StoredJob
	// Fleet is the record of the fleet as in [Batch]; nil means that there is none.
	Fleet []byte
	// FleetParts are the records of the VMs.
	FleetParts [][]byte
	// Bytes is the size of the keys and values that were read.
	Bytes int
}

// Loader reads the records for one term. What was read before a call failed is kept, so
// that repeated attempts come to an end however many records there are. It is not safe for
// concurrent use.
type Loader struct {
	ledger              *Ledger
	jobs, states, parts *store.Reader
}

// NewLoader returns a loader. It must be created after the election that began the term and
// used before the first commit, so that nothing changes while it reads.
func (l *Ledger) NewLoader() *Loader {
	return &Loader{
		ledger: l,
		jobs:   store.NewReader(l.config.Store, l.config.Prefix+"job/"),
		states: store.NewReader(l.config.Store, l.config.Prefix+"state/"),
		parts:  store.NewReader(l.config.Store, l.fleetPartsPrefix()),
	}
}

// Bytes returns the size of the records that have been read.
func (l *Loader) Bytes() int { return l.jobs.Bytes() + l.states.Bytes() + l.parts.Bytes() }

// Load reads the records that are missing and returns all of them. A record that can't be
// decoded is an error, because otherwise an accepted job would be lost.
func (l *Loader) Load(ctx context.Context) (Snapshot, error) {
	jobs, _, err := l.jobs.Read(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	states, _, err := l.states.Read(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	parts, _, err := l.parts.Read(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	fleet, err := l.ledger.config.Store.Get(ctx, l.ledger.fleetKey())
	if err != nil {
		return Snapshot{}, err
	}
	snapshot := Snapshot{Fleet: fleet.Value, Bytes: l.Bytes()}
	for _, part := range parts {
		snapshot.FleetParts = append(snapshot.FleetParts, part.Value)
	}
	return snapshot, l.addJobs(&snapshot, jobs, states)
}

// addJobs decodes the records of jobs and their states and adds them to a snapshot.
func (l *Loader) addJobs(snapshot *Snapshot, jobs, states []store.Item) error {
	encodedStates := make(map[string][]byte, len(states))
	for _, it := range states {
		encodedStates[strings.TrimPrefix(it.Key, l.ledger.config.Prefix+"state/")] = it.Value
	}
	for _, it := range jobs {
		j := new(job.Job)
		if err := json.Unmarshal(it.Value, j); err != nil {
			return &store.Invalid{Call: "load", Cause: err}
		}
		stored, err := decodeState(j, encodedStates[string(j.ID)])
		if err != nil {
			return err
		}
		snapshot.Jobs = append(snapshot.Jobs, stored)
		delete(encodedStates, string(j.ID))
	}
	for id, value := range encodedStates {
		stored, err := decodeState(&job.Job{ID: job.ID(id)}, value)
		if err != nil {
			return err
		}
		if !stored.State.Phase().Final() {
			return &store.Invalid{Call: "load", Cause: &OrphanedState{stored.Job.ID}}
		}
		snapshot.Jobs = append(snapshot.Jobs, stored)
	}
	return nil
}

// OrphanedState reports a state record without a job record, for a job that has
// not ended.
type OrphanedState struct {
	Job job.ID
}

func (e *OrphanedState) Error() string {
	return "ledger: state of unfinished job " + string(e.Job) + " has no job record"
}

// decodeState returns a job with the state decoded from data, or with a new state
// if data is nil.
func decodeState(j *job.Job, data []byte) (StoredJob, error) {
	s := job.NewState(j)
	if data == nil {
		return StoredJob{j, s}, nil
	}
	return StoredJob{j, s}, s.Load(data)
}
