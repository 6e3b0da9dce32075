package catalog

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

// When the store is restored from a copy, what operators, targets and VMs wrote since the copy is missing
// until they have written it again, and revisions do not tell which of two values is the later one. Values
// of different eras are therefore ordered by what their writers count: the version of the configuration and
// the registrations of a target. What the store lost stays in force until it is written again, or for the
// times below.
const (
	// lostEvacuationTime is how long an evacuation stays in force that the store has lost.
	lostEvacuationTime = 10 * time.Second
	// lostVMTime is the same for the registration of an entry VM. It is longer than a VM takes to detect
	// the loss of its lease and to register, also if the store rejects its first attempts.
	lostVMTime = 10 * time.Second
	// departedTime is how long targets that have left are remembered: a copy of the store may be that old.
	departedTime = time.Minute
)

// registration is the latest known registration of a target, also if the target has left since.
type registration struct {
	// at is the revision of its latest change.
	at            store.Revision
	startedMillis int64
	sequence      uint64
	// departedAt is when it left the store, zero if it has not.
	departedAt time.Time
}

// isOutdated reports whether a registration is older than the latest known one of the same start. Within an
// era that is told by revisions, else by what the target counts.
func (c *Catalog) isOutdated(key string, t site.Target, at store.Revision) bool {
	last, known := c.registrations[key]
	switch {
	case !known || t.StartedMillis != last.startedMillis:
		return false
	case at.Era() == last.at.Era():
		return at < last.at
	case last.departedAt.IsZero():
		return t.Sequence < last.sequence
	}
	return t.Sequence <= last.sequence
}

// recordRegistration must be called for each registration that is applied.
func (c *Catalog) recordRegistration(key string, t site.Target, at store.Revision) {
	c.registrations[key] = registration{at: at, startedMillis: t.StartedMillis, sequence: t.Sequence}
}

// isRemovalOutdated reports whether a target has registered since a removal of an earlier era. If the target
// is not known, its last registration is recorded.
func (c *Catalog) isRemovalOutdated(change replica.Change) bool {
	key := change.Entry.Key
	removed, err := c.options.Codec.Target(key, change.Entry.Value)
	if err != nil {
		return false
	}
	last, known := c.registrations[key]
	if !known {
		c.recordRegistration(key, removed, change.Entry.Revision)
		return false
	}
	return change.Entry.Revision.Era() < last.at.Era() && removed.StartedMillis == last.startedMillis &&
		removed.Sequence < last.sequence
}

// recordDeparture must be called for each target that has left, with the revision of its last change.
func (c *Catalog) recordDeparture(key string, at store.Revision) {
	if last, known := c.registrations[key]; known {
		last.at, last.departedAt = at, c.options.Now()
		c.registrations[key] = last
	}
}

// forgetDeparted drops the memory of targets that left long ago.
func (c *Catalog) forgetDeparted(now time.Time) {
	for key, last := range c.registrations {
		if !last.departedAt.IsZero() && now.Sub(last.departedAt) >= departedTime {
			delete(c.registrations, key)
		}
	}
}

// keepsConfig reports whether the configuration in force stays although a change replaces it: it has a
// higher version, and the change is not a later one of the same era.
func (c *Catalog) keepsConfig(config *site.Config, at store.Revision) bool {
	if c.config == nil || config.Version >= c.config.Version || at.Era() == c.configAt.Era() && at > c.configAt {
		return false
	}
	c.options.Logger.WithFields(revisionFields(at)).
		WithFields(logrus.Fields{"version": c.config.Version, "older_version": config.Version}).
		Warn("catalog: older configuration of another era ignored, the newer one stays in force")
	return true
}

// applyLost handles an item that the store lost when it was restored. It returns false if the item has no
// kind that stays in force.
func (c *Catalog) applyLost(change replica.Change) bool {
	key := change.Entry.Key
	if zone, ok := c.options.Codec.EvacuatedZone(key); ok {
		c.keepUntil(c.lostEvacuations, zone, change.LostAt.Add(lostEvacuationTime))
		return true
	}
	switch codec := c.options.Codec; {
	case codec.IsConfig(key):
		c.options.Logger.WithFields(revisionFields(c.configAt)).
			Warn("catalog: the restored store has no configuration, the last one stays in force")
	case codec.IsTarget(key):
		c.loseTarget(key, change.LostAt.Add(missingTimeout))
	case codec.IsVM(key):
		c.keepUntil(c.lostVMs, key, change.LostAt.Add(lostVMTime))
	case key == codec.FleetSizeKey():
		c.fleetSize.revision, c.fleetSize.lost = 0, true
	default:
		return false
	}
	return true
}

func (c *Catalog) keepUntil(lost map[string]time.Time, name string, until time.Time) {
	lost[name] = until
	c.options.Logger.WithFields(logrus.Fields{"name": name, "keep_ms": until.Sub(c.options.Now()).Milliseconds()}).
		Info("catalog: lost by the store, kept until it is written again")
}

// loseTarget keeps a target that the store lost in use until a live one has registered again. One that had
// announced its departure has left.
func (c *Catalog) loseTarget(key string, until time.Time) {
	t, known := c.targets[key]
	switch {
	case !known:
	case t.Draining || !c.options.Now().Before(until):
		c.dropTarget(key, changeRemoved, c.registrations[key].at)
	default:
		t.MissingUntil = until
		c.targets[key] = t
		c.changes.add(changeMissing, t.ID)
	}
}

// expireLost ends what the store lost and nobody has written again. It reports whether the view changed.
func (c *Catalog) expireLost(now time.Time) (changed bool) {
	for zone, until := range c.lostEvacuations {
		if now.Before(until) {
			continue
		}
		delete(c.lostEvacuations, zone)
		delete(c.evacuated, zone)
		changed = true
		c.options.Logger.WithField("zone", zone).Warn("catalog: evacuation was not written again after the store lost it, ended")
	}
	for key, until := range c.lostVMs {
		if now.Before(until) {
			continue
		}
		delete(c.lostVMs, key)
		delete(c.vms, key)
		changed = true
	}
	return changed
}

// revisionFields are the log fields of a revision.
func revisionFields(at store.Revision) logrus.Fields {
	return logrus.Fields{"era": at.Era(), "revision": at.Number()}
}
