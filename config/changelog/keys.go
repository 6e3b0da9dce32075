package changelog

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

// HeadPrefix is the prefix of all head keys.
const HeadPrefix = "config/head/"

const (
	objectPrefix = "config/object/"
	auditPrefix  = "config/audit/"
	ownerPrefix  = "config/owner/"
)

// hashBytes is how much of the SHA-256 sum names a document: 192 bits, so that
// nobody can make two texts of one name.
const hashBytes = 24

// Hash returns the name of a document's text.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}

func headKey(template string) string { return HeadPrefix + template }

func objectKey(hash string) string { return objectPrefix + hash }

func auditKey(template, id string) string { return auditPrefix + template + "/" + id }

// ownerKey belongs to the template whose head lists the account. An account's
// versions are ordered by that head's sequence, so no second head may list it.
func ownerKey(account string) string { return ownerPrefix + account }

// TemplateOf returns the template of a head key.
func TemplateOf(key string) string { return strings.TrimPrefix(key, HeadPrefix) }
