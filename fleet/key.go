package fleet

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// JoinKey returns the text of a key as callers show it: ID.SECRET.
func JoinKey(id, secret string) string {
	return id + "." + secret
}

// HashSecret returns the stored form of a key's secret.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the id and the team of the key that a caller showed. It
// reports false for text that is no key, an unknown key and a withdrawn one.
func (c *Config) Authenticate(text string) (id, team string, ok bool) {
	id, secret, found := strings.Cut(text, ".")
	if !found {
		return "", "", false
	}
	// An unknown id is compared too, so that its answer takes as long.
	k, known := c.Keys[id]
	same := subtle.ConstantTimeCompare([]byte(HashSecret(secret)), []byte(k.Hash)) == 1
	if !known || !same || k.Gone {
		return "", "", false
	}
	return id, k.Team, true
}
