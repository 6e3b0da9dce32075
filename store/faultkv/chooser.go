package faultkv

import (
	"math/rand/v2"
	"time"
)

// Rates are the shares, 0 to 1, of calls that meet each fault.
type Rates struct {
	Refuse     float64
	Drop       float64
	LoseAnswer float64
	ApplyLate  float64
	// MaxDelay bounds a random delay before and after the work of each call,
	// and how late a write is applied.
	MaxDelay time.Duration
}

// Random draws faults from a source seeded with seed: the same calls in the
// same order meet the same faults.
func Random(seed uint64, rates Rates) Chooser {
	source := rand.New(rand.NewPCG(seed, seed))
	return func(Call) Decision {
		return Decision{
			Fault:       rates.pick(source.Float64()),
			DelayBefore: delay(source, rates.MaxDelay),
			DelayAfter:  delay(source, rates.MaxDelay),
			LateBy:      delay(source, rates.MaxDelay),
		}
	}
}

func (r Rates) pick(at float64) Fault {
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
		if at < s.share {
			return s.fault
		}
		at -= s.share
	}
	return None
}

func delay(source *rand.Rand, longest time.Duration) time.Duration {
	if longest <= 0 {
		return 0
	}
	return time.Duration(source.Int64N(int64(longest)))
}

// Script gives the n-th call of a kind the n-th decision of its list, and
// passes on the calls after the list's end.
func Script(decisions map[Kind][]Decision) Chooser {
	return func(call Call) Decision {
		list := decisions[call.Kind]
		if call.Number > uint64(len(list)) {
			return Decision{}
		}
		return list[call.Number-1]
	}
}
