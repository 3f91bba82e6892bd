package upstream

import (
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
)

// whole reports whether body has the length and digest that the headers name.
func whole(h http.Header, body []byte) bool {
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
