package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"

	"almondcove/etcd"
	"almondcove/fleet"
	"almondcove/limit"
	"almondcove/peer"
)

// TestOutcomeAfterLaterChanges guards against a change that is made twice: the answer to
// its write is lost, and so many changes follow that the head no longer shows whether it
// was written.
func TestOutcomeAfterLaterChanges(t *testing.T) {
	head := func(rev uint64, past ...string) etcd.KV {
		body, err := json.Marshal(fleet.Head{Rev: rev, Stamp: fmt.Sprint("stamp-", rev), PastStamps: past})
		if err != nil {
			t.Fatal(err)
		}
		value, err := json.Marshal(fleet.Record{Key: fleet.HeadKey, Body: body})
		if err != nil {
			t.Fatal(err)
		}
		return etcd.KV{Value: value, ModRevision: 1}
	}
	written := fleet.Head{Rev: 5, Stamp: "stamp-5"}
	for _, c := range []struct {
		name string
		kv   etcd.KV
		want error
	}{
		{"written", head(5), nil},
		{"written, changed since", head(7, "stamp-6", "stamp-5"), nil},
		{"not written", head(4), &NotRecorded{}},
		{"another one written", head(7, "stamp-6", "other"), &concurrentWrite{}},
		{"not known any more", head(9, "stamp-8", "stamp-7", "stamp-6"), &Indeterminate{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := (&Entry{}).commitOutcome(c.kv, written, errors.New("answer lost"))
			gomega.NewWithT(t).Expect(fmt.Sprintf("%T", err)).To(gomega.Equal(fmt.Sprintf("%T", c.want)))
		})
	}
}

// silentHost is a host of a mesh that is never asked for anything but its state.
type silentHost struct {
	peer.Host
}

func (silentHost) State() peer.State { return peer.State{} }

// TestRemovedHolder guards against the seats of an entry that operators have removed: as
// long as the mesh knows the run that holds them, it counts as alive and nobody may claim
// them.
func TestRemovedHolder(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &Entry{
		deadRuns: map[string]time.Time{"removed": time.Now()},
		mesh: peer.New(peer.Config{Host: silentHost{}, Dial: func(context.Context, string) (net.Conn, error) {
			return nil, net.ErrClosed
		}}),
	}
	defer e.mesh.Close()
	e.config.Self.Address = netip.MustParseAddrPort("10.0.0.1:1")
	s := &seats{entry: e}
	s.learnHolders(limit.SeatAssignment{Seats: [limit.SeatsPerCentre]limit.Holder{
		1: {Name: "b", Run: "removed", Address: "10.0.0.2:1"},
		2: {Name: "c", Run: "unheard", Address: "10.0.0.3:1"},
	}})
	var runs []string
	for _, p := range e.mesh.Peers() {
		runs = append(runs, p.Identity.Run)
	}
	g.Expect(runs).To(gomega.Equal([]string{"unheard"}))
}
