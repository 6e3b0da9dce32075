package entry

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/exchange"
	"github.com/yuccaroute/yuccaroute/edge/fairshare"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

var someAccount = fairshare.Key{Service: "s", Region: "a", Account: 7}

// newFairVM returns the parts of a VM of a region that exchange the work of accounts.
func newFairVM(name, region string) *Entry {
	e := (&machine{started: time.Now()}).newVM(name)
	e.options.VM.Region = region
	e.options.Policy.FairShares = true
	e.balancer = placing.New(placing.Options{VM: name, Region: region, Policy: e.options.Policy})
	e.fairShares = newFairShares(e)
	return e
}

// workAt returns the work of an account that a VM knows of.
func workAt(e *Entry) time.Duration { return e.balancer.KnownAccountWork(time.Now(), someAccount) }

// The work of accounts must reach the VMs of a large region by digests and other regions by sums, must not come
// back to a region by the sums of another one, and a damaged report must change nothing.
func TestAccountWorkReachesAllVMs(t *testing.T) {
	aggregator, member, far := newFairVM("vm-1", "a"), newFairVM("vm-2", "a"), newFairVM("vm-3", "b")
	work := fairshare.Encode([]fairshare.Part{{Key: someAccount, Work: time.Minute}})
	now := time.Now()
	aggregator.fairShares.apply(now, &exchange.State{VM: site.VM{Name: "vm-4", Region: "a"}, AccountWork: work})
	aggregator.fairShares.apply(now, &exchange.State{VM: site.VM{Name: "vm-5", Region: "a"}, AccountWork: []byte{200, 1}})
	aggregator.fairShares.apply(now, &exchange.State{VM: site.VM{Name: "vm-4", Region: "a"}})

	member.fairShares.apply(now, &exchange.State{VM: aggregator.options.VM, Digest: &exchange.Digest{AccountWork: aggregator.fairShares.digestWork(now)}})
	if got := workAt(member); got < 59*time.Second || got > time.Minute {
		t.Errorf("a VM of the region knows of %v", got)
	}
	if again := aggregator.fairShares.digestWork(now); again != nil {
		t.Errorf("%d bytes in the next digest", len(again))
	}
	sums := exchange.State{VM: aggregator.options.VM, Sum: true}
	aggregator.fairShares.addTo(&sums, true)
	far.fairShares.apply(now, &sums)
	if got := workAt(far); got < 59*time.Second || got > time.Minute {
		t.Errorf("a VM of another region knows of %v", got)
	}
	back := exchange.State{VM: far.options.VM, Sum: true}
	far.fairShares.addTo(&back, true)
	if len(back.AccountWork) != 0 {
		t.Errorf("%d bytes come back to the region", len(back.AccountWork))
	}
}

// A VM with the part off must neither send the work of accounts nor take it over.
func TestFairSharesOff(t *testing.T) {
	e := newFairVM("vm-1", "a")
	e.fairShares.on = false
	s := exchange.State{VM: site.VM{Name: "vm-2", Region: "a"}}
	e.fairShares.addTo(&s, false)
	s.AccountWork = fairshare.Encode([]fairshare.Part{{Key: someAccount, Work: time.Minute}})
	e.fairShares.apply(time.Now(), &s)
	if got := workAt(e); got != 0 || e.fairShares.digestWork(time.Now()) != nil {
		t.Errorf("work %v", got)
	}
}
