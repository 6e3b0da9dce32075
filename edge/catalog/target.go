package catalog

import (
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// maxNoted bounds the keys that are remembered after their entries are gone.
const maxNoted = 4096

// incarnations are the newest known starts of targets, by key. They outlive the entries: the
// registration of an earlier start may be written after the later one has left.
type incarnations map[string]int64

// isOld reports whether a registration is of an earlier start than the newest known.
func (i incarnations) isOld(key string, t site.Target) bool {
	return t.StartedMillis > 0 && t.StartedMillis < i[key]
}

// missing reports whether a registration says no start though an earlier one did.
func (i incarnations) missing(key string, t site.Target) bool {
	return t.StartedMillis == 0 && i[key] > 0
}

func (i incarnations) note(key string, born int64) {
	if _, known := i[key]; born > 0 && (known || len(i) < maxNoted) {
		i[key] = born
	}
}

// recentKeys are names that were logged.
type recentKeys map[string]struct{}

// note reports whether a name is to be logged now. It returns false for the names beyond
// maxNoted: what others write must not fill the log.
func (n recentKeys) note(name string) bool {
	if _, known := n[name]; known || len(n) >= maxNoted {
		return false
	}
	n[name] = struct{}{}
	return true
}

func (c *Catalog) applyTarget(change replica.Change) {
	if change.Removed {
		c.removeTarget(change)
		return
	}
	key := change.Entry.Key
	t, err := c.options.Codec.Target(key, change.Entry.Value)
	if err != nil || c.incarnations.missing(key, t) {
		c.applyForeign(change, err)
		return
	}
	if c.incarnations.isOld(key, t) {
		c.news.add(newsOldStart, t.ID)
		return
	}
	delete(c.foreign, key)
	old, known := c.targets[key]
	c.targets[key] = Target{Target: t, ReceivedAt: c.options.Now()}
	c.incarnations.note(key, t.StartedMillis)
	switch {
	case !known && !t.Draining:
		c.news.add(newsNew, t.ID)
	case known && old.StartedMillis != t.StartedMillis:
		c.news.add(newsRestarted, t.ID)
	case t.Draining && !old.Draining:
		c.news.add(newsDraining, t.ID)
	case old.Draining && !t.Draining:
		c.news.add(newsReady, t.ID)
	}
}

// applyForeign takes a target out of use whose registration another writer replaced.
//
// Guard against entries that no target wrote: with the last registration left in force a
// target that has ended goes on getting requests, which fail until its address answers for
// another service. The guard holds because a live target writes its registration again
// within a heartbeat; until then it is listed as draining, and what was learnt of it is kept.
func (c *Catalog) applyForeign(change replica.Change, err error) {
	key := change.Entry.Key
	if known, ok := c.targets[key]; ok {
		known.Draining = true
		c.targets[key] = known
	}
	if c.foreign.note(key) {
		c.options.Logger.WithError(err).WithFields(logrus.Fields{"key": key, "revision": change.Entry.Revision}).
			Warn("catalog: entry is no registration, it names no target to use")
	}
}

func (c *Catalog) removeTarget(change replica.Change) {
	t, known := c.targets[change.Entry.Key]
	if !known {
		return
	}
	if !change.Listed || t.Draining {
		delete(c.targets, change.Entry.Key)
		c.news.add(newsGone, t.ID)
		return
	}
	t.MissingSince = c.options.Now()
	c.targets[change.Entry.Key] = t
	c.news.add(newsMissing, t.ID)
}
