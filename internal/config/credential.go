package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Credential is a named bearer token, of which only the SHA-256 hash is stored, in lower-case hex.
type Credential struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"`
}

// HashToken returns the hash that Credential stores for a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// SameHash reports in constant time whether two token hashes are equal.
func SameHash(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
