package mirror

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

func (m *Mirror) setDoubt(doubt bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.doubt = doubt
}

func (m *Mirror) inDoubt() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.doubt
}

// check finds out whether changes after a revision were missed, and reads them.
//
// Guard against a store that drops its history: for a while its watches bring nothing, not
// even changes that were made before they began, and end only with their wait. It shows as
// a configuration that comes into force seconds after the store answers again. The guard
// holds because the store's revision tells that there is something to read.
func (m *Mirror) check(ctx context.Context, at store.Revision) (found, error) {
	m.countCall()
	list, err := m.options.KV.List(ctx, noKey)
	if err != nil {
		return foundNothing, err
	}
	m.setDoubt(false)
	if list.At <= at {
		return foundNothing, nil
	}
	quick, cancel := context.WithTimeout(ctx, quickWatch)
	defer cancel()
	batch, err := m.watch(quick, at)
	if err == nil && len(batch.Events) > 0 {
		m.apply(batch)
		return foundChanges, nil
	}
	m.options.Logger.WithError(err).WithFields(logrus.Fields{"revision": at, "store_at": list.At}).
		Warn("mirror: the store does not tell what changed, reading all")
	return foundChanges, m.list(ctx)
}
