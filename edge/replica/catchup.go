package replica

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// catchUpWatchTimeout limits a watch for changes that the store already has. The store
	// answers such a watch in milliseconds, or in a few hundred under load.
	catchUpWatchTimeout = 500 * time.Millisecond
	// unusedPrefix matches no key, so that listing it returns only the store's revision.
	unusedPrefix = "-/none/"
)

func (r *Replica) setUnverified(unverified bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unverified = unverified
}

func (r *Replica) isUnverified() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unverified
}

// catchUp reads changes after a revision that may have been missed. While the store drops
// its history, watches can return nothing although there are changes; comparing revisions
// detects that.
func (r *Replica) catchUp(ctx context.Context, revision store.Revision) (callResult, error) {
	r.countCall()
	list, err := r.options.KV.List(ctx, unusedPrefix)
	if err != nil {
		return resultNone, err
	}
	r.setUnverified(false)
	if list.At == revision {
		return resultNone, nil
	}
	if list.At < revision || list.At.Era() > revision.Era() {
		return resultChanges, r.reload(ctx, revision, list.At)
	}
	watchCtx, cancel := context.WithTimeout(ctx, catchUpWatchTimeout)
	defer cancel()
	batch, err := r.watch(watchCtx, revision)
	if err == nil && len(batch.Events) > 0 {
		r.apply(batch)
		return resultChanges, nil
	}
	r.options.Logger.WithError(err).WithFields(revisionFields(revision)).
		WithFields(logrus.Fields{"store_era": list.At.Era(), "store_at": list.At.Number()}).
		Warn("replica: the store does not tell what changed")
	return resultChanges, r.reload(ctx, revision, list.At)
}
