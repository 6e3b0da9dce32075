package modelcheck

import (
	"math/rand/v2"

	"pgregory.net/rapid"
)

// chooser makes the random choices of a run.
type chooser interface {
	// choose returns a number from 0 to n-1.
	choose(n int, what string) int
}

type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) choose(n int, what string) int {
	return rapid.IntRange(0, n-1).Draw(c.t, what)
}

type seedChooser struct{ source *rand.Rand }

func newSeedChooser(seed uint64) seedChooser {
	return seedChooser{source: rand.New(rand.NewPCG(seed, seed))}
}

func (c seedChooser) choose(n int, _ string) int { return c.source.IntN(n) }
