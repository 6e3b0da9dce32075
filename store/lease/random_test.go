package lease_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/lease"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

var (
	seeds     = flag.Uint64("lease.seeds", 40, "number of random simulations to run")
	firstSeed = flag.Uint64("lease.first", 1, "seed of the first random simulation")
)

const (
	candidateCount = 3
	steps          = 400
	maxStep        = 500 * time.Millisecond
	// maxSkew is the largest deviation of a clock rate, below the election's margin.
	maxSkew = 0.04
)

// simulation is a random run of candidates with clocks of different rates and
// faulty connections to one service.
type simulation struct {
	t          *testing.T
	rng        *rand.Rand
	kv         *memkv.Store
	candidates []*candidate
	// highestEpoch is the highest epoch held so far.
	highestEpoch uint64
	terms        int
	// ended has the epochs whose term was seen to end.
	ended map[uint64]bool
	held  map[*candidate]uint64
}

func (s *simulation) add() *candidate {
	rate := 1 + maxSkew*(2*s.rng.Float64()-1)
	return start(s.t, s.kv, fmt.Sprint("candidate ", len(s.candidates)), rate)
}

// injectFault changes the connection of one candidate at random or restarts it.
func (s *simulation) injectFault() {
	i := s.rng.IntN(candidateCount)
	c := s.candidates[i]
	switch s.rng.IntN(8) {
	case 0:
		c.link.SetOutage(true)
	case 1, 2:
		c.link.SetOutage(false)
		c.link.SetChooser(nil)
	case 3:
		c.link.SetChooser(faultkv.Random(s.rng.Uint64(), faultkv.Rates{
			Drop: 0.15, LoseAnswer: 0.3, ApplyLate: 0.3, MaxDelay: 2 * ttl,
		}))
	case 4:
		c.link.SetChooser(faultkv.Random(s.rng.Uint64(), faultkv.Rates{MaxDelay: ttl / 2}))
	case 5:
		c.stop()
		s.candidates[i] = s.add()
	}
}

// checkInvariants fails if two candidates hold the key, or if a holder differs
// from the one that memkv has.
func (s *simulation) checkInvariants() {
	holders := 0
	for _, c := range s.candidates {
		epoch, ok := c.Held()
		if was := s.held[c]; was != epoch {
			s.ended[was] = true
		}
		s.held[c] = epoch
		if !ok {
			continue
		}
		holders++
		if s.ended[epoch] {
			s.t.Fatalf("epoch %d is held again after its term ended", epoch)
		}
		actual, err := lease.Lookup(s.t.Context(), s.kv, key)
		if err != nil || actual.Epoch != epoch {
			s.t.Fatalf("a candidate reports epoch %d as held, the service has %d (%v)", epoch, actual.Epoch, err)
		}
		if epoch < s.highestEpoch {
			s.t.Fatalf("epoch %d is held after %d", epoch, s.highestEpoch)
		}
		if epoch > s.highestEpoch {
			s.highestEpoch = epoch
			s.terms++
		}
	}
	if holders > 1 {
		s.t.Fatalf("%d candidates hold the key", holders)
	}
}

func runSimulation(t *testing.T, seed uint64) (terms int) {
	synctest.Test(t, func(t *testing.T) {
		s := &simulation{
			t:     t,
			rng:   rand.New(rand.NewPCG(seed, seed)),
			kv:    memkv.New(memkv.Options{}),
			ended: map[uint64]bool{},
			held:  map[*candidate]uint64{},
		}
		for range candidateCount {
			s.candidates = append(s.candidates, s.add())
		}
		for range steps {
			s.injectFault()
			advance(time.Duration(s.rng.Int64N(int64(maxStep))))
			s.checkInvariants()
		}
		terms = s.terms
	})
	return terms
}

// Candidates with skewed clocks, failing or slow connections and restarts: at no
// time may one hold the key while the service has it for another or for none.
func TestRandomFaults(t *testing.T) {
	terms := 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		n := runSimulation(t, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		terms += n
	}
	if terms < int(*seeds) {
		t.Errorf("only %d terms in %d simulations: too few to check the invariants", terms, *seeds)
	}
	t.Logf("%d terms", terms)
}
