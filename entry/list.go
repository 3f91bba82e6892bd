package entry

import (
	"net/netip"
	"sync"

	"almondcove/dispatch"
	"almondcove/peer"
)

// vmList is the last known copy of the platform's list of VMs. A VM that is no
// longer in the platform's list stays in the copy as gone.
type vmList struct {
	mu sync.Mutex
	// position identifies this version of the list: the run of the leader that
	// read it from the platform, and a sequence number.
	position peer.Position
	vms      map[string]listedVM
}

// listedVM is a VM in the list.
type listedVM struct {
	peer.VM
	// seq is the sequence number of the list at which the VM last changed.
	seq uint64
}

func newVMList() *vmList {
	return &vmList{vms: make(map[string]listedVM)}
}

func (l *vmList) currentPosition() peer.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position
}

// address returns the VM's address, or false when the list has never held the VM.
func (l *vmList) address(vm string) (netip.AddrPort, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.vms[vm]
	return v.Address, ok
}

// changesSince returns the VMs that changed after position p. When p belongs to
// another leader's run than the held list, it returns the whole list.
func (l *vmList) changesSince(p peer.Position) peer.VMList {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := peer.VMList{Position: l.position, Whole: p.Run != l.position.Run}
	for _, v := range l.vms {
		if out.Whole || v.seq > p.Seq {
			out.VMs = append(out.VMs, v.VM)
		}
	}
	return out
}

// applyPeerList takes over another entry's list, or the changes in it. It ignores
// changes that belong to another leader's run than the held list, since they don't
// apply to that list.
func (l *vmList) applyPeerList(from peer.VMList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !from.Whole && from.Run != l.position.Run {
		return
	}
	l.position = from.Position
	if from.Whole {
		l.replaceAll(from.VMs)
		return
	}
	for _, v := range from.VMs {
		l.vms[v.Name] = listedVM{VM: v, seq: from.Seq}
	}
}

// applyPlatformList takes over what the leader read from the platform: the whole
// list, or the VMs that changed. The list's position then belongs to the leader's
// run, given by the parameter run.
func (l *vmList) applyPlatformList(run string, vms []peer.VM, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.position.Run != run {
		l.position = peer.Position{Run: run}
	}
	l.position.Seq++
	if whole {
		l.replaceAll(vms)
		return
	}
	for _, v := range vms {
		l.put(v)
	}
}

// replaceAll replaces the whole list. VMs that are missing from vms become gone.
func (l *vmList) replaceAll(vms []peer.VM) {
	present := make(map[string]bool)
	for _, v := range vms {
		present[v.Name] = true
		l.put(v)
	}
	for name, v := range l.vms {
		if !present[name] {
			v.State = peer.VMGone
			l.put(v.VM)
		}
	}
}

// put stores a VM. A VM that becomes gone keeps its other data, such as its address.
// One that was leaving stays in state leaving when it disappears from the platform's
// list.
func (l *vmList) put(v peer.VM) {
	old, ok := l.vms[v.Name]
	if v.State == peer.VMGone {
		if !ok || old.State == peer.VMLeaving {
			return
		}
		state := v.State
		v = old.VM
		v.State = state
	}
	if ok && old.VM == v {
		return
	}
	l.vms[v.Name] = listedVM{VM: v, seq: l.position.Seq}
}

// dispatchView returns the list in the form that the dispatcher takes.
func (l *vmList) dispatchView() map[string]dispatch.ListedVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]dispatch.ListedVM, len(l.vms))
	for name, v := range l.vms {
		out[name] = dispatch.ListedVM{Slots: v.Slots, Leaving: v.State == peer.VMLeaving, Gone: v.State == peer.VMGone}
	}
	return out
}

// all returns every VM of the list.
func (l *vmList) all() []peer.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]peer.VM, 0, len(l.vms))
	for _, v := range l.vms {
		out = append(out, v.VM)
	}
	return out
}
