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

// registerPause is the time between tries to reach the platform.
const registerPause = 500 * time.Millisecond

// ListKey is where the platform's list shows a VM.
func ListKey(prefix, centre, vm string) string {
	return prefix + "view/list/" + centre + "/" + vm
}

// ListEntry is what the platform's list shows of a VM.
func ListEntry(v peer.VM) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		// The fields are plain text and numbers, which always encode.
		panic(err)
	}
	return text
}

// Register puts a VM into the platform's list, as the platform itself would,
// and tries until it is done or ctx ends.
func Register(ctx context.Context, c *etcd.Client, prefix string, v peer.VM) {
	for c.Put(ctx, ListKey(prefix, v.Centre, v.Name), ListEntry(v)) != nil {
		timer := time.NewTimer(registerPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// Running is a stand-in that serves on an address.
type Running struct {
	// Address is where it listens.
	Address netip.AddrPort
	server  *http.Server
}

// Serve starts a stand-in on an address; port 0 takes any. The error is
// *network.ListenError.
func Serve(n network.Network, a netip.AddrPort, h http.Handler) (*Running, error) {
	l, err := n.Listen(a)
	if err != nil {
		return nil, err
	}
	r := &Running{
		Address: network.AddrPort(l.Addr()),
		server:  &http.Server{Handler: h, ReadHeaderTimeout: time.Minute},
	}
	if u, ok := h.(*Upstream); ok {
		l = u.Listener(l)
	}
	go func() {
		// Serve returns when Close ends the server.
		_ = r.server.Serve(l)
	}()
	return r, nil
}

// URL returns the base URL.
func (r *Running) URL() string { return "http://" + r.Address.String() }

// Close ends the stand-in and cuts its connections.
func (r *Running) Close() {
	_ = r.server.Close()
}
