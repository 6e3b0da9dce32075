package peers

import "testing"

// BenchmarkTopology measures the computation that precedes each round of datagrams, with about
// 550 VMs in six regions.
func BenchmarkTopology(b *testing.B) {
	vms := fleet(92, "a", "b", "c", "d", "e", "f")
	m := New(vms[0], start)
	m.Register(vms, start)
	observeAll(m, start, vms...)
	b.ReportAllocs()
	for b.Loop() {
		m.Topology(start)
	}
}
