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
	seeds     = flag.Uint64("lease.seeds", 40, "how many random stories to run")
	firstSeed = flag.Uint64("lease.first", 1, "seed of the first random story")
)

const (
	candidates = 3
	steps      = 400
	maxStep    = 500 * time.Millisecond
	// maxSkew of a clock rate is below the election's margin.
	maxSkew = 0.04
)

// story is one random run: candidates with clocks of different rates and
// faulty links to one service.
type story struct {
	t      *testing.T
	source *rand.Rand
	kv     *memkv.Store
	all    []*candidate
	// newest is the highest epoch that anybody held.
	newest uint64
	terms  int
	// ended are epochs that their holder was seen not to hold any more.
	ended map[uint64]bool
	held  map[*candidate]uint64
}

func (s *story) add() *candidate {
	rate := 1 + maxSkew*(2*s.source.Float64()-1)
	return start(s.t, s.kv, fmt.Sprint("candidate ", len(s.all)), rate)
}

// act does one random thing to one candidate.
func (s *story) act() {
	i := s.source.IntN(candidates)
	c := s.all[i]
	switch s.source.IntN(8) {
	case 0:
		c.link.SetOutage(true)
	case 1, 2:
		c.link.SetOutage(false)
		c.link.SetChooser(nil)
	case 3:
		c.link.SetChooser(faultkv.Random(s.source.Uint64(), faultkv.Rates{
			Drop: 0.15, LoseAnswer: 0.3, ApplyLate: 0.3, MaxDelay: 2 * ttl,
		}))
	case 4:
		c.link.SetChooser(faultkv.Random(s.source.Uint64(), faultkv.Rates{MaxDelay: ttl / 2}))
	case 5:
		c.stop()
		s.all[i] = s.add()
	}
}

// check fails if two hold the key, or if one holds what the service says is
// not its own. memkv is asked directly: it is the truth.
func (s *story) check() {
	holders := 0
	for _, c := range s.all {
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
			s.t.Fatalf("epoch %d was not held and is held again", epoch)
		}
		truth, err := lease.Lookup(s.t.Context(), s.kv, key)
		if err != nil || truth.Epoch != epoch {
			s.t.Fatalf("epoch %d is believed held, the service shows %d (%v)", epoch, truth.Epoch, err)
		}
		if epoch < s.newest {
			s.t.Fatalf("epoch %d is held after %d", epoch, s.newest)
		}
		if epoch > s.newest {
			s.newest = epoch
			s.terms++
		}
	}
	if holders > 1 {
		s.t.Fatalf("%d candidates hold the key", holders)
	}
}

func runStory(t *testing.T, seed uint64) (terms int) {
	synctest.Test(t, func(t *testing.T) {
		s := &story{
			t:      t,
			source: rand.New(rand.NewPCG(seed, seed)),
			kv:     memkv.New(memkv.Options{}),
			ended:  map[uint64]bool{},
			held:   map[*candidate]uint64{},
		}
		for range candidates {
			s.all = append(s.all, s.add())
		}
		for range steps {
			s.act()
			settle(time.Duration(s.source.Int64N(int64(maxStep))))
			s.check()
		}
		terms = s.terms
	})
	return terms
}

// Story: three nodes campaign for one account, with clocks that run fast or
// slow. Their links fail, lose answers, deliver writes long after, and stall
// for longer than the lease; nodes end and are replaced. At no time may a
// node hold the key when the service has it for another or for nobody.
func TestRandomStories(t *testing.T) {
	terms := 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		n := runStory(t, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		terms += n
	}
	if terms < int(*seeds) {
		t.Errorf("only %d terms in %d stories: the check sees too little", terms, *seeds)
	}
	t.Logf("%d terms", terms)
}
