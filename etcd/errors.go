package etcd

import "fmt"

// Unreachable reports a call that was never sent.
type Unreachable struct {
	Path  string
	Cause error
}

func (e *Unreachable) Error() string {
	return "etcd: unreachable: " + e.Path + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.Cause }

// Uncertain reports a call whose response was lost or unusable. A write may have
// taken effect.
type Uncertain struct {
	Path  string
	Cause error
}

func (e *Uncertain) Error() string {
	return "etcd: answer lost: " + e.Path + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Uncertain) Unwrap() error { return e.Cause }

// Rejected reports a call that the service rejected. Status is zero if the client
// could not build the request.
type Rejected struct {
	Path    string
	Status  int
	Message string
}

func (e *Rejected) Error() string {
	return fmt.Sprintf("etcd: %s refused with status %d: %s", e.Path, e.Status, e.Message)
}

// LeaseExpired reports that a lease has expired or was revoked.
type LeaseExpired struct {
	ID int64
}

func (e *LeaseExpired) Error() string {
	return fmt.Sprintf("etcd: lease %d has ended", e.ID)
}

// WatchCanceled reports a watch that the service canceled. If the start of the watch
// was compacted, CompactRevision is the first revision that the service can still
// report; otherwise it is zero.
type WatchCanceled struct {
	CompactRevision int64
}

func (e *WatchCanceled) Error() string {
	return fmt.Sprintf("etcd: watch canceled, history starts at revision %d", e.CompactRevision)
}

// NoURL reports a client without URLs.
type NoURL struct{}

func (e *NoURL) Error() string { return "etcd: no URL configured" }
