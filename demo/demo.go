// Package demo runs a whole small fleet in one process on loopback: a platform
// stand-in, upstream stand-ins, and two entries in each of two data centres.
//
// # Usage
//
//	d, err := demo.Start(ctx, demo.Config{Log: logger})
//	fmt.Println(d.Access.Callers[0], d.Access.Key)
//	defer d.Stop(ctx)
package demo

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondcove/entry"
	"almondcove/examples"
	"almondcove/fleet"
	"almondcove/limit"
	"almondcove/network"
	"almondcove/node"
	"almondcove/operator"
	"almondcove/peer"
	"almondcove/settings"
	"almondcove/standin"
)

// The shape of the demo.
const (
	upstreamSlots = 8
	entriesEach   = 2
	slowRun       = 500 * time.Millisecond
	// startTimeout bounds the time until all entries hold configuration and seats.
	startTimeout = 20 * time.Second
	startPause   = 50 * time.Millisecond
	// CallerTeam is the team whose key is granted at the start.
	CallerTeam = "festival"
)

// Config configures the demo.
type Config struct {
	Log hclog.Logger
	// Linger is passed on to the nodes.
	Linger time.Duration
	// Memory runs the demo on a network in memory instead of loopback, for tests.
	Memory *standin.Network
}

// The hosts of a demo in memory: platform and upstreams on one each, the
// entries of a data centre on another.
var (
	PlatformHost = netip.AddrFrom4([4]byte{10, 0, 0, 1})
	UpstreamHost = netip.AddrFrom4([4]byte{10, 0, 0, 2})
	EastHost     = netip.AddrFrom4([4]byte{10, 0, 1, 1})
	WestHost     = netip.AddrFrom4([4]byte{10, 0, 2, 1})
	UserHost     = netip.AddrFrom4([4]byte{10, 0, 3, 1})
)

// host returns the network and the address of a host: loopback unless the demo
// runs in memory.
func (c Config) host(a netip.Addr) (network.Network, netip.AddrPort) {
	if c.Memory == nil {
		return network.TCP{}, loopback
	}
	return c.Memory.ForHost(a), netip.AddrPortFrom(a, 0)
}

// Access is what a user needs to try the demo.
type Access struct {
	// Callers and Operators are base URLs, one for each entry in the same order.
	Callers   []string `json:"callers"`
	Operators []string `json:"operators"`
	// Upstreams are the base URLs of the upstream stand-ins.
	Upstreams []string `json:"upstreams"`
	// Platform is the URL of the platform stand-in.
	Platform string `json:"platform"`
	// Key is a caller key of team festival, Token the operators' token.
	Key   string `json:"key"`
	Token string `json:"token"`
	// Queue runs about 20 ms and Slow about 500 ms; Open is open to all.
	Queue string `json:"queue"`
	Slow  string `json:"slow"`
	Open  string `json:"open"`
}

// Demo is a running demo.
type Demo struct {
	Access Access
	Nodes  []*node.Node
	// Platform and Upstreams take faults.
	Platform  *standin.Platform
	Upstreams []*standin.Upstream
	running   []*standin.RunningServer
	config    Config
}

// Unready reports a demo that did not get ready in time.
type Unready struct {
	Waiting string
}

func (e *Unready) Error() string { return "demo: not ready in time: " + e.Waiting }

// Start returns a running demo.
func Start(ctx context.Context, c Config) (*Demo, error) {
	d := &Demo{Platform: standin.NewPlatform(), config: c}
	if err := d.start(ctx); err != nil {
		d.Stop(ctx)
		return nil, err
	}
	return d, nil
}

func (d *Demo) start(ctx context.Context) error {
	doc, err := settings.ReadDocument(examples.Fleet)
	if err != nil {
		return err
	}
	if err := d.startPlatform(); err != nil {
		return err
	}
	if err := d.startUpstreams(doc); err != nil {
		return err
	}
	token := rand.Text()
	if err := d.startNodes(doc, token); err != nil {
		return err
	}
	d.Access.Token = token
	d.Access.Queue, d.Access.Slow, d.Access.Open = "redeem", "settle", "restock"
	return d.load(ctx, doc)
}

// loopback is any free port of the loopback address.
var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

func (d *Demo) serve(host netip.Addr, h http.Handler) (*standin.RunningServer, error) {
	n, a := d.config.host(host)
	r, err := standin.Serve(n, a, h)
	if err == nil {
		d.running = append(d.running, r)
	}
	return r, err
}

func (d *Demo) startPlatform() error {
	r, err := d.serve(PlatformHost, d.Platform)
	if err != nil {
		return err
	}
	d.Access.Platform = r.URL()
	return nil
}

// startUpstreams starts a stand-in for each VM and puts it into the platform's list.
func (d *Demo) startUpstreams(doc fleet.Document) error {
	cfg := doc.Config()
	for _, name := range sortedVMs(cfg) {
		v := cfg.VMs[name]
		u := standin.NewUpstream(standin.UpstreamConfig{
			VM: name, Centre: v.Centre, Slots: upstreamSlots,
			RunTimes: map[string]fleet.Duration{"settle": fleet.Duration(slowRun)},
		})
		r, err := d.serve(UpstreamHost, u)
		if err != nil {
			return err
		}
		d.Upstreams = append(d.Upstreams, u)
		d.Access.Upstreams = append(d.Access.Upstreams, r.URL())
		d.Platform.Put(standin.VMListKey(entry.DefaultPrefix, v.Centre, name), standin.VMListValue(peer.VM{
			Centre: v.Centre, Address: r.Address, Slots: upstreamSlots, Rack: v.Centre + "-rack", State: peer.VMLive,
		}))
	}
	return nil
}

