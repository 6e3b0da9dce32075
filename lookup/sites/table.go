// Package sites gives each block of client addresses one site by the shares
// of a flow. The choice is that of steering/pick.ForBlock, made once for a
// fixed number of buckets instead of once a look-up: a look-up then costs one
// array access whatever the number of sites.
package sites

import (
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/steering/pick"
)

// Buckets is the number of groups of blocks that share a site. One bucket is
// 244 ppm of the blocks, the grain of the shares that the table can follow.
const Buckets = 4096

// Table holds the site of every bucket for one flow. It is immutable; every
// node builds the same table from the same flow.
type Table struct {
	names   []model.PlaceName
	buckets [Buckets]uint16
}

// New returns the table of a flow. Without any share every site is "".
func New(flow *plan.Flow) *Table {
	t := &Table{names: []model.PlaceName{""}}
	if flow == nil {
		return t
	}
	indexes := make(map[model.PlaceName]uint16, len(flow.Shares))
	for i := range flow.Shares {
		place := flow.Shares[i].Place
		indexes[place] = uint16(len(t.names))
		t.names = append(t.names, place)
	}
	for bucket := range t.buckets {
		t.buckets[bucket] = indexes[pick.ForBlock(flow, bucketHash(uint32(bucket)))]
	}
	return t
}

// Site returns the site of a block, given the block's hash.
func (t *Table) Site(blockHash uint32) model.PlaceName {
	return t.names[t.buckets[blockHash%Buckets]]
}

// bucketHash spreads the small bucket numbers over 64 bits.
func bucketHash(bucket uint32) uint64 {
	return (uint64(bucket) + 1) * 0x9e3779b97f4a7c15
}
