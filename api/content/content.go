// Package content names immutable content by its hash. A name stands for the
// same bytes for ever, so content needs no version: a holder of the name can
// check what it receives, and whoever has the bytes has all there is to have.
package content

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Prefix is the prefix of the keys of items that carry content.
const Prefix = "content/"

// Name is the SHA-256 of the content. Content comes from other nodes and is
// taken for what its name says, so a weaker hash would not do.
type Name [sha256.Size]byte

// NameOf returns the name of content.
func NameOf(body []byte) Name { return sha256.Sum256(body) }

// Key returns the key of the item that carries the content.
func (n Name) Key() string { return Prefix + hex.EncodeToString(n[:]) }

// IsKey reports whether a key is that of content.
func IsKey(key string) bool { return strings.HasPrefix(key, Prefix) }

// Matches reports whether the key names this content.
func Matches(key string, body []byte) bool { return key == NameOf(body).Key() }
