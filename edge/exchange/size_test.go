package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// fleet is the size of a deployment and what restricted demand its reports name.
type fleet struct{ vms, regions, services, targets, sets int }

// restrictedOf returns demand of each service by as many sets of regions.
func (f fleet) restrictedOf() Restricted {
	restricted := make(Restricted)
	for s := range f.services {
		sets := make(map[uint32]float64)
		for i := range f.sets {
			sets[uint32(i+1)] = 12.345678 + float64(i)
		}
		restricted[fmt.Sprint("service-", s)] = sets
	}
	return restricted
}

// demandOf returns the total demand of each service.
func (f fleet) demandOf() map[string]float64 {
	demand := make(map[string]float64)
	for s := range f.services {
		demand[fmt.Sprint("service-", s)] = 123.45678
	}
	return demand
}

func (f fleet) countsOf(targets int) Counts {
	c := make(Counts)
	for i := range targets {
		c[uint32(i)*(1<<24)/uint32(targets)] = 3
	}
	return c
}

// report returns the report of a VM that has requests at 20 targets.
func (f fleet) report() State {
	return State{VM: site.VM{Name: "vm-103", Zone: "zone-12", Region: "region-1", PeerAddress: "10.0.103.12:9100"}, InFlight: f.countsOf(20), Demand: f.demandOf()}
}

// detailedDigest returns a state with a digest of all targets and of a region's VMs.
func (f fleet) detailedDigest(restricted bool) State {
	s := f.report()
	s.Digest = &Digest{InFlight: f.countsOf(f.targets), Demand: f.demandOf(), Details: &DigestDetails{
		InFlight: f.countsOf(f.targets), Demand: make(map[string]map[string]float64),
	}}
	if restricted {
		s.Digest.Restricted, s.Digest.Details.Restricted = f.restrictedOf(), make(map[string]Restricted)
	}
	for r := range f.regions - 1 {
		s.Digest.Details.Demand[fmt.Sprint("region-", r)] = f.demandOf()
		if restricted {
			s.Digest.Details.Restricted[fmt.Sprint("region-", r)] = f.restrictedOf()
		}
	}
	for i := range f.vms / f.regions {
		s.Digest.Details.VMs = append(s.Digest.Details.VMs, VMStatus{Name: fmt.Sprint("vm-", i), Age: 120 * time.Millisecond, Serving: true})
	}
	return s
}

func size(t *testing.T, s State) int {
	t.Helper()
	data, err := msgpack.Marshal(&s)
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// Guards against restricted demand that makes datagrams too large, or takes a large part of the 3 KB/s
// that the control traffic of a VM may have: a VM sends its callers' demand by two sets for each
// service to both aggregators at the shortest interval. Its size grows with services, regions and sets,
// not with VMs.
func TestSizeOfRestrictedDemand(t *testing.T) {
	const (
		aggregators  = 2
		maxPerSecond = 1100
	)
	for _, f := range []fleet{
		{vms: 103, regions: 3, services: 2, targets: 280, sets: 2},
		{vms: 195, regions: 4, services: 4, targets: 560, sets: 2},
		{vms: 550, regions: 6, services: 4, targets: 1500, sets: 2},
	} {
		plain, with := f.report(), f.report()
		with.Restricted = f.restrictedOf()
		report := size(t, with) - size(t, plain)
		perSecond := float64(report) * aggregators / minReportIntervalLarge.Seconds()
		f.sets = 6
		without, digest := size(t, f.detailedDigest(false)), size(t, f.detailedDigest(true))
		t.Logf("%d VMs: report %d + %d bytes (%.0f bytes/s), detailed digest %d + %d bytes", f.vms, size(t, plain), report, perSecond, without, digest-without)
		if digest >= maxDatagram-relayReserve {
			t.Errorf("%d VMs: digest of %d bytes", f.vms, digest)
		}
		if perSecond > maxPerSecond {
			t.Errorf("%d VMs: %.0f bytes/s", f.vms, perSecond)
		}
	}
}

// Guards against restricted demand that gets lost on its way, against malformed demand, and against VMs of
// earlier versions that cannot read a report with it: they have no such field.
func TestRestrictedDemandIsSent(t *testing.T) {
	f := fleet{vms: 3, regions: 3, services: 1, targets: 3, sets: 2}
	s := f.detailedDigest(true)
	s.Restricted = f.restrictedOf()
	data, err := msgpack.Marshal(&s)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if got.Restricted["service-0"][2] == 0 || got.Digest.Restricted["service-0"][1] == 0 || got.Digest.Details.Restricted["region-0"]["service-0"][2] == 0 {
		t.Errorf("%v, %v", got.Restricted, got.Digest)
	}
	for _, malformed := range [][]byte{{0x80}, {1, 0x80}, {0xff, 0xff, 0xff, 0xff, 0xff, 1, 1}} {
		if sets, err := decodeSets(malformed); err == nil {
			t.Errorf("%v decoded as %v", malformed, sets)
		}
	}
	var earlier struct {
		Demand map[string]float64 `msgpack:"d"`
	}
	if err := msgpack.Unmarshal(data, &earlier); err != nil || earlier.Demand["service-0"] == 0 {
		t.Errorf("%v, %v", earlier, err)
	}
}
