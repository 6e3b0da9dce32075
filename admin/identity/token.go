package identity

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

const (
	tokenBytes = 32
	// tokenPrefix lets scanners for leaked secrets find tokens.
	tokenPrefix = "yuccaroute_"
)

// NewToken returns a random token and the hash to store for it.
func NewToken() (token, hash string) {
	random := make([]byte, tokenBytes)
	// crypto/rand.Read never fails; it ends the process if it could.
	_, _ = rand.Read(random)
	token = tokenPrefix + base64.RawURLEncoding.EncodeToString(random)
	return token, HashOf(token)
}

// HashOf returns the hash to store for a token.
func HashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
