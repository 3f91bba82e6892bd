package caller_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"almondcove/caller"
)

// pipeListener accepts the given connections.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestResponseBeforeBodyIsRead guards against a response that a caller loses because the
// connection is closed while the caller still sends a body that the server does not want.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	const length, chunk = 4 << 20, 64 << 10
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		s := caller.NewServer(caller.ServerConfig{
			HeaderTimeout: time.Second, IdleTimeout: time.Second,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) }),
		})
		go func() { _ = s.Serve(l) }()
		defer s.Close()
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		l.conns <- server
		status := make(chan string, 1)
		go func() {
			line, _ := bufio.NewReader(client).ReadString('\n')
			status <- line
		}()
		_, err := fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for range length / chunk {
			// The caller takes two seconds to send the body, as a busy one may.
			time.Sleep(2 * time.Second * chunk / length)
			_, err := client.Write(make([]byte, chunk))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		g.Expect(<-status).To(gomega.HavePrefix("HTTP/1.1 413"))
	})
}
