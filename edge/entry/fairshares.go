package entry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/exchange"
	"github.com/yuccaroute/yuccaroute/edge/placing"
)

const (
	// accountWorkInterval is the shortest time between two reports with the work of accounts. The next
	// report after it comes within 0.5 s of the last one.
	accountWorkInterval = 400 * time.Millisecond
	// accountWorkIntervalSmall is the same within a region in which each VM reports to all others: with seven
	// of them, reports at the shorter interval would take up to 5.4 KB a second.
	accountWorkIntervalSmall = 800 * time.Millisecond
	// accountWorkTotals is the name under which the work of all VMs is kept that a digest has.
	accountWorkTotals = "totals"
)

// fairShares exchanges the work of client accounts with other VMs.
type fairShares struct {
	entry *Entry
	log   *logrus.Entry
	on    bool

	mu sync.Mutex
	// sameRegionAt, otherRegionsAt and digestAt are when reports to this region, those to others and
	// digests last had the work of accounts.
	sameRegionAt, otherRegionsAt, digestAt time.Time
}

func newFairShares(e *Entry) *fairShares {
	return &fairShares{entry: e, log: e.component("fairshares"), on: e.options.Policy.FairShares}
}

// isDue reports whether the work is to be sent that was last sent at a time, and updates that.
func (f *fairShares) isDue(now time.Time, at *time.Time, interval time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(*at) < interval {
		return false
	}
	*at = now
	return true
}

// addTo adds the work of accounts to a report, if that is due.
func (f *fairShares) addTo(s *exchange.State, otherRegions bool) {
	if !f.on {
		return
	}
	now, at, interval := time.Now(), &f.sameRegionAt, accountWorkInterval
	switch {
	case otherRegions:
		at = &f.otherRegionsAt
	case !f.entry.members.Topology(f.entry.now()).Large:
		interval = accountWorkIntervalSmall
	}
	if !f.isDue(now, at, interval) {
		return
	}
	if s.Sum {
		s.AccountWork = f.entry.balancer.AccountWorkSums(now, false)
		return
	}
	s.AccountWork = f.entry.balancer.AccountWork(now)
}

// digestWork returns the work of all VMs for a digest, nil if it is not due.
func (f *fairShares) digestWork(now time.Time) []byte {
	if !f.on || !f.isDue(now, &f.digestAt, accountWorkInterval) {
		return nil
	}
	return f.entry.balancer.AccountWorkSums(now, true)
}

// apply takes over the work that another VM reports.
func (f *fairShares) apply(now time.Time, s *exchange.State) {
	if !f.on {
		return
	}
	r := placing.AccountWorkReport{From: s.VM.Name, Local: s.VM.Region == f.entry.options.VM.Region, Work: s.AccountWork}
	switch {
	case s.Digest != nil:
		r.From, r.Totals, r.Work = accountWorkTotals, true, s.Digest.AccountWork
	case s.Sum:
		r.From, r.Local = regionPeerName(s.VM.Region), false
	}
	if len(r.Work) == 0 {
		return
	}
	if err := f.entry.balancer.SetAccountWork(now, r); err != nil {
		f.log.WithError(err).WithField("from", s.VM.Name).Warn("entry: cannot decode the work of accounts")
	}
}

// maintain updates the metrics.
func (f *fairShares) maintain(now time.Time) {
	if f.on {
		f.entry.gatewayMetrics.setAccountWork(f.entry.balancer.LargestAccounts(now))
	}
}
