package replica

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/store"
)

// ObservePeer compares the replica with the revision of another VM's. If it stays behind, it
// fetches a snapshot from there, so that a VM whose watch hangs or fails does not serve an
// old configuration. A nearby peer is copied from without delay unless this VM watches.
func (r *Replica) ObservePeer(ctx context.Context, peer string, nearby bool, revision store.Revision, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && revision <= r.revision {
		// This peer may be behind as well, so behindSince is kept.
		return
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	delay := catchUpDelay
	if nearby && !r.watching {
		delay = 0
	}
	if r.fetching || now.Sub(r.behindSince) < delay {
		return
	}
	r.fetching = true
	go r.fetch(ctx, peer, r.revision)
}

func (r *Replica) fetch(ctx context.Context, peer string, after store.Revision) {
	began := time.Now()
	snapshot, err := r.options.FetchSnapshot(ctx, peer, after)
	log := r.options.Logger.WithFields(logrus.Fields{"peer": peer, "after_era": after.Era(), "after": after.Number(), "ms": time.Since(began).Milliseconds()})
	if err != nil {
		log.WithError(err).Warn("replica: no snapshot from a peer")
	} else {
		r.ApplySnapshot(snapshot)
		log.WithFields(logrus.Fields{
			"era": snapshot.At.Era(), "revision": snapshot.At.Number(), "partial": snapshot.Partial, "items": len(snapshot.Items), "removed": len(snapshot.Removed),
		}).
			Info("replica: snapshot copied from a peer")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetching = false
	r.behindSince = time.Time{}
}
