package spread

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// unequalHeartbeats is how long, in heartbeats, the upstream's digest may
// differ while items arrive before a comparison is started.
const unequalHeartbeats = 2.5

// maxRepairs is how many consecutive repairs an upstream may need. One that
// still differs afterwards is not applying the items it is sent.
const maxRepairs = 4

// reader processes the Updates of one stream.
type reader struct {
	subscription *subscription
	service      *Service
	upstream     topology.Member

	// equalAt is when the digests last matched or were last repaired.
	equalAt time.Time
	// storePathAt is when the upstream last reported a path to the store.
	storePathAt time.Time
	// switchCheckAt is when to check for an upstream of higher preference.
	switchCheckAt time.Time
	first         bool
	// idleMismatches counts consecutive heartbeats with a different digest.
	idleMismatches int
	repairs        int
}

func newReader(f *subscription, m topology.Member) *reader {
	now := time.Now()
	r := &reader{subscription: f, service: f.service, upstream: m, first: true, equalAt: now, storePathAt: now}
	r.scheduleSwitchCheck(now)
	return r
}

// handle applies one Update. It returns an error if the stream should be
// closed.
func (r *reader) handle(ctx context.Context, u *peerpb.Update) error {
	s := r.service
	if err := s.applyAll(u.GetItems(), s.server.queueOf(r.upstream.VM)); err != nil {
		s.log.Warnf("spread: received an invalid item from %s: %v", r.upstream.VM, err)
	}
	s.recordReads(u)
	if err := r.recordUpstream(u); err != nil {
		return err
	}
	if u.GetDigest() != 0 || len(u.GetItems()) == 0 {
		if err := r.checkDigest(ctx, u); err != nil {
			return err
		}
	}
	return r.checkUpstream(ctx)
}

// recordUpstream marks the upstream as current and records whether it has a
// path to the store.
func (r *reader) recordUpstream(u *peerpb.Update) error {
	now := time.Now()
	if u.GetFed() {
		r.storePathAt = now
	}
	f := r.subscription
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = r.upstream.VM
	f.hasStorePath = u.GetFed()
	// An isolated upstream and its subscribers are equally outdated, so
	// matching digests prove nothing.
	if now.Sub(r.storePathAt) > r.heartbeats(silentHeartbeats) && f.selector.hasAlternative(f.current, now) {
		return errNoStorePath
	}
	return nil
}

// checkDigest compares digests and repairs a lasting difference. It tolerates
// one idle heartbeat with a different digest, because an item may be arriving
// by another path.
func (r *reader) checkDigest(ctx context.Context, u *peerpb.Update) error {
	s := r.service
	equal := u.GetDigest() == s.Snapshot().Digest()
	s.peers.record(r.upstream.VM, 0, equal)
	now := time.Now()
	if equal {
		r.equalAt, r.idleMismatches, r.repairs, r.first = now, 0, 0, false
		return nil
	}
	if len(u.GetItems()) == 0 {
		r.idleMismatches++
	} else {
		r.idleMismatches = 0
	}
	// A stream sends an item together with its content, except content that it
	// assumes this node has. Only a comparison fetches that.
	lacksContent := s.hub.lacksContent()
	if !r.first && !lacksContent && r.idleMismatches < 2 && now.Sub(r.equalAt) < r.heartbeats(unequalHeartbeats) {
		return nil
	}
	if r.repairs++; r.repairs > maxRepairs {
		return errLagging
	}
	_, err := s.compareWith(ctx, r.upstream)
	r.equalAt, r.idleMismatches, r.first = time.Now(), 0, false
	return err
}

// checkUpstream returns an error if the stream should be closed in favour of
// another upstream. It checks for a preferred upstream only occasionally, to
// avoid flapping.
func (r *reader) checkUpstream(ctx context.Context) error {
	now := time.Now()
	f := r.subscription
	f.mu.Lock()
	listed := f.service.listsUpstream(f.index, r.upstream.VM)
	better, found := f.selector.better(r.upstream.VM, now)
	f.mu.Unlock()
	if !listed {
		return errBetterUpstream
	}
	if now.Before(r.switchCheckAt) {
		return nil
	}
	r.scheduleSwitchCheck(now)
	if !found {
		return nil
	}
	// Compare first: the preferred upstream may be listed but down.
	c, err := r.service.compareWith(ctx, better)
	if err == nil && c.ready {
		return errBetterUpstream
	}
	f.mu.Lock()
	f.selector.fail(better.VM, time.Now())
	f.mu.Unlock()
	return nil
}

func (r *reader) scheduleSwitchCheck(now time.Time) {
	r.switchCheckAt = now.Add(r.service.jitter(r.heartbeats(returnHeartbeats), jitterFraction))
}

func (r *reader) heartbeats(n float64) time.Duration {
	return time.Duration(n * float64(r.service.options.Heartbeat))
}

// listsUpstream reports whether the current plan lists the VM as an upstream.
func (s *Service) listsUpstream(index int, vm string) bool {
	ups := s.plan.Load().Upstreams
	if index >= len(ups) {
		return false
	}
	return containsVM(ups[index], vm)
}
