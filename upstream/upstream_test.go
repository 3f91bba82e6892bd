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

// withUpstream calls f with a client and the address of one upstream that h
// serves, in a synctest bubble with a fake clock.
func withUpstream(t *testing.T, h http.Handler, f func(g *gomega.WithT, c *upstream.Client, vm netip.AddrPort, net *standin.Network)) {
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

// newRequest returns a request that must start within 1 s and runs for at most 5 s.
func newRequest(id string) upstream.Request {
	return upstream.Request{ID: task.ID(id), Team: "t", Queue: "q", Body: []byte("x"), NotAfter: time.Now().Add(time.Second), Lease: 5 * time.Second}
}

// TestFaults checks what the client concludes about a task when the upstream
// shows one fault: a wrong proof would make an entry run the task twice or lose it.
// Each case sets a fault of the stand-in before it sends the task, and checks the
// proof and the number of starts.
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
		// The pause outlasts NotAfter, so the VM refuses the task as late.
		{"pause", 3 * time.Second, task.Refused, 0},
		{"pause", time.Hour, task.Inconclusive, 0},
	} {
		t.Run(fmt.Sprint(c.fault, c.lasts), func(t *testing.T) {
			vm := standin.NewUpstream(standin.UpstreamConfig{VM: "v", Centre: "c", Slots: 8})
			withUpstream(t, vm, func(g *gomega.WithT, client *upstream.Client, address netip.AddrPort, _ *standin.Network) {
				defer vm.Clear()
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				// The first task opens the connection and tells the client which run
				// of the VM's process it talks to.
				g.Expect(client.Run(ctx, address, newRequest("first")).Proof).To(gomega.Equal(task.Done))
				if c.fault != "" {
					vm.Fault(c.fault, c.lasts)
				}
				res := client.Run(ctx, address, newRequest("second"))
				g.Expect(res.Proof).To(gomega.Equal(c.proof), "%v", res)
				g.Expect(vm.Starts()).To(gomega.HaveLen(1 + c.starts))
			})
		})
	}
}

// TestRestartProvesNothing guards against taking the task for not run when the VM
// restarts while the task runs. The connection is cut, and the restarted VM no
// longer knows the task, which proves nothing about whether it ran.
func TestRestartProvesNothing(t *testing.T) {
	vm := standin.NewUpstream(standin.UpstreamConfig{VM: "v", Centre: "c", Slots: 8})
	withUpstream(t, vm, func(g *gomega.WithT, client *upstream.Client, address netip.AddrPort, _ *standin.Network) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		g.Expect(client.Run(ctx, address, newRequest("first")).Proof).To(gomega.Equal(task.Done))
		vm.Fault("cut", 0)
		done := make(chan upstream.Result, 1)
		go func() { done <- client.Run(ctx, address, newRequest("second")) }()
		time.Sleep(10 * time.Millisecond)
		g.Expect(client.Reboot(ctx, address)).To(gomega.BeTrue())
		res := <-done
		g.Expect(res.Proof.AllowsResend()).To(gomega.BeFalse(), "%v", res)
	})
}

// TestNobodyThere checks that a task counts as unsent only if the connection could
// not be opened. It sends one task to an address without a listener, and another
// over an open connection after the network has been partitioned.
func TestNobodyThere(t *testing.T) {
	vm := standin.NewUpstream(standin.UpstreamConfig{VM: "v", Centre: "c", Slots: 8})
	withUpstream(t, vm, func(g *gomega.WithT, client *upstream.Client, address netip.AddrPort, net *standin.Network) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		nobody := netip.AddrPortFrom(vmHost, 81)
		g.Expect(client.Run(ctx, nobody, newRequest("first")).Proof).To(gomega.Equal(task.Unsent))
		g.Expect(client.Run(ctx, address, newRequest("second")).Proof).To(gomega.Equal(task.Done))
		net.Partition(entryHost, vmHost)
		res := client.Run(ctx, address, newRequest("third"))
		g.Expect(res.Proof).To(gomega.Equal(task.Inconclusive))
		g.Expect(vm.Starts()).To(gomega.HaveLen(1))
	})
}

// TestForgedAnswers guards against accepting a response that is incomplete or
// belongs to another task. Each case changes or omits one header of a valid
// response.
func TestForgedAnswers(t *testing.T) {
	const body = "hello"
	validHeaders := map[string]string{
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
		{"another task's answer", upstream.HeaderTask, "y", task.Inconclusive},
		{"wrong digest", upstream.HeaderDigest, "sha-256=:AAAA:", task.Inconclusive},
		{"no digest", upstream.HeaderDigest, "", task.Inconclusive},
		{"no word whether it ran", upstream.HeaderRun, "", task.Inconclusive},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPut {
					w.WriteHeader(http.StatusTeapot)
					return
				}
				for name, value := range validHeaders {
					if name == c.header {
						value = c.value
					}
					if value != "" {
						w.Header().Set(name, value)
					}
				}
				_, _ = w.Write([]byte(body))
			})
			withUpstream(t, h, func(g *gomega.WithT, client *upstream.Client, address netip.AddrPort, _ *standin.Network) {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				res := client.Run(ctx, address, newRequest("x"))
				g.Expect(res.Proof).To(gomega.Equal(c.proof))
				if c.proof == task.Done {
					g.Expect(string(res.Answer.Body)).To(gomega.Equal(body))
				}
			})
		})
	}
}
