package entry

import (
	"net/netip"
	"sync"

	"almondcove/dispatch"
	"almondcove/peer"
)

// list is the platform's list of VMs as last read. VMs that it shows no more
// stay in it as gone.
type list struct {
	mu       sync.Mutex
	position peer.Position
	vms      map[string]listed
}

type listed struct {
	peer.VM
	// seq is the position at which the VM last changed.
	seq uint64
}

func newList() *list {
	return &list{vms: make(map[string]listed)}
}

// at returns the list's position.
func (l *list) at() peer.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position
}

// address returns the VM's address.
func (l *list) address(vm string) (netip.AddrPort, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.vms[vm]
	return v.Address, ok
}

// since returns what changed after a position.
func (l *list) since(p peer.Position) peer.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := peer.List{Position: l.position, Whole: p.Run != l.position.Run}
	for _, v := range l.vms {
		if out.Whole || v.seq > p.Seq {
			out.VMs = append(out.VMs, v.VM)
		}
	}
	return out
}

// take follows another entry's list.
func (l *list) take(from peer.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !from.Whole && from.Run != l.position.Run {
		return
	}
	l.position = from.Position
	if from.Whole {
		l.whole(from.VMs)
		return
	}
	for _, v := range from.VMs {
		l.vms[v.Name] = listed{VM: v, seq: from.Seq}
	}
}

// read takes over what the leader read from the platform: the whole list, or
// the VMs that changed. The list's positions are then the leader's own.
func (l *list) read(run string, vms []peer.VM, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.position.Run != run {
		l.position = peer.Position{Run: run}
	}
	l.position.Seq++
	if whole {
		l.whole(vms)
		return
	}
	for _, v := range vms {
		l.put(v)
	}
}

// whole replaces the list; VMs that are missing are gone.
func (l *list) whole(vms []peer.VM) {
	shown := make(map[string]bool)
	for _, v := range vms {
		shown[v.Name] = true
		l.put(v)
	}
	for name, v := range l.vms {
		if !shown[name] {
			v.State = peer.Gone
			l.put(v.VM)
		}
	}
}

// put stores a VM. One that goes keeps its last address, and one that went
// while leaving stays leaving.
func (l *list) put(v peer.VM) {
	old, ok := l.vms[v.Name]
	if v.State == peer.Gone {
		if !ok || old.State == peer.Leaving {
			return
		}
		state := v.State
		v = old.VM
		v.State = state
	}
	if ok && old.VM == v {
		return
	}
	l.vms[v.Name] = listed{VM: v, seq: l.position.Seq}
}

// view returns the list as the dispatcher reads it.
func (l *list) view() map[string]dispatch.ListedVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]dispatch.ListedVM, len(l.vms))
	for name, v := range l.vms {
		out[name] = dispatch.ListedVM{Slots: v.Slots, Leaving: v.State == peer.Leaving, Gone: v.State == peer.Gone}
	}
	return out
}

// all returns every VM of the list.
func (l *list) all() []peer.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]peer.VM, 0, len(l.vms))
	for _, v := range l.vms {
		out = append(out, v.VM)
	}
	return out
}
