package entry

import "fmt"

// Rewound reports a platform that has lost history: it holds an older state than the
// entry has already seen.
type Rewound struct {
	// Held is the highest revision of the configuration, or sequence number of the
	// seat record, that the entry has seen.
	Held uint64
	// Platform is the revision or sequence number that the platform holds.
	Platform uint64
}

func (e *Rewound) Error() string {
	return fmt.Sprintf("entry: the platform has lost history: it holds revision %d and the entries hold %d; "+
		"nothing was changed; \"almondcove config restore\" writes the entries' configuration back", e.Platform, e.Held)
}

// Forked reports a platform whose configuration differs from the entry's under the
// same revision.
type Forked struct {
	// Rev is the revision that both hold.
	Rev uint64
}

func (e *Forked) Error() string {
	return fmt.Sprintf("entry: the platform holds another configuration under revision %d; nothing was changed; "+
		"\"almondcove config restore\" writes the entries' configuration over it", e.Rev)
}

// NotRecorded reports a change that did not take effect.
type NotRecorded struct {
	Cause error
}

func (e *NotRecorded) Error() string {
	return "entry: not recorded, nothing was changed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotRecorded) Unwrap() error { return e.Cause }

// Indeterminate reports a change whose answer from the platform was lost, so that
// it may or may not have taken effect.
type Indeterminate struct {
	Cause error
}

func (e *Indeterminate) Error() string {
	return "entry: the platform's answer is lost, the change may take effect: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Indeterminate) Unwrap() error { return e.Cause }

// Unready reports an entry that holds no configuration yet.
type Unready struct{}

func (e *Unready) Error() string { return "entry: no configuration yet" }
