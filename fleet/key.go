package fleet

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// JoinKey returns the text of a key as callers send it: ID.SECRET.
func JoinKey(id, secret string) string {
	return id + "." + secret
}

// HashSecret returns the stored form of a key's secret.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the id and the team of the key that a caller sent. It
// returns false if the text is not a key, or the key is unknown, has another
// secret or is withdrawn.
func (c *Config) Authenticate(text string) (id, team string, ok bool) {
	id, secret, found := strings.Cut(text, ".")
	if !found {
		return "", "", false
	}
	// The comparison also runs for an unknown id, so that the response time
	// doesn't show whether an id exists.
	k, known := c.Keys[id]
	same := subtle.ConstantTimeCompare([]byte(HashSecret(secret)), []byte(k.Hash)) == 1
	if !known || !same || k.Withdrawn {
		return "", "", false
	}
	return id, k.Team, true
}
