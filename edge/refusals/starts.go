package refusals

import (
	"hash/maphash"
	"time"
)

const (
	// StartSeconds is for how many seconds starts are counted, the current one included.
	StartSeconds = 10
	// maxStarted bounds the accounts and ranks that Starts.Most returns.
	maxStarted = 3
	// startSets and startWays are the sets and the entries of each set in which an account and rank may be
	// counted. All entries of one service and region take about 20 KB. A lookup compares startWays entries
	// however many accounts there are, and never allocates.
	startSets, startWays = 64, 4
)

// Started counts the requests of one account and rank that were sent to targets.
type Started struct {
	// Rank is 0 for the most urgent requests.
	Rank    int    `json:"rank"`
	Account string `json:"account"`
	Started int    `json:"started_last_10_s"`
}

// Starts counts the requests of one service and region that were sent to targets, by account, rank and second.
// If more accounts and ranks share a set than it has entries, those with the most starts stay. It is not safe for
// concurrent use.
type Starts struct {
	// began is the beginning of the first second.
	began time.Time
	seed  maphash.Seed
	sets  [startSets][startWays]starter
}

// starter is an account and rank; it is unused if it never had a start.
type starter struct {
	account string
	rank    int
	counts  [StartSeconds]uint32
	// newest is the second of the last start, and used is set at the first one.
	newest int64
	used   bool
}

// NewStarts returns a Starts without any start.
func NewStarts(now time.Time) *Starts { return &Starts{began: now, seed: maphash.MakeSeed()} }

// Add counts one start.
func (s *Starts) Add(now time.Time, account string, rank int) {
	second := s.second(now)
	set := &s.sets[(maphash.String(s.seed, account)+uint64(rank))%startSets]
	var victim *starter
	for i := range set {
		e := &set[i]
		if e.used && e.rank == rank && e.account == account {
			e.count(second)
			return
		}
		if victim == nil || e.starts(second) < victim.starts(second) {
			victim = e
		}
	}
	*victim = starter{account: account, rank: rank, newest: second, used: true}
	victim.count(second)
}

// second returns the number of whole seconds since the first one. Times of concurrent callers may be slightly out of
// order.
func (s *Starts) second(now time.Time) int64 { return max(0, int64(now.Sub(s.began)/time.Second)) }

func (e *starter) count(second int64) {
	if second-e.newest >= StartSeconds {
		clear(e.counts[:])
		e.newest = second
	}
	for e.newest < second {
		e.newest++
		e.counts[e.newest%StartSeconds] = 0
	}
	e.counts[e.newest%StartSeconds]++
}

// starts returns all starts of the window that ends at a second.
func (e *starter) starts(second int64) (n int) {
	for t := e.first(second); t <= e.newest; t++ {
		n += int(e.counts[t%StartSeconds])
	}
	return n
}

// first returns the first second of the window that ends at a second for which there is a count.
func (e *starter) first(second int64) int64 {
	return max(0, second-StartSeconds+1, e.newest-StartSeconds+1)
}

// Most returns the accounts and ranks with the most starts in the given seconds of the window.
func (s *Starts) Most(now time.Time, during *Seconds) []Started {
	second := s.second(now)
	var counted [StartSeconds]bool
	for t := max(0, second-StartSeconds+1); t <= second; t++ {
		from := s.began.Add(time.Duration(t) * time.Second)
		counted[t%StartSeconds] = during.overlaps(from, from.Add(time.Second))
	}
	most := make([]Started, 0, maxStarted+1)
	for i := range s.sets {
		for j := range s.sets[i] {
			e := &s.sets[i][j]
			if !e.used || second-e.newest >= StartSeconds {
				continue
			}
			n := 0
			for t := e.first(second); t <= e.newest; t++ {
				if counted[t%StartSeconds] {
					n += int(e.counts[t%StartSeconds])
				}
			}
			if n > 0 {
				most = insert(most, Started{Rank: e.rank, Account: e.account, Started: n})
			}
		}
	}
	return most
}

// insert keeps the maxStarted elements with the most starts in order.
func insert(most []Started, e Started) []Started {
	i := len(most)
	for i > 0 && e.precedes(most[i-1]) {
		i--
	}
	most = append(most, Started{})
	copy(most[i+1:], most[i:])
	most[i] = e
	return most[:min(len(most), maxStarted)]
}

func (e Started) precedes(other Started) bool {
	switch {
	case e.Started != other.Started:
		return e.Started > other.Started
	case e.Rank != other.Rank:
		return e.Rank < other.Rank
	}
	return e.Account < other.Account
}
