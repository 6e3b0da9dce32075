package config

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/api/model"
)

const (
	// inlineBlocks is the largest number of caller blocks that stay inside the
	// account. Fewer cost less there than as items of their own.
	inlineBlocks = 64
	// meanSetBlocks is about how many blocks one set holds. A change of one block
	// spreads the sets it is in, so sets are small; each costs the account the 32
	// bytes of its name, so they are not smaller.
	meanSetBlocks = 2048
	// maxSetBlocks bounds a set whatever its blocks are.
	maxSetBlocks = 8 * meanSetBlocks
)

// callerSets divides blocks, sorted, into sets. Where a set ends depends only on
// the blocks near its end: a change of one block leaves all other sets as they
// were, and accounts that share most blocks share most sets.
func callerSets(blocks []model.CallerBlock) [][]model.CallerBlock {
	sorted := slices.Clone(blocks)
	slices.SortStableFunc(sorted, compareBlocks)
	var sets [][]model.CallerBlock
	begin := 0
	for i := range sorted {
		if endsSet(sorted[i].Prefix) || i+1-begin == maxSetBlocks || i+1 == len(sorted) {
			sets = append(sets, sorted[begin:i+1])
			begin = i + 1
		}
	}
	return sets
}

func compareBlocks(a, b model.CallerBlock) int {
	if order := a.Prefix.Addr().Compare(b.Prefix.Addr()); order != 0 {
		return order
	}
	return cmp.Compare(a.Prefix.Bits(), b.Prefix.Bits())
}

// endsSet is true for one prefix in meanSetBlocks, the same on every node.
func endsSet(prefix netip.Prefix) bool {
	hash := fnv.New64a()
	address := prefix.Addr().As16()
	_, _ = hash.Write(address[:])
	_, _ = hash.Write([]byte{byte(prefix.Bits())})
	return hash.Sum64()%meanSetBlocks == 0
}

// encodeCallers writes one set of blocks as the content of an item.
func encodeCallers(set []model.CallerBlock) ([]byte, error) {
	return pack(set, "caller blocks")
}

// DecodeCallers reads the sets of an account's CallerSets, in order, into one
// list of blocks sorted by prefix.
func DecodeCallers(sets [][]byte) ([]model.CallerBlock, error) {
	var blocks []model.CallerBlock
	for _, body := range sets {
		var set []model.CallerBlock
		if err := unpack(body, &set, "caller blocks"); err != nil {
			return nil, err
		}
		blocks = append(blocks, set...)
	}
	shareNames(blocks)
	return blocks, nil
}

// regionsOf lists the regions that blocks name, in the order of the blocks.
func regionsOf(blocks []model.CallerBlock) []model.RegionName {
	var names []model.RegionName
	for i := range blocks {
		if !slices.Contains(names, blocks[i].Region) {
			names = append(names, blocks[i].Region)
		}
	}
	return names
}

// Content is the content of an item and the name it goes by.
type Content struct {
	Name content.Name
	Body []byte
}

func contentOf(sets [][]model.CallerBlock) ([]Content, error) {
	var contents []Content
	for _, set := range sets {
		body, err := encodeCallers(set)
		if err != nil {
			return nil, err
		}
		contents = append(contents, Content{Name: content.NameOf(body), Body: body})
	}
	return contents, nil
}
