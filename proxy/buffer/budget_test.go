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

// An idle account must get units at once while another holds its maximum, and more
// as the other releases units.
func TestIdleAccountGetsItsShare(t *testing.T) {
	b := NewBudget(1000 * unit)
	busy, idle := b.NewShare(), b.NewShare()
	if n := fill(busy); n < 790 || n > 810 {
		t.Fatalf("a single account holds %d of 1000 units", n)
	}
	if n := fill(idle); n < 150 {
		t.Fatalf("the idle account got %d of 1000 units", n)
	}
	for range 600 {
		busy.Give(unit)
	}
	fill(idle)
	fill(busy)
	if idle.Used() < 400*unit || b.Used() > 1000*unit {
		t.Fatalf("idle account holds %d units, all accounts %d", idle.Used()/unit, b.Used()/unit)
	}
}

// Concurrent Take and Give calls must not leak units.
func TestConcurrentUseLeaksNothing(t *testing.T) {
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
		t.Fatalf("%d units still in use", b.Used())
	}
}
