package upstream

import (
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
)

// bodyIntact reports whether body has the length and the digest that the headers
// state.
func bodyIntact(h http.Header, body []byte) bool {
	n, err := strconv.Atoi(h.Get("Content-Length"))
	if err != nil || n != len(body) {
		return false
	}
	sum := sha256.Sum256(body)
	want := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	for digest := range strings.SplitSeq(h.Get(HeaderDigest), ",") {
		if strings.TrimSpace(digest) == want {
			return true
		}
	}
	return false
}
