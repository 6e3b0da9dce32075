package item

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of partitions of the key space. A comparison exchanges
// one 8-byte digest per bucket, then the versions of the buckets that differ.
const Buckets = 64

// bucket is immutable once it is part of a snapshot.
type bucket struct {
	items  map[string]Item
	digest uint64
}

// Snapshot is an immutable, lock-free view of all items.
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

// Digest returns a digest that is equal on nodes with the same states. It is a
// sum, so it does not depend on the order of arrival.
func (s *Snapshot) Digest() uint64 { return s.digest }

// BucketDigest returns the digest of one bucket.
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
