package item

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Item is one state of a key. Items are immutable: share Body, never change it.
type Item struct {
	Key      string
	Epoch    uint64
	Sequence uint64
	Body     []byte
	// Deleted marks a tombstone: the key was removed at this version.
	Deleted bool
	// Sum is the hash over all the fields above.
	Sum uint64
}

// New makes an item. A nil body makes a tombstone.
func New(key string, epoch, sequence uint64, body []byte) Item {
	it := Item{Key: key, Epoch: epoch, Sequence: sequence, Body: body, Deleted: body == nil}
	it.Sum = it.sum()
	return it
}

// NewerThan reports whether the item replaces old. Versions are ordered by
// (epoch, sequence).
//
// Two states may claim one version when a store was restored and written
// again. Without a third criterion half of the nodes would keep one state and
// half the other for good, and every comparison would find a difference it
// can't repair. The hash is the same on every node, so all settle on one.
func (it Item) NewerThan(old Item) bool {
	return VersionNewer(it.Epoch, it.Sequence, it.Sum, old.Epoch, old.Sequence, old.Sum)
}

// SameVersion reports whether both claim the same (epoch, sequence).
func (it Item) SameVersion(old Item) bool {
	return it.Epoch == old.Epoch && it.Sequence == old.Sequence
}

// VersionNewer reports whether version a (epoch, sequence, sum) replaces b.
func VersionNewer(aEpoch, aSequence, aSum, bEpoch, bSequence, bSum uint64) bool {
	if aEpoch != bEpoch {
		return aEpoch > bEpoch
	}
	if aSequence != bSequence {
		return aSequence > bSequence
	}
	return aSum > bSum
}

// sum hashes the item. The key's length goes first, so that no two different
// items feed the hash the same bytes.
func (it Item) sum() uint64 {
	var head [25]byte
	binary.LittleEndian.PutUint64(head[0:], uint64(len(it.Key)))
	binary.LittleEndian.PutUint64(head[8:], it.Epoch)
	binary.LittleEndian.PutUint64(head[16:], it.Sequence)
	if it.Deleted {
		head[24] = 1
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(it.Key)
	_, _ = d.Write(it.Body)
	return d.Sum64()
}
