package modelcheck

import (
	"testing"

	"github.com/yuccaroute/yuccaroute/control/internal/fault"
)

func TestTmpSound(t *testing.T) {
	for seed := uint64(1); seed <= 600; seed++ {
		if w := runSeed(fault.Set{}, seed, actions); w.violation != "" {
			t.Logf("seed %d %s", seed, w.violation)
		}
	}
}
