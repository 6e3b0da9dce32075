package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccaroute/yuccaroute/edge/fairshare"
)

// accountWork encodes the work of as many accounts of each service, alternately in two regions.
func accountWork(services, accounts int) []byte {
	var parts []fairshare.Part
	for s := range services {
		for r := range 2 {
			for a := r; a < accounts; a += 2 {
				key := fairshare.Key{Service: fmt.Sprint("service-", s), Region: fmt.Sprint("region-", r), Account: fairshare.AccountOf(fmt.Sprint(a))}
				parts = append(parts, fairshare.Part{Key: key, Work: 100 * time.Second})
			}
		}
	}
	return fairshare.Encode(parts)
}

// Guards against work of accounts that makes datagrams too large, or takes more than half of the 3 KB/s that the
// control traffic of a VM may have. A VM reports at most fairshare.MaxReported accounts in all to two aggregators
// each 0.4 s; a digest has at most 16 accounts of each service. Sizes grow with services, not with VMs.
func TestSizeOfAccountWork(t *testing.T) {
	const aggregators, interval, maxPerSecond = 2, 0.4, 1550
	for _, f := range []fleet{
		{vms: 103, regions: 3, services: 2, targets: 280},
		{vms: 195, regions: 4, services: 4, targets: 560},
		{vms: 550, regions: 6, services: 4, targets: 1500},
	} {
		with := f.report()
		with.AccountWork = accountWork(f.services, fairshare.MaxReported/f.services)
		report := size(t, with) - size(t, f.report())
		perSecond := float64(report) * aggregators / interval
		plain, digest := f.detailedDigest(false), f.detailedDigest(false)
		digest.Digest.AccountWork = accountWork(f.services, fairshare.MaxSent)
		t.Logf("%d VMs: report %d bytes more (%.0f bytes/s), digest %d + %d bytes", f.vms, report, perSecond, size(t, plain), size(t, digest)-size(t, plain))
		if size(t, digest) >= maxDatagram-relayReserve {
			t.Errorf("%d VMs: digest of %d bytes", f.vms, size(t, digest))
		}
		if perSecond > maxPerSecond {
			t.Errorf("%d VMs: %.0f bytes/s", f.vms, perSecond)
		}
	}
}

// Guards against work that gets lost on its way, and against VMs of earlier versions that cannot read a report
// with it.
func TestAccountWorkIsSent(t *testing.T) {
	work := accountWork(1, 3)
	data, err := msgpack.Marshal(&State{Leaving: true, AccountWork: work, Digest: &Digest{AccountWork: work}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(data)
	if err != nil || string(got.AccountWork) != string(work) || string(got.Digest.AccountWork) != string(work) {
		t.Errorf("%v, %+v", err, got)
	}
	var earlier struct {
		Leaving bool `msgpack:"l"`
	}
	if err := msgpack.Unmarshal(data, &earlier); err != nil || !earlier.Leaving {
		t.Errorf("%v, %v", earlier, err)
	}
}
