// Package demo runs a complete small fleet in one process on loopback: a platform
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

// The size of the demo fleet and the times of its start.
const (
	upstreamSlots    = 8
	entriesPerCentre = 2
	slowTaskDuration = 500 * time.Millisecond
	// startTimeout bounds the time until all entries have the configuration and hold
	// their seats.
	startTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// CallerTeam is the team that gets the caller key granted during the start.
	CallerTeam = "festival"
)

// Config configures the demo.
type Config struct {
	Log hclog.Logger
	// Linger is the Linger of each node; see [node.Config].
	Linger time.Duration
	// MemoryNetwork, if not nil, replaces loopback by an in-memory network, for tests.
	MemoryNetwork *standin.Network
}

// The hosts of a demo on an in-memory network: one for the platform, one for all
// upstreams, one for the entries of each data centre, and one for the user.
var (
	PlatformHost = netip.AddrFrom4([4]byte{10, 0, 0, 1})
	UpstreamHost = netip.AddrFrom4([4]byte{10, 0, 0, 2})
	EastHost     = netip.AddrFrom4([4]byte{10, 0, 1, 1})
	WestHost     = netip.AddrFrom4([4]byte{10, 0, 2, 1})
	UserHost     = netip.AddrFrom4([4]byte{10, 0, 3, 1})
)

// hostNetwork returns the network that a host uses and the address on which its
// servers listen. Without an in-memory network, it returns TCP and loopback.
func (c Config) hostNetwork(a netip.Addr) (network.Network, netip.AddrPort) {
	if c.MemoryNetwork == nil {
		return network.TCP{}, loopback
	}
	return c.MemoryNetwork.ForHost(a), netip.AddrPortFrom(a, 0)
}

// Access is what a user needs to try the demo.
type Access struct {
	// Callers and Operators are the base URLs of the entries' interfaces for callers
	// and for operators. Index i of both belongs to entry i.
	Callers   []string `json:"callers"`
	Operators []string `json:"operators"`
	// Upstreams are the base URLs of the upstream stand-ins.
	Upstreams []string `json:"upstreams"`
	// Platform is the URL of the platform stand-in.
	Platform string `json:"platform"`
	// Key is a caller key of team [CallerTeam]. Token is the operators' token.
	Key   string `json:"key"`
	Token string `json:"token"`
	// Queue names a queue whose tasks run about 20 ms, and SlowQueue one whose tasks
	// run about 500 ms. OpenQueue names a queue that needs no key.
	Queue     string `json:"queue"`
	SlowQueue string `json:"slow"`
	OpenQueue string `json:"open"`
}

// Demo is a running demo.
type Demo struct {
	Access Access
	Nodes  []*node.Node
	// Platform and Upstreams are the stand-ins. Tests inject faults into them.
	Platform  *standin.Platform
	Upstreams []*standin.Upstream
	servers   []*standin.RunningServer
	config    Config
}

// NotReadyError reports that the start ended before the demo was ready: the start
// timeout passed or the context of [Start] ended.
type NotReadyError struct {
	// Condition is the condition that the start waited for.
	Condition string
}

func (e *NotReadyError) Error() string {
	return "demo: start ended with an unmet condition: " + e.Condition
}

// Start starts a demo and returns it once every entry is ready. If the entries are
// not ready in time, the error is *NotReadyError.
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
	d.Access.Queue, d.Access.SlowQueue, d.Access.OpenQueue = "redeem", "settle", "restock"
	return d.configure(ctx, doc)
}