func sortedVMs(cfg *fleet.Config) []string {
	var names []string
	for name := range cfg.VMs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// startNodes starts the entries, each of which knows the first as a seed.
func (d *Demo) startNodes(doc fleet.Document, token string) error {
	hosts := map[string]netip.Addr{"east": EastHost, "west": WestHost}
	var seeds []netip.AddrPort
	for _, centre := range doc.Config().CentreNames() {
		for i := range entriesEach {
			self := peer.Member{Name: centre + "-" + string(rune('a'+i)), Centre: centre}
			n, err := d.startNode(self, hosts[centre], seeds, token)
			if err != nil {
				return err
			}
			seeds = append(seeds, n.Entry().Self().Address)
			d.Nodes = append(d.Nodes, n)
			d.Access.Callers = append(d.Access.Callers, "http://"+n.Callers().String())
			d.Access.Operators = append(d.Access.Operators, "http://"+n.Operators().String())
		}
	}
	return nil
}

func (d *Demo) startNode(self peer.Member, host netip.Addr, seeds []netip.AddrPort, token string) (*node.Node, error) {
	n, a := d.config.host(host)
	l, err := n.Listen(a)
	if err != nil {
		return nil, err
	}
	self.Address = network.AddrPort(l.Addr())
	log := d.config.Log
	if log != nil {
		log = log.Named(self.Name)
	}
	return node.Start(node.Config{
		Entry: entry.Config{
			Self:     self,
			Seeds:    slices.Clone(seeds),
			Platform: []string{d.Access.Platform},
			Listener: l,
			Network:  n,
			Log:      log,
		},
		Callers:   a,
		Operators: a,
		TokenHash: fleet.HashSecret(token),
		Linger:    d.config.Linger,
	})
}

// load loads the example configuration, grants a key and waits until every
// entry is ready.
func (d *Demo) load(ctx context.Context, doc fleet.Document) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := d.Operator(0)
	if err := d.await(ctx, "the entries to find each other", d.acquainted); err != nil {
		return err
	}
	if _, err := client.Change(ctx, http.MethodPut, "/config", doc, startTimeout); err != nil {
		return err
	}
	grant, err := client.Change(ctx, http.MethodPost, "/keys", map[string]string{"team": CallerTeam}, startTimeout)
	if err != nil {
		return err
	}
	d.Access.Key = grant.Key
	return d.await(ctx, "all seats to be held", d.seated)
}

func (d *Demo) await(ctx context.Context, what string, ready func() bool) error {
	for !ready() {
		timer := time.NewTimer(startPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &Unready{Waiting: what}
		}
	}
	return nil
}

// acquainted reports whether every entry knows all others.
func (d *Demo) acquainted() bool {
	for _, n := range d.Nodes {
		live := 0
		for _, p := range n.Entry().Status().Entries {
			if p.State == "live" {
				live++
			}
		}
		if live < len(d.Nodes)-1 {
			return false
		}
	}
	return true
}

// seated reports whether the entries hold all seats of their data centres and
// know the VMs.
func (d *Demo) seated() bool {
	for _, n := range d.Nodes {
		s := n.Entry().Status()
		if len(s.Seats) != limit.SeatsPerCentre/entriesEach {
			return false
		}
		for _, v := range s.VMs {
			if v.State != string(peer.VMLive) {
				return false
			}
		}
	}
	return true
}

// Add starts one more entry in a data centre of the demo. It knows the others
// as seeds, and is ready once it holds a configuration.
func (d *Demo) Add(name, centre string) (*node.Node, error) {
	hosts := map[string]netip.Addr{"east": EastHost, "west": WestHost}
	var seeds []netip.AddrPort
	for _, n := range d.Nodes {
		seeds = append(seeds, n.Entry().Self().Address)
	}
	n, err := d.startNode(peer.Member{Name: name, Centre: centre}, hosts[centre], seeds, d.Access.Token)
	if err != nil {
		return nil, err
	}
	d.Nodes = append(d.Nodes, n)
	d.Access.Callers = append(d.Access.Callers, "http://"+n.Callers().String())
	d.Access.Operators = append(d.Access.Operators, "http://"+n.Operators().String())
	return n, nil
}

// Operator returns the operators' client of one entry.
func (d *Demo) Operator(i int) operator.Client {
	return operator.Client{URL: d.Access.Operators[i], Token: d.Access.Token, HTTP: d.HTTP()}
}

// HTTP returns a client that reaches the demo. It opens a new connection for
// each request.
func (d *Demo) HTTP() *http.Client {
	n, _ := d.config.host(UserHost)
	return &http.Client{Transport: &http.Transport{DialContext: n.DialContext, DisableKeepAlives: true}}
}

// Clear ends all faults of the stand-ins.
func (d *Demo) Clear() {
	d.Platform.Clear()
	for _, u := range d.Upstreams {
		u.Clear()
	}
}

// Stop ends the demo; the entries shut down gracefully until ctx ends.
func (d *Demo) Stop(ctx context.Context) {
	var all sync.WaitGroup
	for _, n := range d.Nodes {
		all.Go(func() {
			// What was cut stands in the log.
			_ = n.Stop(ctx)
		})
	}
	all.Wait()
	for _, r := range d.running {
		r.Close()
	}
}

// JSON returns the access as one line.
func (a Access) JSON() string {
	text, err := json.Marshal(a)
	if err != nil {
		// The fields are plain strings, which always encode.
		panic(err)
	}
	return string(text)
}
