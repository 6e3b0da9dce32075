package spread

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// unequalHeartbeats is how long, in heartbeats, an upstream's digest may
// differ while items keep arriving before the two are compared.
const unequalHeartbeats = 2.5

// maxRepairs is how many repairs in a row an upstream may need. One that still
// differs does not take in what it is told.
const maxRepairs = 4

// reader takes in the Updates of one stream.
type reader struct {
	follow   *subscription
	service  *Service
	upstream topology.Member

	// equalAt is when the digests were last equal, or last repaired.
	equalAt time.Time
	// fedAt is when the upstream last led to the store.
	fedAt time.Time
	// lookAt is when to look for an upstream that comes earlier in order.
	lookAt time.Time
	first  bool
	// idle counts heartbeats with another digest in a row.
	idle    int
	repairs int
}

func newReader(f *subscription, m topology.Member) *reader {
	now := time.Now()
	r := &reader{follow: f, service: f.service, upstream: m, first: true, equalAt: now, fedAt: now}
	r.lookAgain(now)
	return r
}

// take applies one Update and decides whether to stay.
func (r *reader) take(ctx context.Context, u *peerpb.Update) error {
	s := r.service
	if err := s.applyAll(u.GetItems(), s.server.waiterOf(r.upstream.VM)); err != nil {
		s.log.Warnf("spread: %s sent an item that can't be taken: %v", r.upstream.VM, err)
	}
	s.noteUpdate(u)
	if err := r.attend(u); err != nil {
		return err
	}
	if u.GetDigest() != 0 || len(u.GetItems()) == 0 {
		if err := r.check(ctx, u); err != nil {
			return err
		}
	}
	return r.stay(ctx)
}

// attend notes that the upstream is there and whether it leads to the store.
func (r *reader) attend(u *peerpb.Update) error {
	now := time.Now()
	if u.GetFed() {
		r.fedAt = now
	}
	f := r.follow
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = r.upstream.VM
	f.fed = u.GetFed()
	// Digests equal to those of a relay that is cut off itself say nothing.
	if now.Sub(r.fedAt) > r.heartbeats(silentHeartbeats) && f.selector.other(f.current, now) {
		return errCutOff
	}
	return nil
}

// check compares digests and repairs a difference that lasts. On an idle
// stream the digest is exact, so two heartbeats are enough; the second keeps
// an item that is on its way by another path from costing a repair.
func (r *reader) check(ctx context.Context, u *peerpb.Update) error {
	s := r.service
	equal := u.GetDigest() == s.Snapshot().Digest()
	s.heard.set(r.upstream.VM, 0, equal)
	now := time.Now()
	if equal {
		r.equalAt, r.idle, r.repairs, r.first = now, 0, 0, false
		return nil
	}
	if len(u.GetItems()) == 0 {
		r.idle++
	} else {
		r.idle = 0
	}
	// A stream brings an item together with its content, but for content that
	// the upstream took to be here; that does not come by itself.
	lacks := s.hub.lacksContent()
	if !r.first && !lacks && r.idle < 2 && now.Sub(r.equalAt) < r.heartbeats(unequalHeartbeats) {
		return nil
	}
	if r.repairs++; r.repairs > maxRepairs {
		return errLags
	}
	_, err := s.compareWith(ctx, r.upstream)
	r.equalAt, r.idle, r.first = time.Now(), 0, false
	return err
}

// stay reports whether to leave for an upstream that comes first: one that
// answers, and only once in a while, so that nobody moves to and fro.
func (r *reader) stay(ctx context.Context) error {
	now := time.Now()
	f := r.follow
	f.mu.Lock()
	listed := f.service.listsUpstream(f.index, r.upstream.VM)
	better, found := f.selector.better(r.upstream.VM, now)
	f.mu.Unlock()
	if !listed {
		return errMoved
	}
	if now.Before(r.lookAt) {
		return nil
	}
	r.lookAgain(now)
	if !found {
		return nil
	}
	// Asking before leaving keeps this stream while the other is still gone
	// but listed.
	c, err := r.service.compareWith(ctx, better)
	if err == nil && c.ready {
		return errMoved
	}
	f.mu.Lock()
	f.selector.fail(better.VM, time.Now())
	f.mu.Unlock()
	return nil
}

func (r *reader) lookAgain(now time.Time) {
	r.lookAt = now.Add(r.service.jitter(r.heartbeats(returnHeartbeats), jitterShare))
}

func (r *reader) heartbeats(n float64) time.Duration {
	return time.Duration(n * float64(r.service.options.Heartbeat))
}

// listsUpstream reports whether the present plan names the VM.
func (s *Service) listsUpstream(index int, vm string) bool {
	ups := s.plan.Load().Upstreams
	if index >= len(ups) {
		return false
	}
	return listed(ups[index], vm)
}
