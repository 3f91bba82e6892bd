package etcd_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"

	"almondcove/etcd"
	"almondcove/standin"
)

// withStandin calls f with a client and the stand-in of the service, in a
// synctest bubble with a fake clock.
func withStandin(t *testing.T, f func(g *gomega.WithT, c *etcd.Client, platform *standin.Platform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		net := &standin.Network{}
		host := netip.MustParseAddr("10.0.0.1")
		platform := standin.NewPlatform()
		running, err := standin.Serve(net.ForHost(host), netip.AddrPortFrom(host, 0), platform)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		c := etcd.New(etcd.Config{URLs: []string{running.URL()}, Dial: net.ForHost(host).DialContext})
		defer func() {
			c.Close()
			running.Close()
		}()
		f(g, c, platform)
	})
}

// putGuarded writes key if the guard holds, and reads it otherwise.
func putGuarded(c *etcd.Client, key string, guard etcd.Compare) (etcd.TxnResponse, error) {
	return c.Commit(context.Background(), etcd.TxnRequest{
		Compare: []etcd.Compare{guard},
		Success: []etcd.Op{etcd.OpPut(key, []byte("v"))},
		Failure: []etcd.Op{etcd.OpGet(key)},
	})
}

// TestCompareAndSwap checks that a transaction writes only if its comparison holds,
// for each kind of comparison.
func TestCompareAndSwap(t *testing.T) {
	withStandin(t, func(g *gomega.WithT, c *etcd.Client, _ *standin.Platform) {
		ctx := context.Background()
		done, err := putGuarded(c, "a", etcd.Absent("a"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(done.Succeeded).To(gomega.BeTrue())
		done, err = putGuarded(c, "a", etcd.Absent("a"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(done.Succeeded).To(gomega.BeFalse())
		g.Expect(done.Responses[0].Range.KVs).To(gomega.HaveLen(1))
		kv, err := c.Get(ctx, "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, guard := range []etcd.Compare{etcd.Unchanged(kv), etcd.ValueEquals("a", []byte("v"))} {
			done, err = putGuarded(c, "a", guard)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(done.Succeeded).To(gomega.BeTrue())
		}
		done, err = putGuarded(c, "a", etcd.Unchanged(kv))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(done.Succeeded).To(gomega.BeFalse())
	})
}

// TestFaultsOfAWrite guards against an error that says a write had no effect when
// it may have had one. Each case sets one fault of the service, and checks the
// error and whether the key was written.
func TestFaultsOfAWrite(t *testing.T) {
	for _, c := range []struct {
		fault string
		fails bool
		wrote bool
	}{
		{"", false, true},
		{"slow", false, true},
		{"down", true, false},
		{"lost", true, true},
	} {
		t.Run(c.fault, func(t *testing.T) {
			withStandin(t, func(g *gomega.WithT, client *etcd.Client, platform *standin.Platform) {
				if c.fault != "" {
					platform.Fault(c.fault, time.Minute)
				}
				_, err := putGuarded(client, "a", etcd.Absent("a"))
				if c.fails {
					// The request was sent, so the write may have taken effect.
					_, uncertain := errors.Into[*etcd.Uncertain](err)
					g.Expect(uncertain).To(gomega.BeTrue(), "%v", err)
				} else {
					g.Expect(err).NotTo(gomega.HaveOccurred())
				}
				platform.Clear()
				kv, err := client.Get(context.Background(), "a")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(kv.ModRevision > 0).To(gomega.Equal(c.wrote))
			})
		})
	}
}

// TestNobodyListens checks that a call to an address without a listener is reported
// as never sent.
func TestNobodyListens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		host := netip.MustParseAddr("10.0.0.1")
		c := etcd.New(etcd.Config{URLs: []string{"http://10.0.0.1:1"}, Dial: (&standin.Network{}).ForHost(host).DialContext})
		_, err := c.Get(t.Context(), "a")
		_, unreachable := errors.Into[*etcd.Unreachable](err)
		g.Expect(unreachable).To(gomega.BeTrue(), "%v", err)
	})
}

// TestLeases checks that renewals keep a lease alive, and that the end of a lease
// deletes its keys and is reported by the next renewal.
func TestLeases(t *testing.T) {
	withStandin(t, func(g *gomega.WithT, c *etcd.Client, platform *standin.Platform) {
		ctx := context.Background()
		id, err := c.Grant(ctx, 5*time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = c.Commit(ctx, etcd.TxnRequest{Success: []etcd.Op{etcd.OpPutWithLease("a", nil, id)}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for range 3 {
			time.Sleep(4 * time.Second)
			g.Expect(c.KeepAlive(ctx, id)).To(gomega.Succeed())
		}
		platform.Fault("lapse", time.Millisecond)
		_, expired := errors.Into[*etcd.LeaseExpired](c.KeepAlive(ctx, id))
		g.Expect(expired).To(gomega.BeTrue())
		kv, err := c.Get(ctx, "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(kv.ModRevision).To(gomega.BeZero())
	})
}

// TestWatch checks that a watch reports the changes after the listed revision under
// its prefix, and that it returns when the stream breaks.
func TestWatch(t *testing.T) {
	withStandin(t, func(g *gomega.WithT, c *etcd.Client, platform *standin.Platform) {
		ctx := context.Background()
		platform.Put("v/a", []byte("1"))
		_, rev, err := c.List(ctx, "v/")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		platform.Put("v/b", []byte("2"))
		platform.Put("w/c", []byte("3"))
		var seen []string
		watchErr := make(chan error, 1)
		go func() {
			watchErr <- c.Watch(ctx, "v/", rev+1, func(events []etcd.Event, _ int64) error {
				for _, e := range events {
					seen = append(seen, string(e.KV.Key)+" "+string(e.KV.Value))
				}
				return nil
			})
		}()
		time.Sleep(time.Second)
		g.Expect(c.Delete(ctx, "v/a")).To(gomega.Succeed())
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(seen).To(gomega.Equal([]string{"v/b 2", "v/a "}))
		platform.Fault("rewind", time.Millisecond)
		g.Expect(<-watchErr).To(gomega.HaveOccurred())
	})
}
