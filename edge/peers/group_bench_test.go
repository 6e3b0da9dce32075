package peers

import "testing"

// BenchmarkGroup is what a VM of a large fleet works out before each round of datagrams:
// 550 VMs in six regions.
func BenchmarkGroup(b *testing.B) {
	vms := fleet(92, "a", "b", "c", "d", "e", "f")
	book := New(vms[0], start)
	book.Register(vms, start)
	hear(book, start, vms...)
	b.ReportAllocs()
	for b.Loop() {
		book.Topology(start)
	}
}
