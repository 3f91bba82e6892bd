package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"almondcove/etcd"
	"almondcove/network"
	"almondcove/peer"
)

// registerRetryInterval is the time between attempts to register a VM.
const registerRetryInterval = 500 * time.Millisecond

// VMListKey returns the key of a VM in the platform's list of VMs.
func VMListKey(prefix, centre, vm string) string {
	return prefix + "view/list/" + centre + "/" + vm
}

// VMListValue returns the value of a VM in the platform's list of VMs.
func VMListValue(v peer.VM) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		// All fields are strings and numbers, which always encode.
		panic(err)
	}
	return text
}

// RegisterVM adds a VM to the platform's list of VMs, as the platform itself would.
// It retries until the write succeeds or ctx ends.
func RegisterVM(ctx context.Context, c *etcd.Client, prefix string, v peer.VM) {
	for c.Put(ctx, VMListKey(prefix, v.Centre, v.Name), VMListValue(v)) != nil {
		timer := time.NewTimer(registerRetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// RunningServer is a server that serves a stand-in on an address.
type RunningServer struct {
	// Address is the address on which it listens.
	Address netip.AddrPort
	server  *http.Server
}

// Serve starts a server for a stand-in on an address; port 0 selects a free port.
// The error is a *network.ListenError.
func Serve(n network.Network, a netip.AddrPort, h http.Handler) (*RunningServer, error) {
	l, err := n.Listen(a)
	if err != nil {
		return nil, err
	}
	r := &RunningServer{
		Address: network.AddrPort(l.Addr()),
		server:  &http.Server{Handler: h, ReadHeaderTimeout: time.Minute},
	}
	if u, ok := h.(*Upstream); ok {
		l = u.Listener(l)
	}
	go func() {
		// Serve returns an error when Close ends the server.
		_ = r.server.Serve(l)
	}()
	return r, nil
}

// URL returns the base URL of the server.
func (r *RunningServer) URL() string { return "http://" + r.Address.String() }

// Close stops the server and closes its connections.
func (r *RunningServer) Close() {
	_ = r.server.Close()
}
