package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// largeBalancer returns a balancer with 3,000 targets and reports of 100 VMs of its region.
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

func BenchmarkSetPeerReport(bench *testing.B) {
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

// Measures the common case in which the VMs have not changed.
func BenchmarkSetVMsUnchanged(bench *testing.B) {
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

// Measures how long the load page keeps decisions from being made.
func BenchmarkLoad(bench *testing.B) {
	now := time.Unix(1000, 0)
	b, peers := largeBalancer(now)
	for i, p := range peers {
		b.SetPeerReport(now, fmt.Sprint(i), p)
	}
	for bench.Loop() {
		b.Load(now)
	}
}

// Measures the load page of an aggregator of a large deployment: reports of 180 VMs with restricted demand for
// four services, during each of which decisions wait for at most a fourth of the time.
func BenchmarkLoadOfManyVMs(bench *testing.B) {
	now := time.Unix(1000, 0)
	b := New(Options{
		VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a", "b1": "b", "c1": "c"},
		RTT: func(string) time.Duration { return time.Millisecond }, Policy: Policy{RegionPlan: true},
	})
	known, list := make(map[string]site.Service), []TargetSpec(nil)
	demand, restricted := make(map[string]float64), make(RestrictedDemand)
	for i := range 4 {
		name := fmt.Sprint("s", i)
		known[name] = site.Service{Name: name}
		for j := range 150 {
			l := listing(fmt.Sprint("t", i, "-", j))
			l.Service, l.Zone = name, []string{"a1", "b1", "c1"}[j%3]
			list = append(list, l)
		}
		demand[name] = 5
		restricted[name] = map[uint32]float64{1: 0.5, 2: 0.5, 3: 0.5, 4: 0.5, 5: 0.5, 6: 0.5}
	}
	b.SetTargets(now, known, list, nil)
	for i := range 180 {
		b.SetPeerReport(now, fmt.Sprint(i), &PeerReport{
			InFlight: map[uint32]int{}, Demand: map[string]map[string]float64{"a": demand}, Restricted: map[string]RestrictedDemand{"a": restricted}, At: now,
		})
	}
	for bench.Loop() {
		b.Load(now)
	}
}
