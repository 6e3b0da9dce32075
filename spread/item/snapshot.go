package item

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts into which keys are divided. A comparison
// that finds a difference exchanges the versions of the parts that differ, so
// more buckets mean a larger first answer (8 bytes each) and a smaller second.
const Buckets = 64

// bucket is immutable once it is in a snapshot.
type bucket struct {
	items  map[string]Item
	digest uint64
}

// Snapshot is an immutable view of all items. Its methods take no locks.
type Snapshot struct {
	buckets [Buckets]*bucket
	digest  uint64
	count   int
}

// BucketOf returns the bucket of a key; it is the same on every node.
func BucketOf(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

// Get returns the state of a key; the item may be a tombstone.
func (s *Snapshot) Get(key string) (Item, bool) {
	it, ok := s.buckets[BucketOf(key)].items[key]
	return it, ok
}

// Len returns the number of keys, tombstones included.
func (s *Snapshot) Len() int { return s.count }

// Digest is equal on two nodes that hold the same states. It is a sum, so the
// order in which the states arrived does not matter.
func (s *Snapshot) Digest() uint64 { return s.digest }

// BucketDigest is the digest over one bucket.
func (s *Snapshot) BucketDigest(i int) uint64 { return s.buckets[i].digest }

// Bucket calls fn for each item of one bucket, in no particular order.
func (s *Snapshot) Bucket(i int, fn func(Item)) {
	for _, it := range s.buckets[i].items {
		fn(it)
	}
}

// Prefix returns the items whose key starts with prefix, sorted by key,
// tombstones included.
func (s *Snapshot) Prefix(prefix string) []Item {
	var out []Item
	for _, b := range s.buckets {
		for key, it := range b.items {
			if strings.HasPrefix(key, prefix) {
				out = append(out, it)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}
