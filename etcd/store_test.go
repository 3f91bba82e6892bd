package etcd_test

import (
	"net/netip"
	"testing"

	"almondcove/etcd"
	"almondcove/network"
	"almondcove/standin"
	"almondcove/store"
	"almondcove/store/storetest"
)

// TestStore checks Store against the contract of store.Store.
func TestStore(t *testing.T) {
	storetest.Run(t, func(t *testing.T) store.Store {
		running, err := standin.Serve(network.TCP{}, netip.MustParseAddrPort("127.0.0.1:0"), standin.NewPlatform())
		if err != nil {
			t.Fatal(err)
		}
		c := etcd.New(etcd.Config{URLs: []string{running.URL()}})
		t.Cleanup(func() {
			c.Close()
			running.Close()
		})
		return etcd.NewStore(c)
	})
}