// loopback is the loopback address with port 0, which takes any free port.
var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// serve starts a server for h on a host. [Demo.Stop] closes it.
func (d *Demo) serve(host netip.Addr, h http.Handler) (*standin.RunningServer, error) {
	n, a := d.config.hostNetwork(host)
	r, err := standin.Serve(n, a, h)
	if err == nil {
		d.servers = append(d.servers, r)
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

// startUpstreams starts an upstream stand-in for each VM of the configuration and
// adds it to the platform's list of VMs.
func (d *Demo) startUpstreams(doc fleet.Document) error {
	cfg := doc.Config()
	for _, name := range sortedVMNames(cfg) {
		v := cfg.VMs[name]
		u := standin.NewUpstream(standin.UpstreamConfig{
			VM: name, Centre: v.Centre, Slots: upstreamSlots,
			RunTimes: map[string]fleet.Duration{"settle": fleet.Duration(slowTaskDuration)},
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

func sortedVMNames(cfg *fleet.Config) []string {
	var names []string
	for name := range cfg.VMs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// startNodes starts the entries one after another. Each has the entries started
// before it as seeds.
func (d *Demo) startNodes(doc fleet.Document, token string) error {
	hosts := map[string]netip.Addr{"east": EastHost, "west": WestHost}
	var seeds []netip.AddrPort
	for _, centre := range doc.Config().CentreNames() {
		for i := range entriesPerCentre {
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
	n, a := d.config.hostNetwork(host)
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

// configure waits until the entries are connected, loads the example
// configuration, grants a caller key and waits until every entry is ready.
func (d *Demo) configure(ctx context.Context, doc fleet.Document) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := d.OperatorClient(0)
	if err := d.waitUntil(ctx, "every entry sees the other entries live", d.allEntriesConnected); err != nil {
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
	return d.waitUntil(ctx, "the entries hold all seats and see all VMs live", d.seatsAndVMsReady)
}

// waitUntil polls ready until it reports true. If ctx ends first, the error is
// *NotReadyError with the given condition.
func (d *Demo) waitUntil(ctx context.Context, condition string, ready func() bool) error {
	for !ready() {
		timer := time.NewTimer(readyPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &NotReadyError{Condition: condition}
		}
	}
	return nil
}

// allEntriesConnected reports whether every entry sees all other entries as live.
func (d *Demo) allEntriesConnected() bool {
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

// seatsAndVMsReady reports whether every entry holds an equal part of the seats of
// its data centre and sees all VMs as live.
func (d *Demo) seatsAndVMsReady() bool {
	for _, n := range d.Nodes {
		s := n.Entry().Status()
		if len(s.Seats) != limit.SeatsPerCentre/entriesPerCentre {
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

// AddEntry starts one more entry in a data centre of the demo, with all entries so
// far as its seeds. It does not wait: the entry is ready once it has fetched a
// configuration.
func (d *Demo) AddEntry(name, centre string) (*node.Node, error) {
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

// OperatorClient returns a client for the operators' interface of entry i.
func (d *Demo) OperatorClient(i int) operator.Client {
	return operator.Client{URL: d.Access.Operators[i], Token: d.Access.Token, HTTP: d.HTTPClient()}
}

// HTTPClient returns an HTTP client that reaches the demo from the user's host. It
// opens a new connection for each request.
func (d *Demo) HTTPClient() *http.Client {
	n, _ := d.config.hostNetwork(UserHost)
	return &http.Client{Transport: &http.Transport{DialContext: n.DialContext, DisableKeepAlives: true}}
}

// ClearFaults ends all faults of the platform and the upstreams.
func (d *Demo) ClearFaults() {
	d.Platform.Clear()
	for _, u := range d.Upstreams {
		u.Clear()
	}
}

// Stop stops the demo. The entries shut down gracefully; when ctx ends, they cut
// what is left.
func (d *Demo) Stop(ctx context.Context) {
	var wg sync.WaitGroup
	for _, n := range d.Nodes {
		wg.Go(func() {
			// The error is not needed: the entry records how many requests it cut.
			_ = n.Stop(ctx)
		})
	}
	wg.Wait()
	for _, r := range d.servers {
		r.Close()
	}
}

// JSON returns a as one line of JSON.
func (a Access) JSON() string {
	text, err := json.Marshal(a)
	if err != nil {
		// The fields are plain strings, which always encode.
		panic(err)
	}
	return string(text)
}
