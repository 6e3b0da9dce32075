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

// digestOf returns the digest of a key of at most site.MaxKeyBytes.
func digestOf(key string) Digest {
	var buffer [site.MaxKeyBytes]byte
	n := copy(buffer[:], key)
	sum := sha256.Sum256(buffer[:n])
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
	required bool
	// limited is set if an account has a quota.
	limited bool
}

// NewIndex returns the index of a configuration. last, which may be nil, is that of the previous
// one.
func NewIndex(c *site.Config, last *Index) *Index {
	x := &Index{
		accounts: make(map[Digest]*site.Account, 2*len(c.Accounts)), byID: make(map[uint32]*site.Account, len(c.Accounts)),
		removed: make(map[Digest]bool), required: c.HasAccounts,
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

func (x *Index) rememberRemoved(last *Index) {
	if last == nil {
		return
	}
	for digest := range last.accounts {
		if x.accounts[digest] == nil && len(x.removed) < maxRemoved {
			x.removed[digest] = true
		}
	}
	for digest := range last.removed {
		if x.accounts[digest] == nil && len(x.removed) < maxRemoved {
			x.removed[digest] = true
		}
	}
}

// Required reports whether requests need a key, unless their route is public.
func (x *Index) Required() bool { return x != nil && x.required }

// Identify looks up the account of a request by all values of its key field. It neither blocks
// nor allocates.
func (x *Index) Identify(values []string) (Identity, Status) {
	if x == nil || len(values) != 1 || values[0] == "" || len(values[0]) > site.MaxKeyBytes {
		return Identity{}, Unknown
	}
	digest := digestOf(values[0])
	if a := x.accounts[digest]; a != nil {
		return Identity{Account: a, Digest: digest}, Known
	}
	if x.removed[digest] {
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
