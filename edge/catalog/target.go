package catalog

import (
	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

// maxRemembered limits each set of remembered keys or names.
const maxRemembered = 4096

// incarnations are the latest known start times of targets, by key. They outlive the
// registrations, because one of an earlier start may arrive after the later target left.
type incarnations map[string]int64

// isStale reports whether a registration is of an earlier start than the latest known.
func (i incarnations) isStale(key string, t site.Target) bool {
	return t.StartedMillis > 0 && t.StartedMillis < i[key]
}

// lacksIncarnation reports whether a registration has no start time though earlier ones had.
func (i incarnations) lacksIncarnation(key string, t site.Target) bool {
	return t.StartedMillis == 0 && i[key] > 0
}

func (i incarnations) record(key string, born int64) {
	if _, known := i[key]; born > 0 && (known || len(i) < maxRemembered) {
		i[key] = born
	}
}

// loggedNames are names that were already logged.
type loggedNames map[string]struct{}

// shouldLog reports whether a name is new, and remembers it. It returns false beyond
// maxRemembered names, so that foreign writes cannot flood the log.
func (n loggedNames) shouldLog(name string) bool {
	if _, known := n[name]; known || len(n) >= maxRemembered {
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
	if err != nil || c.incarnations.lacksIncarnation(key, t) {
		c.applyInvalidTarget(change, err)
		return
	}
	if c.incarnations.isStale(key, t) {
		c.changes.add(changeStale, t.ID)
		return
	}
	if c.isOutdated(key, t, change.Entry.Revision) {
		c.changes.add(changeOutdated, t.ID)
		return
	}
	delete(c.invalidKeys, key)
	old, known := c.targets[key]
	receivedAt := c.options.Now()
	if known && old.Target == t {
		receivedAt = old.ReceivedAt
	}
	c.targets[key] = Target{Target: t, ReceivedAt: receivedAt}
	c.incarnations.record(key, t.StartedMillis)
	c.recordRegistration(key, t, change.Entry.Revision)
	switch {
	case !known && !t.Draining:
		c.changes.add(changeNew, t.ID)
	case known && old.StartedMillis != t.StartedMillis:
		c.changes.add(changeRestarted, t.ID)
	case t.Draining && !old.Draining:
		c.changes.add(changeDraining, t.ID)
	case old.Draining && !t.Draining:
		c.changes.add(changeReady, t.ID)
	}
}

// applyInvalidTarget handles a registration overwritten with an invalid value. The target is
// marked as draining, because it may have ended and its address may now belong to another
// service. A live target registers again at its next heartbeat.
func (c *Catalog) applyInvalidTarget(change replica.Change, err error) {
	key := change.Entry.Key
	if known, ok := c.targets[key]; ok {
		known.Draining = true
		c.targets[key] = known
	}
	if c.invalidKeys.shouldLog(key) {
		c.options.Logger.WithError(err).WithFields(revisionFields(change.Entry.Revision)).WithField("key", key).
			Warn("catalog: invalid target registration, target gets no new requests")
	}
}

func (c *Catalog) removeTarget(change replica.Change) {
	if c.isRemovalOutdated(change) {
		return
	}
	t, known := c.targets[change.Entry.Key]
	if !known {
		c.recordDeparture(change.Entry.Key, change.Entry.Revision)
		return
	}
	graceEnd, mayBeLive := c.options.Outages.GraceEnd(c.options.Now())
	if !mayBeLive || t.Draining {
		c.dropTarget(change.Entry.Key, changeRemoved, change.Entry.Revision)
		return
	}
	t.MissingUntil = graceEnd
	c.targets[change.Entry.Key] = t
	c.changes.add(changeMissing, t.ID)
}

// dropTarget ends the use of a target that has left, with its last change at a revision.
func (c *Catalog) dropTarget(key, kind string, at store.Revision) {
	c.changes.add(kind, c.targets[key].ID)
	delete(c.targets, key)
	c.recordDeparture(key, at)
}
