package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Credential is a named bearer token, kept only as the SHA-256 of it in lower-case hex.
type Credential struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"`
}

// HashToken returns the form in which a token is kept.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// SameHash compares two hashes of tokens in constant time.
func SameHash(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
