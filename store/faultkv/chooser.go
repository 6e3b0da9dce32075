package faultkv

import (
	"math/rand/v2"
	"time"
)

// Rates are the fractions of calls, from 0 to 1, that get each fault.
type Rates struct {
	Refuse     float64
	Drop       float64
	LoseAnswer float64
	ApplyLate  float64
	// MaxDelay bounds the random delays before and after each call is applied,
	// and the delay of a late write.
	MaxDelay time.Duration
}

// Random chooses faults with a generator seeded with seed: the same calls in the
// same order get the same faults.
func Random(seed uint64, rates Rates) Chooser {
	source := rand.New(rand.NewPCG(seed, seed))
	return func(Call) Decision {
		return Decision{
			Fault:       rates.faultAt(source.Float64()),
			DelayBefore: randomDelay(source, rates.MaxDelay),
			DelayAfter:  randomDelay(source, rates.MaxDelay),
			LateBy:      randomDelay(source, rates.MaxDelay),
		}
	}
}

func (r Rates) faultAt(sample float64) Fault {
	shares := []struct {
		fault Fault
		share float64
	}{
		{Refuse, r.Refuse},
		{Drop, r.Drop},
		{LoseAnswer, r.LoseAnswer},
		{ApplyLate, r.ApplyLate},
	}
	for _, s := range shares {
		if sample < s.share {
			return s.fault
		}
		sample -= s.share
	}
	return None
}

func randomDelay(source *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(source.Int64N(int64(limit)))
}

// Script gives the n-th call of a kind the n-th decision of its list. Calls after
// the end of the list get no fault.
func Script(decisions map[Kind][]Decision) Chooser {
	return func(call Call) Decision {
		list := decisions[call.Kind]
		if call.Number > uint64(len(list)) {
			return Decision{}
		}
		return list[call.Number-1]
	}
}
