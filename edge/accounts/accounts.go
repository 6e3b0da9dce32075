// Package accounts identifies the client account of a request by the key that its caller sends.
//
// An Index belongs to one configuration and is immutable. It holds digests in place of keys, so
// that a key neither stays in memory for longer than its configuration nor reaches another VM.
package accounts

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/edge/quota"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// Digest identifies a key. It is a truncated cryptographic hash.
type Digest [16]byte

// String implements fmt.Stringer.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

var errInvalidDigest = errors.New("accounts: invalid digest")

// ParseDigest parses the result of Digest.String.
func ParseDigest(text string) (d Digest, err error) {
	if len(text) != hex.EncodedLen(len(d)) {
		return d, errInvalidDigest
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return Digest{}, errInvalidDigest
	}
	return d, nil
}

// commonKeyBytes is the length up to which the digest of a key is computed without an allocation.
const commonKeyBytes = 256

// digestOf returns the digest of a key.
func digestOf(key string) Digest {
	var buffer [commonKeyBytes]byte
	data := append(buffer[:0], key...)
	sum := sha256.Sum256(data)
	return Digest(sum[:len(Digest{})])
}

// maxRemoved bounds the removed keys that an index remembers.
const maxRemoved = 4096

// Status is the result of a look-up.
type Status int

// Results of a look-up.
const (
	// Unknown: no key, more than one, or one that no known configuration held.
	Unknown Status = iota
	// Removed: an earlier configuration held the key.
	Removed
	// Refused: the configuration has the key, but its account cannot be used or told.
	Refused
	// Known: an account holds the key.
	Known
)

// Identity is the account that a key belongs to.
type Identity struct {
	Account *site.Account
	Digest  Digest
}

// Index maps keys to accounts. A nil *Index requires no keys.
type Index struct {
	accounts map[Digest]*site.Account
	byID     map[uint32]*site.Account
	removed  map[Digest]bool
	// refused are keys of the configuration that no usable account holds alone.
	refused  map[Digest]bool
	required bool
	// limited is set if an account has a quota.
	limited bool
}

// NewIndex returns the index of a configuration. last, which may be nil, is that of the previous
// one.
func NewIndex(c *site.Config, last *Index) *Index {
	x := &Index{
		accounts: make(map[Digest]*site.Account, 2*len(c.Accounts)), byID: make(map[uint32]*site.Account, len(c.Accounts)),
		removed: make(map[Digest]bool), refused: make(map[Digest]bool, len(c.RefusedKeys)), required: c.HasAccounts,
	}
	for _, key := range c.RefusedKeys {
		x.refused[digestOf(key)] = true
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		x.byID[quota.IDOf(a.Name)] = a
		x.limited = x.limited || a.Rate > 0
		for _, key := range a.Keys {
			x.accounts[digestOf(key)] = a
		}
	}
	x.rememberRemoved(last)
	return x
}

// rememberRemoved remembers the keys of the last configuration, and those removed before, that this one lacks.
func (x *Index) rememberRemoved(last *Index) {
	if last == nil {
		return
	}
	for digest := range last.accounts {
		x.remove(digest)
	}
	for digest := range last.refused {
		x.remove(digest)
	}
	for digest := range last.removed {
		x.remove(digest)
	}
}

func (x *Index) remove(digest Digest) {
	if x.accounts[digest] == nil && !x.refused[digest] && len(x.removed) < maxRemoved {
		x.removed[digest] = true
	}
}

// Required reports whether requests need a key, unless their route is public.
func (x *Index) Required() bool { return x != nil && x.required }

// Identify looks up the account of a request by all values of its key field. It does not block,
// and allocates only for keys longer than commonKeyBytes.
func (x *Index) Identify(values []string) (Identity, Status) {
	if x == nil || len(values) != 1 || values[0] == "" {
		return Identity{}, Unknown
	}
	digest := digestOf(values[0])
	if a := x.accounts[digest]; a != nil {
		return Identity{Account: a, Digest: digest}, Known
	}
	switch {
	case x.refused[digest]:
		return Identity{Digest: digest}, Refused
	case x.removed[digest]:
		return Identity{Digest: digest}, Removed
	}
	return Identity{}, Unknown
}

// Holds reports whether the key of an earlier look-up still belongs to the same account.
func (x *Index) Holds(id Identity) bool {
	if x == nil || id.Account == nil {
		return false
	}
	a := x.accounts[id.Digest]
	return a != nil && a.Name == id.Account.Name
}

// Refuses reports whether the configuration has the key of an earlier look-up for no account that can be used.
func (x *Index) Refuses(id Identity) bool { return x != nil && x.refused[id.Digest] }

// Resolve returns the identity that another VM has established, by account name and digest. It
// returns false if the key does not belong to the account here.
func (x *Index) Resolve(name, digest string) (Identity, bool) {
	d, err := ParseDigest(digest)
	if err != nil || x == nil {
		return Identity{}, false
	}
	a := x.accounts[d]
	return Identity{Account: a, Digest: d}, a != nil && a.Name == name
}

// ByID returns the account with an ID of package quota, nil if there is none.
func (x *Index) ByID(id uint32) *site.Account {
	if x == nil {
		return nil
	}
	return x.byID[id]
}

// HasQuotas reports whether an account has a quota.
func (x *Index) HasQuotas() bool { return x != nil && x.limited }
