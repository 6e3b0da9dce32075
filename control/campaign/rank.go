// Package campaign spreads the deciders of all client accounts over the nodes.
// Each account ranks the live nodes by rendezvous hashing; the first few
// campaign for its lease, so that the number of waiting calls at the store
// does not grow with the fleet.
package campaign

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Rank returns the place of a VM in an account's order of candidates, 0 for
// the first. A VM that is not among the candidates comes after all of them.
func Rank(account model.AccountName, vm string, candidates []string) int {
	own := score(account, vm)
	rank := 0
	for _, c := range candidates {
		if c == vm {
			continue
		}
		s := score(account, c)
		if s > own || s == own && c < vm {
			rank++
		}
	}
	return rank
}

// RankOrder returns the candidates sorted by their score for a name.
func RankOrder(name string, candidates []string) []string {
	ordered := append([]string(nil), candidates...)
	sort.Slice(ordered, func(i, j int) bool {
		a := score(model.AccountName(name), ordered[i])
		b := score(model.AccountName(name), ordered[j])
		if a != b {
			return a > b
		}
		return ordered[i] < ordered[j]
	})
	return ordered
}

// separator keeps the parts of a hashed name apart.
const separator = "\x00"

func score(account model.AccountName, vm string) uint64 {
	return xxhash.Sum64String(string(account) + separator + vm)
}
