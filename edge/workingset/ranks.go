package workingset

const (
	// accountRanks and routeRanks bound the priorities that are told apart. Less urgent ones share the
	// last rank, so that messages and state stay bounded whatever the configuration holds.
	accountRanks = 4
	routeRanks   = 4
	// Ranks is the number of ranks; rank 0 is the most urgent one.
	Ranks = accountRanks * routeRanks
)

// RankOf returns the rank of requests by the priorities of their account and of their route, of which
// the account's counts first.
func RankOf(account, route int) int {
	return min(max(account, 0), accountRanks-1)*routeRanks + min(max(route, 0), routeRanks-1)
}
