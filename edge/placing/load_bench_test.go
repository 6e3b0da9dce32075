package placing

import (
	"fmt"
	"testing"
	"time"
)

// largeBalancer is that of a listener: 100 VMs of its region, 3,000 targets.
func largeBalancer(now time.Time) (*Balancer, []*PeerReport) {
	b := New(Options{
		VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"},
		RTT: func(string) time.Duration { return time.Millisecond },
	})
	var list []TargetSpec
	for i := range 3000 {
		list = append(list, listing(fmt.Sprintf("t%d", i)))
	}
	b.SetTargets(now, services(1), list, nil)
	var peers []*PeerReport
	for i := range 100 {
		p := &PeerReport{InFlight: make(map[uint32]int), Demand: map[string]map[string]float64{"a": {serviceName: 5}}, At: now}
		for j := range 10 {
			p.InFlight[TargetKey(HashOf(list[(i*37+j*113)%len(list)].ID))] = 1
		}
		peers = append(peers, p)
	}
	return b, peers
}

// One report of another VM is taken in.
func BenchmarkHearReport(bench *testing.B) {
	now := time.Unix(1000, 0)
	b, peers := largeBalancer(now)
	for i, p := range peers {
		b.SetPeerReport(now, fmt.Sprint(i), p)
	}
	bench.ResetTimer()
	for i := 0; bench.Loop(); i++ {
		b.SetPeerReport(now, fmt.Sprint(i%len(peers)), peers[i%len(peers)])
	}
}

// The live VMs are told ten times a second.
func BenchmarkTellVMs(bench *testing.B) {
	now := time.Unix(1000, 0)
	b, _ := largeBalancer(now)
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	for bench.Loop() {
		b.SetVMs(names)
	}
}
