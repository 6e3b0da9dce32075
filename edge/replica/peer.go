package mirror

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/store"
)

// SawPeer tells the revision of another VM's copy. A copy that stays behind is
// brought up to date from there.
//
// Guard against a store that serves the other VMs but not this one, or a watch
// that went silent: it shows as a VM that serves an old configuration. The guard
// holds because revisions are the store's own: a copy with a higher one is newer.
func (m *Mirror) SawPeer(ctx context.Context, peer string, near bool, at store.Revision, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && at <= m.at {
		// Others may be behind as well; only news of its own ends the delay.
		return
	}
	if m.behindSince.IsZero() {
		m.behindSince = now
	}
	patience := behindFor
	if near && !m.watching {
		patience = 0
	}
	if m.fetching || now.Sub(m.behindSince) < patience {
		return
	}
	m.fetching = true
	go m.fetch(ctx, peer, m.at)
}

func (m *Mirror) fetch(ctx context.Context, peer string, after store.Revision) {
	c, err := m.options.FetchFrom(ctx, peer, after)
	log := m.options.Logger.WithField("peer", peer)
	if err != nil {
		log.WithError(err).Warn("mirror: no copy from a peer")
	} else {
		m.Adopt(c)
		log.WithFields(logrus.Fields{"revision": c.At, "partial": c.Partial, "items": len(c.Items)}).
			Info("mirror: copied from a peer")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fetching = false
	m.behindSince = time.Time{}
}
