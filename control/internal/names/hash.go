// Package names hashes the names in messages, so that a node and its decider can omit
// names that both know. No hash is 0.
package names

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// separator follows each name. Names contain no zero byte.
const separator = "\x00"

// Hasher hashes names in their order.
type Hasher struct{ digest xxhash.Digest }

// NewHasher returns an empty hasher.
func NewHasher() *Hasher {
	h := &Hasher{}
	h.digest.Reset()
	return h
}

// Add adds a name. Writes to the digest cannot fail.
func (h *Hasher) Add(name string) {
	_, _ = h.digest.WriteString(name)
	_, _ = h.digest.WriteString(separator)
}

// Sum returns the hash of the added names.
func (h *Hasher) Sum() uint64 { return max(h.digest.Sum64(), 1) }

// short returns a 32-bit hash, for uses where a collision only falsifies a measurement.
func (h *Hasher) short() uint32 { return max(uint32(h.digest.Sum64()), 1) }

// HashPlaces hashes the services and places of loads.
func HashPlaces(places []observe.PlaceLoad) uint32 {
	h := NewHasher()
	for i := range places {
		h.Add(string(places[i].Service))
		h.Add(string(places[i].Place))
	}
	return h.short()
}

// HashFlows hashes the services and callers of flows.
func HashFlows(flows []observe.FlowDemand) uint32 {
	h := NewHasher()
	for i := range flows {
		h.Add(string(flows[i].Service))
		h.Add(string(flows[i].Caller))
	}
	return h.short()
}

// HashNode hashes the identity of a node incarnation.
func HashNode(ref *peerpb.NodeRef) uint64 {
	h := NewHasher()
	for _, name := range [...]string{ref.GetVm(), ref.GetPeerAddress(), ref.GetPlace(), ref.GetRegion()} {
		h.Add(name)
	}
	var incarnation [8]byte
	binary.LittleEndian.PutUint64(incarnation[:], ref.GetIncarnation())
	_, _ = h.digest.Write(incarnation[:])
	return h.Sum()
}
