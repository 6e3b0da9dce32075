package modelcheck

import (
	"testing"

	"github.com/yuccaroute/yuccaroute/control/internal/fault"
)

func TestTmpSound(t *testing.T) {
	for part := range 6 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 900; seed++ {
				if int(seed)%6 != part {
					continue
				}
				if w := runSeed(fault.Set{}, seed, actions); w.violation != "" {
					t.Logf("seed %d %s", seed, w.violation)
				}
			}
		})
	}
}
