package view

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/membership"
)

// BenchmarkUpdate reads an unchanged list of 3000 VMs.
func BenchmarkUpdate(b *testing.B) {
	var vms []membership.VM
	for i := range 3000 {
		vms = append(vms, target(fmt.Sprintf("vm-%04d", i), uint16(i)))
	}
	tr := newTracker(Options{}.withDefaults())
	now := time.Now()
	for b.Loop() {
		now = now.Add(interval)
		tr.update(membership.List{VMs: vms, Sequence: 1}, now)
	}
}
