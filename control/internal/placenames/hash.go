// Package placenames lets a node and its decider agree on the names and order
// of the places in a report, so that later reports need not carry them.
package placenames

import (
	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/observe"
)

// separator stands after each name, which holds no byte 0.
const separator = "\x00"

// Hash returns a number for the services and places in their order, never 0.
func Hash(places []observe.PlaceLoad) uint32 {
	var h xxhash.Digest
	h.Reset()
	for i := range places {
		for _, part := range [...]string{string(places[i].Service), separator, string(places[i].Place), separator} {
			// A digest takes every write.
			_, _ = h.WriteString(part)
		}
	}
	return max(uint32(h.Sum64()), 1)
}
