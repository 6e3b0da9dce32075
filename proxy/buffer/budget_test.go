package buffer

import (
	"sync"
	"testing"
)

const unit = 1 << 10

func fill(s *Share) int {
	n := 0
	for s.Take(unit) {
		n++
	}
	return n
}

// One account fills what it can. Another one, quiet until then, still gets its
// part at once, and more as the first gives back.
func TestQuietAccountGetsItsPart(t *testing.T) {
	b := NewBudget(1000 * unit)
	busy, quiet := b.NewShare(), b.NewShare()
	if n := fill(busy); n < 790 || n > 810 {
		t.Fatalf("a single account holds %d of 1000", n)
	}
	if n := fill(quiet); n < 150 {
		t.Fatalf("the quiet account got %d of 1000", n)
	}
	for range 600 {
		busy.Give(unit)
	}
	fill(quiet)
	fill(busy)
	if quiet.Used() < 400*unit || b.Used() > 1000*unit {
		t.Fatalf("quiet %d, all %d", quiet.Used()/unit, b.Used()/unit)
	}
}

// Many goroutines take and give: the bound holds at the end of every step and
// nothing is lost.
func TestBoundHoldsConcurrently(t *testing.T) {
	b := NewBudget(100 * unit)
	var done sync.WaitGroup
	for range 4 {
		s := b.NewShare()
		for range 4 {
			done.Go(func() {
				for range 1000 {
					if s.Take(unit) {
						s.Give(unit)
					}
				}
			})
		}
	}
	done.Wait()
	if b.Used() != 0 {
		t.Fatalf("%d units left", b.Used())
	}
}
