package peer_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"
	"google.golang.org/grpc"

	"almondcove/peer"
	"almondcove/standin"
	"almondcove/store"
)

// unreachableStore is a store to which no call can be sent.
type unreachableStore struct {
	store.Store
}

func (unreachableStore) Commit(context.Context, store.Txn) (int64, error) {
	return 0, &store.Unavailable{Call: "commit", Cause: net.ErrClosed}
}

func (unreachableStore) Get(_ context.Context, key string) (store.Item, error) {
	return store.Item{Key: key}, &store.Unavailable{Call: "get", Cause: net.ErrClosed}
}

func (unreachableStore) Watch(_ context.Context, _ string, after int64, _ time.Duration) ([]store.Event, int64, error) {
	return nil, after, &store.Unavailable{Call: "watch", Cause: net.ErrClosed}
}

// silentStore is a store that carries out commits and does not answer them.
type silentStore struct {
	store.Store
}

func (s silentStore) Commit(ctx context.Context, t store.Txn) (int64, error) {
	if _, err := s.Store.Commit(ctx, t); err != nil {
		return 0, err
	}
	<-ctx.Done()
	return 0, &store.Uncertain{Call: "commit", Cause: ctx.Err()}
}

// relayHost is an entry that only relays calls to the store.
type relayHost struct {
	peer.JobHost
	store store.Store
}

func (h relayHost) Store() store.Store { return h.store }

// startRelay starts an entry that relays calls to a store, and returns a relay whose
// own calls to the store can't be sent.
func startRelay(t *testing.T, s store.Store) *peer.Relay {
	return startRelayBeside(t, unreachableStore{}, s)
}

// startRelayBeside is like startRelay for a relay whose own calls go to direct.
func startRelayBeside(t *testing.T, direct, s store.Store) *peer.Relay {
	return relayThrough(t, direct, startHost(t, s))
}

// startHost starts an entry that relays calls to a store.
func startHost(t *testing.T, s store.Store) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(peer.ServerOptions()...)
	peer.RegisterJobs(server, relayHost{store: s})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return netip.MustParseAddrPort(listener.Addr().String())
}

// relayThrough returns a relay that makes its calls directly or through the given entries.
func relayThrough(t *testing.T, direct store.Store, hosts ...netip.AddrPort) *peer.Relay {
	links := peer.NewJobLinks((&net.Dialer{}).DialContext)
	t.Cleanup(links.Close)
	return peer.NewRelay(peer.RelayConfig{Direct: direct, Links: links, Peers: func() []netip.AddrPort { return hosts }})
}

// failingOnce is a store whose first page can't be requested.
type failingOnce struct {
	store.Store
	failed bool
}

func (s *failingOnce) ReadPage(ctx context.Context, prefix, after string) (store.Page, error) {
	if !s.failed {
		s.failed = true
		return store.Page{}, &store.Unavailable{Call: "page", Cause: net.ErrClosed}
	}
	return s.Store.ReadPage(ctx, prefix, after)
}

// withoutPages is the store of an entry that does not know pages.
type withoutPages struct {
	store.Store
}

func (withoutPages) ReadPage(context.Context, string, string) (store.Page, error) {
	return store.Page{}, &store.Invalid{Call: "page", Cause: net.ErrClosed}
}

// TestPageUnknownToPeer guards against records that are not read directly because entries
// of an earlier version, which don't know pages, answer instead of the store.
func TestPageUnknownToPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := standin.NewKeyValue()
	_, err := kv.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "k", Value: []byte("v")}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r := startRelayBeside(t, &failingOnce{Store: kv}, withoutPages{})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err = r.ReadPage(ctx, "k", "")
	unavailable, _ := errors.Into[*store.Unavailable](err)
	g.Expect(unavailable).NotTo(gomega.BeNil(), "%v", err)
	page, err := r.ReadPage(ctx, "k", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(page.Items).To(gomega.HaveLen(1))
}

// TestRelayedCommit guards against a commit that is reported as having had no effect
// although another entry, after the direct attempt failed, has passed it on.
func TestRelayedCommit(t *testing.T) {
	for _, c := range []struct {
		name         string
		losesAnswers bool
	}{{"answered", false}, {"answer lost", true}} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			kv := standin.NewKeyValue()
			r := startRelay(t, kv)
			if c.losesAnswers {
				r = startRelay(t, silentStore{kv})
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := r.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "k", Value: []byte("v")}}})
			if c.losesAnswers {
				uncertain, _ := errors.Into[*store.Uncertain](err)
				g.Expect(uncertain).NotTo(gomega.BeNil(), "%v", err)
			} else {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			it, err := kv.Get(ctx, "k")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(it.Value).To(gomega.Equal([]byte("v")), "the relayed commit took effect")
		})
	}
}

// cutOffStore is the store of an entry that has lost it.
type cutOffStore struct {
	store.Store
}

func (cutOffStore) Get(ctx context.Context, key string) (store.Item, error) {
	<-ctx.Done()
	return store.Item{Key: key}, &store.Uncertain{Call: "get", Cause: ctx.Err()}
}

// TestRelayAvoidsCutOffEntries guards against calls that go again and again through entries which
// have lost the store themselves.
func TestRelayAvoidsCutOffEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := standin.NewKeyValue()
	cutOff := cutOffStore{kv}
	r := relayThrough(t, unreachableStore{}, startHost(t, cutOff), startHost(t, cutOff), startHost(t, kv))
	failed := 0
	for range 20 {
		if _, err := r.Get(t.Context(), "k"); err != nil {
			failed++
		}
	}
	g.Expect(failed).To(gomega.BeNumerically("<=", 2), "one call through each of the entries that are cut off")
}

// slowLink is a store behind a link of 10 Mbit/s.
type slowLink struct {
	store.Store
}

func (s slowLink) Commit(ctx context.Context, t store.Txn) (int64, error) {
	bytes := 0
	for _, p := range t.Puts {
		bytes += len(p.Value) * 4 / 3
	}
	select {
	case <-time.After(time.Duration(bytes) * 8 * time.Second / 10e6):
		return s.Store.Commit(ctx, t)
	case <-ctx.Done():
		return 0, &store.Uncertain{Call: "commit", Cause: ctx.Err()}
	}
}

// TestLongCommits guards against a commit of records that the store takes and that an entry never
// makes, because its time limit is that of a short one or its message is longer than entries accept.
func TestLongCommits(t *testing.T) {
	txn := store.Txn{}
	for i := range 3 {
		txn.Puts = append(txn.Puts, store.Put{Key: string(rune('a' + i)), Value: make([]byte, 1<<20)})
	}
	for _, c := range []struct {
		name  string
		relay func(*testing.T, store.Store) *peer.Relay
	}{
		{"direct", func(t *testing.T, s store.Store) *peer.Relay { return relayThrough(t, slowLink{s}) }},
		{"relayed", func(t *testing.T, s store.Store) *peer.Relay { return startRelay(t, slowLink{s}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			k := standin.NewKeyValue()
			_, err := c.relay(t, k).Commit(t.Context(), txn)
			gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
}

// TestLongEventsThroughRelay guards against a watch through another entry that fails again and again
// because several long records have changed at once.
func TestLongEventsThroughRelay(t *testing.T) {
	g := gomega.NewWithT(t)
	k := standin.NewKeyValue()
	for i := range 6 {
		k.Write(string(rune('a'+i)), make([]byte, 1<<20))
	}
	events, _, err := startRelay(t, k).Watch(t.Context(), "", 1, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(events).To(gomega.HaveLen(6))
}
