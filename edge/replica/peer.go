package replica

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/store"
)

// ObservePeer tells the revision of another VM's copy. A copy that stays behind is
// brought up to date from there.
//
// Guard against a store that serves the other VMs but not this one, or a watch
// that went silent: it shows as a VM that serves an old configuration. The guard
// holds because revisions are the store's own: a copy with a higher one is newer.
func (r *Replica) ObservePeer(ctx context.Context, peer string, near bool, at store.Revision, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && at <= r.at {
		// Others may be behind as well; only news of its own ends the delay.
		return
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	patience := behindFor
	if near && !r.watching {
		patience = 0
	}
	if r.fetching || now.Sub(r.behindSince) < patience {
		return
	}
	r.fetching = true
	go r.fetch(ctx, peer, r.at)
}

func (r *Replica) fetch(ctx context.Context, peer string, after store.Revision) {
	c, err := r.options.FetchSnapshot(ctx, peer, after)
	log := r.options.Logger.WithField("peer", peer)
	if err != nil {
		log.WithError(err).Warn("replica: no snapshot from a peer")
	} else {
		r.ApplySnapshot(c)
		log.WithFields(logrus.Fields{"revision": c.At, "partial": c.Partial, "items": len(c.Items)}).
			Info("replica: snapshot copied from a peer")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetching = false
	r.behindSince = time.Time{}
}
