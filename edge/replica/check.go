package replica

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// quickWatch is how long a watch may take that should bring changes at once: the
	// store answers in milliseconds, and in a few hundred when it is slow.
	quickWatch = 500 * time.Millisecond
	// noKey is a prefix that no key has: its listing tells the store's revision only.
	noKey = "-/none/"
)

func (r *Replica) setDoubt(doubt bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubt = doubt
}

func (r *Replica) inDoubt() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doubt
}

// check finds out whether changes after a revision were missed, and reads them.
//
// Guard against a store that drops its history: for a while its watches bring nothing, not
// even changes that were made before they began, and end only with their wait. It shows as
// a configuration that comes into force seconds after the store answers again. The guard
// holds because the store's revision tells that there is something to read.
func (r *Replica) check(ctx context.Context, at store.Revision) (found, error) {
	r.countCall()
	list, err := r.options.KV.List(ctx, noKey)
	if err != nil {
		return foundNothing, err
	}
	r.setDoubt(false)
	if list.At <= at {
		return foundNothing, nil
	}
	quick, cancel := context.WithTimeout(ctx, quickWatch)
	defer cancel()
	batch, err := r.watch(quick, at)
	if err == nil && len(batch.Events) > 0 {
		r.apply(batch)
		return foundChanges, nil
	}
	r.options.Logger.WithError(err).WithFields(logrus.Fields{"revision": at, "store_at": list.At}).
		Warn("replica: the store does not tell what changed")
	return foundChanges, r.readAll(ctx)
}
