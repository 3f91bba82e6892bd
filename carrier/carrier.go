// Package carrier lets an owner call its VMs through other entries, so that the calls of a
// large fleet do not all take the processor and the link of one entry.
//
// The owner decides on each call: its fencing token, its times and when it is made. A carrier
// makes the call and returns the answer. It keeps no state of the VMs, so a lost carrier
// loses only the answers that it owes, and a call that it makes late is refused by the VM
// for its fencing token or its time, like any other late call.
//
// Each VM has one carrier in its own data centre, by rendezvous hashing. Calls and replies
// travel in batches on one stream for each carrier. VMs without a carrier are called
// directly, and so are those whose carrier fails until another one takes over.
//
// # Usage
//
// At the owner, a [Client] takes the place of direct calls:
//
//	c := carrier.New(carrier.Config{Direct: vms, Dial: dial, Log: log})
//	c.SetEntries(carrier.Choose(entries, vmsByCentre, 400))
//	report, result := c.Hold(ctx, vm, hold)
//
// At the other entries, [Serve] makes the calls:
//
//	err := carrier.Serve(ctx, vms, stream)
package carrier

import (
	"context"
	"net/netip"
	"time"

	"almondcove/schedule"
)

// VMs makes calls to VMs. Its methods are those of the owner's interface of this name.
type VMs interface {
	Hold(ctx context.Context, vm schedule.VM, h schedule.Hold) (schedule.Report, schedule.Result)
	Start(ctx context.Context, vm schedule.VM, s schedule.Start) schedule.Result
	Stop(ctx context.Context, vm schedule.VM, s schedule.Stop) schedule.Result
	Pace(ctx context.Context, vm schedule.VM, p schedule.Pace) schedule.Result
}

// Entry is an entry that may carry calls.
type Entry struct {
	Name string
	// Run identifies the process; it differs after a restart.
	Run     string
	Centre  string
	Address netip.AddrPort
	// Power is the processor capacity of the entry, in thousandths of a processor.
	Power int
}

// Order is what a call asks of a VM: a [Hold], [Start], [Stop] or [Pace].
type Order interface {
	order()
}

// The kinds of orders.
type (
	// Hold renews the leases of a VM's runs and asks for a report.
	Hold struct{ schedule.Hold }
	// Start orders a VM to run a task.
	Start struct{ schedule.Start }
	// Stop orders a VM to end a run.
	Stop struct{ schedule.Stop }
	// Pace orders a VM to throttle a run.
	Pace struct{ schedule.Pace }
)

func (Hold) order()  {}
func (Start) order() {}
func (Stop) order()  {}
func (Pace) order()  {}

// Call is a call to a VM as it is passed to a carrier.
type Call struct {
	// Number identifies the call on its stream.
	Number uint64
	// VM is the ID of the VM.
	VM      string
	Address netip.AddrPort
	// Timeout is how long the carrier may wait for the VM's answer.
	Timeout time.Duration
	Order   Order
}

// Reply is the result of a call.
type Reply struct {
	// Number is that of the call.
	Number uint64
	Result schedule.Result
	// Report is the answer to a hold that was accepted.
	Report schedule.Report
}

// execute makes a call.
func execute(ctx context.Context, vms VMs, vm schedule.VM, o Order) (schedule.Report, schedule.Result) {
	switch o := o.(type) {
	case Hold:
		return vms.Hold(ctx, vm, o.Hold)
	case Start:
		return schedule.Report{}, vms.Start(ctx, vm, o.Start)
	case Stop:
		return schedule.Report{}, vms.Stop(ctx, vm, o.Stop)
	case Pace:
		return schedule.Report{}, vms.Pace(ctx, vm, o.Pace)
	}
	return schedule.Report{}, schedule.Unsent
}
