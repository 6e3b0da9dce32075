package catalog

import (
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

// maxNoted bounds the keys that are remembered after their entries are gone.
const maxNoted = 4096

// births are the newest known starts of targets, by key. They outlive the entries: the
// registration of an earlier start may be written after the later one has left.
type births map[string]int64

// isOld reports whether a registration is of an earlier start than the newest known.
func (b births) isOld(key string, t site.Target) bool { return t.Born > 0 && t.Born < b[key] }

// lacks reports whether a registration says no start though an earlier one did.
func (b births) lacks(key string, t site.Target) bool { return t.Born == 0 && b[key] > 0 }

func (b births) note(key string, born int64) {
	if _, known := b[key]; born > 0 && (known || len(b) < maxNoted) {
		b[key] = born
	}
}

// noted are names that were logged.
type noted map[string]struct{}

// note reports whether a name is to be logged now. It returns false for the names beyond
// maxNoted: what others write must not fill the log.
func (n noted) note(name string) bool {
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
	if err != nil || c.births.lacks(key, t) {
		c.applyForeign(change, err)
		return
	}
	if c.births.isOld(key, t) {
		c.logTarget(t.ID, t.Service, change.Entry.Revision, "old_start", t.Born)
		return
	}
	delete(c.foreign, key)
	old, known := c.targets[key]
	c.targets[key] = Entry{Target: t, LearntAt: c.options.Now()}
	c.births.note(key, t.Born)
	if !known && change.Listed && !t.Draining {
		// One line tells of all of them: a first copy has hundreds.
		c.read++
		return
	}
	if known && old.Born != t.Born {
		c.logTarget(t.ID, t.Service, change.Entry.Revision, "restarted", t.Born)
	}
	if !known || old.Draining != t.Draining {
		c.logTarget(t.ID, t.Service, change.Entry.Revision, "draining", t.Draining)
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
		c.logTarget(t.ID, t.Service, change.Entry.Revision, "gone", true)
		return
	}
	t.MissingSince = c.options.Now()
	c.targets[change.Entry.Key] = t
	c.logTarget(t.ID, t.Service, change.Entry.Revision, "missing", true)
}

func (c *Catalog) logTarget(id, service string, revision store.Revision, what string, value any) {
	c.options.Logger.WithFields(logrus.Fields{"target": id, "service": service, "revision": revision, what: value}).
		Info("catalog: target changed")
}
