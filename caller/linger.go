package caller

import (
	"io"
	"net/http"
	"time"

	"almondcove/intake"
)

const (
	// lingerTimeout and lingerBytes bound what is read of a request's body after its
	// response.
	lingerTimeout = 5 * time.Second
	lingerBytes   = 64 << 20
	// serverBytes is what [http.Server] reads of a body before it sends the response.
	serverBytes = 256 << 10
)

// serveWithLinger serves a request. If the handler responds without reading the whole body,
// it sends the response and reads on for a bounded time: closing a connection with unread data
// resets it, and the reset may destroy the response on its way to the caller.
func serveWithLinger(h http.Handler, w http.ResponseWriter, r *http.Request) {
	r, body := intake.BeginRequest(r)
	if body == nil {
		h.ServeHTTP(w, r)
		return
	}
	short := r.ContentLength >= 0 && r.ContentLength <= serverBytes
	// A caller that waits for "100 Continue" sends no body before the response.
	if short || r.Header.Get("Expect") != "" || r.ProtoMajor != 1 {
		h.ServeHTTP(w, r)
		if !body.Ended() {
			// The server reads the rest before it sends the response.
			body.Limit(lingerTimeout)
		}
		return
	}
	control := http.NewResponseController(w)
	// Without it, the server would read the body before it sends the response. It fails on no
	// connection of HTTP/1.
	_ = control.EnableFullDuplex()
	h.ServeHTTP(w, r)
	// An error shows that the connection is broken or hijacked.
	if body.Ended() || control.Flush() != nil {
		return
	}
	body.Limit(lingerTimeout)
	// What is not read in time is given up, whatever the error.
	_, _ = io.CopyN(io.Discard, body, lingerBytes)
}
