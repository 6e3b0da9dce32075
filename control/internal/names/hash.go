// Package names lets a node and its decider agree on the words of a message, so
// that later messages carry a hash in place of them. No hash is 0.
package names

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// separator stands after each name, which holds no byte 0.
const separator = "\x00"

// Hasher hashes names in their order.
type Hasher struct{ digest xxhash.Digest }

// NewHasher returns a hasher of no names.
func NewHasher() *Hasher {
	h := &Hasher{}
	h.digest.Reset()
	return h
}

// Add adds a name. A digest takes every write.
func (h *Hasher) Add(name string) {
	_, _ = h.digest.WriteString(name)
	_, _ = h.digest.WriteString(separator)
}

// Sum returns the hash of what was added.
func (h *Hasher) Sum() uint64 { return max(h.digest.Sum64(), 1) }

// short is the hash where a collision costs a wrong measurement only.
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

// HashNode hashes all that names a life of a node.
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
