package upstream_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"almondcove/standin"
	"almondcove/task"
	"almondcove/upstream"
)

var (
	entryHost = netip.MustParseAddr("10.0.0.1")
	vmHost    = netip.MustParseAddr("10.0.0.2")
)

// converse runs f with a client and one upstream, served by h, on a paused clock.
func converse(t *testing.T, h http.Handler, f func(g *gomega.WithT, c *upstream.Client, vm netip.AddrPort, net *standin.Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := &standin.Network{}
		running, err := standin.Serve(net.ForHost(vmHost), netip.AddrPortFrom(vmHost, 80), h)
		g := gomega.NewWithT(t)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		c := upstream.New(upstream.Config{Dial: net.ForHost(entryHost).DialContext})
		defer func() {
			c.Close()
			running.Close()
			synctest.Wait()
		}()
		f(g, c, running.Address, net)
	})
}

func request(id string) upstream.Request {
	return upstream.Request{ID: task.ID(id), Team: "t", Queue: "q", Body: []byte("x"), NotAfter: time.Now().Add(time.Second), Lease: 5 * time.Second}
}

// TestFaults sets one fault of the stand-in before or while a task is sent.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		fault  string
		lasts  time.Duration
		proof  task.Proof
		starts int
	}{
		{"", 0, task.Done, 1},
		{"slow", 0, task.Done, 1},
		{"crossed", 0, task.Done, 1},
		{"cut", 0, task.Done, 1},
		{"fail", 0, task.Done, 1},
		{"busy", 0, task.Refused, 0},
		{"leaving", 0, task.Refused, 0},
		{"silent", time.Millisecond, task.Refused, 0},
		{"pause", 200 * time.Millisecond, task.Done, 1},
		// After the start's bound the VM refuses the task as late.
		{"pause", 3 * time.Second, task.Refused, 0},
		{"pause", time.Hour, task.Nothing, 0},
	} {
		t.Run(fmt.Sprint(c.fault, c.lasts), func(t *testing.T) {
			vm := standin.NewUpstream(standin.UpstreamConfig{VM: "v", Centre: "c", Slots: 8})
			converse(t, vm, func(g *gomega.WithT, client *upstream.Client, address netip.AddrPort, _ *standin.Network) {
				defer vm.Clear()
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				// A first task opens the connection and names the VM's run.
				g.Expect(client.Run(ctx, address, request("first")).Proof).To(gomega.Equal(task.Done))
				if c.fault != "" {
					vm.Fault(c.fault, c.lasts)
				}
				res := client.Run(ctx, address, request("second"))
				g.Expect(res.Proof).To(gomega.Equal(c.proof), "%v", res)
				g.Expect(vm.Starts()).To(gomega.HaveLen(1 + c.starts))
			})
		})
	}
}

// TestRestartProvesNothing restarts the VM while a task runs: that it doesn't
// know the task afterwards proves nothing.
func TestRestartProvesNothing(t *testing.T) {
	vm := standin.NewUpstream(standin.UpstreamConfig{VM: "v", Centre: "c", Slots: 8})
	converse(t, vm, func(g *gomega.WithT, client *upstream.Client, address netip.AddrPort, _ *standin.Network) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		g.Expect(client.Run(ctx, address, request("first")).Proof).To(gomega.Equal(task.Done))
		vm.Fault("cut", 0)
		done := make(chan upstream.Result, 1)
		go func() { done <- client.Run(ctx, address, request("second")) }()
		time.Sleep(10 * time.Millisecond)
		g.Expect(client.Reboot(ctx, address)).To(gomega.BeTrue())
		res := <-done
		g.Expect(res.Proof.Free()).To(gomega.BeFalse(), "%v", res)
	})
}

// TestNobodyThere sends a task to an address without a listener, and across a cut.
func TestNobodyThere(t *testing.T) {
	vm := standin.NewUpstream(standin.UpstreamConfig{VM: "v", Centre: "c", Slots: 8})
	converse(t, vm, func(g *gomega.WithT, client *upstream.Client, address netip.AddrPort, net *standin.Network) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		nobody := netip.AddrPortFrom(vmHost, 81)
		g.Expect(client.Run(ctx, nobody, request("first")).Proof).To(gomega.Equal(task.Unsent))
		g.Expect(client.Run(ctx, address, request("second")).Proof).To(gomega.Equal(task.Done))
		net.Partition(entryHost, vmHost)
		res := client.Run(ctx, address, request("third"))
		g.Expect(res.Proof).To(gomega.Equal(task.Nothing))
		g.Expect(vm.Starts()).To(gomega.HaveLen(1))
	})
}

// TestForgedAnswers gives answers that must not be taken for the task's own.
func TestForgedAnswers(t *testing.T) {
	const body = "hello"
	whole := map[string]string{
		upstream.HeaderTask: "x", upstream.HeaderRun: upstream.RunYes,
		upstream.HeaderDigest: "sha-256=:LPJNul+wow4m6DsqxbninhsWHlwfp0JecwQzYpOLmCQ=:",
	}
	for _, c := range []struct {
		name   string
		header string
		value  string
		proof  task.Proof
	}{
		{"whole", "", "", task.Done},
		{"another task's answer", upstream.HeaderTask, "y", task.Nothing},
		{"wrong digest", upstream.HeaderDigest, "sha-256=:AAAA:", task.Nothing},
		{"no digest", upstream.HeaderDigest, "", task.Nothing},
		{"no word whether it ran", upstream.HeaderRun, "", task.Nothing},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPut {
					w.WriteHeader(http.StatusTeapot)
					return
				}
				for name, value := range whole {
					if name == c.header {
						value = c.value
					}
					if value != "" {
						w.Header().Set(name, value)
					}
				}
				_, _ = w.Write([]byte(body))
			})
			converse(t, h, func(g *gomega.WithT, client *upstream.Client, address netip.AddrPort, _ *standin.Network) {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				res := client.Run(ctx, address, request("x"))
				g.Expect(res.Proof).To(gomega.Equal(c.proof))
				if c.proof == task.Done {
					g.Expect(string(res.Answer.Body)).To(gomega.Equal(body))
				}
			})
		})
	}
}
