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

// Uncertain reports a call whose answer is lost; a write may have taken effect.
type Uncertain struct {
	Path  string
	Cause error
}

func (e *Uncertain) Error() string {
	return "etcd: answer lost: " + e.Path + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Uncertain) Unwrap() error { return e.Cause }

// Rejected reports a call that the service refused.
type Rejected struct {
	Path    string
	Status  int
	Message string
}

func (e *Rejected) Error() string {
	return fmt.Sprintf("etcd: %s refused with status %d: %s", e.Path, e.Status, e.Message)
}

// Lapsed reports a lease that has ended.
type Lapsed struct {
	ID int64
}

func (e *Lapsed) Error() string {
	return fmt.Sprintf("etcd: lease %d has ended", e.ID)
}

// Canceled reports a watch that the service ended. Compact is the first
// revision that it can still report, or zero.
type Canceled struct {
	Compact int64
}

func (e *Canceled) Error() string {
	return fmt.Sprintf("etcd: watch canceled, history starts at revision %d", e.Compact)
}

// NoURL reports a client without any URL.
type NoURL struct{}

func (e *NoURL) Error() string { return "etcd: no URL configured" }
