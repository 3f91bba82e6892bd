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

// talk runs f with a client and the stand-in on a paused clock.
func talk(t *testing.T, f func(g *gomega.WithT, c *etcd.Client, store *standin.Platform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		net := &standin.Network{}
		host := netip.MustParseAddr("10.0.0.1")
		store := standin.NewPlatform()
		running, err := standin.Serve(net.ForHost(host), netip.AddrPortFrom(host, 0), store)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		c := etcd.New(etcd.Config{URLs: []string{running.URL()}, Dial: net.ForHost(host).DialContext})
		defer func() {
			c.Close()
			running.Close()
		}()
		f(g, c, store)
	})
}

// put writes key under a guard.
func put(c *etcd.Client, key string, guard etcd.Compare) (etcd.TxnResponse, error) {
	return c.Commit(context.Background(), etcd.TxnRequest{
		Compare: []etcd.Compare{guard},
		Success: []etcd.Op{etcd.Put(key, []byte("v"))},
		Failure: []etcd.Op{etcd.Read(key)},
	})
}

func TestCompareAndSwap(t *testing.T) {
	talk(t, func(g *gomega.WithT, c *etcd.Client, _ *standin.Platform) {
		ctx := context.Background()
		done, err := put(c, "a", etcd.Absent("a"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(done.Succeeded).To(gomega.BeTrue())
		done, err = put(c, "a", etcd.Absent("a"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(done.Succeeded).To(gomega.BeFalse())
		g.Expect(done.Responses[0].Range.KVs).To(gomega.HaveLen(1))
		kv, err := c.Get(ctx, "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, guard := range []etcd.Compare{etcd.Unchanged(kv), etcd.Holds("a", []byte("v"))} {
			done, err = put(c, "a", guard)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(done.Succeeded).To(gomega.BeTrue())
		}
		done, err = put(c, "a", etcd.Unchanged(kv))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(done.Succeeded).To(gomega.BeFalse())
	})
}

// TestFaultsOfAWrite says what each fault tells the writer, and what it did.
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
			talk(t, func(g *gomega.WithT, client *etcd.Client, store *standin.Platform) {
				if c.fault != "" {
					store.Fault(c.fault, time.Minute)
				}
				_, err := put(client, "a", etcd.Absent("a"))
				if c.fails {
					// Something was sent, so the write may have taken effect.
					_, uncertain := errors.Into[*etcd.Uncertain](err)
					g.Expect(uncertain).To(gomega.BeTrue(), "%v", err)
				} else {
					g.Expect(err).NotTo(gomega.HaveOccurred())
				}
				store.Clear()
				kv, err := client.Get(context.Background(), "a")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(kv.Mod > 0).To(gomega.Equal(c.wrote))
			})
		})
	}
}

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

func TestLeases(t *testing.T) {
	talk(t, func(g *gomega.WithT, c *etcd.Client, store *standin.Platform) {
		ctx := context.Background()
		id, err := c.Grant(ctx, 5*time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = c.Commit(ctx, etcd.TxnRequest{Success: []etcd.Op{etcd.PutLeased("a", nil, id)}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for range 3 {
			time.Sleep(4 * time.Second)
			g.Expect(c.KeepAlive(ctx, id)).To(gomega.Succeed())
		}
		store.Fault("lapse", time.Millisecond)
		_, lapsed := errors.Into[*etcd.Lapsed](c.KeepAlive(ctx, id))
		g.Expect(lapsed).To(gomega.BeTrue())
		kv, err := c.Get(ctx, "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(kv.Mod).To(gomega.BeZero())
	})
}

func TestWatch(t *testing.T) {
	talk(t, func(g *gomega.WithT, c *etcd.Client, store *standin.Platform) {
		ctx := context.Background()
		store.Put("v/a", []byte("1"))
		_, rev, err := c.List(ctx, "v/")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		store.Put("v/b", []byte("2"))
		store.Put("w/c", []byte("3"))
		var seen []string
		broke := make(chan error, 1)
		go func() {
			broke <- c.Watch(ctx, "v/", rev+1, func(events []etcd.Event, _ int64) error {
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
		store.Fault("rewind", time.Millisecond)
		g.Expect(<-broke).To(gomega.HaveOccurred())
	})
}
