package catalog

import (
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/store"
)

// maxListedIDs limits the IDs listed per kind of change in a log line. Above it only the
// count is logged, to bound log volume in large fleets.
const maxListedIDs = 32

// Kinds of target changes, used as log field names.
const (
	changeNew       = "new"
	changeReady     = "ready"
	changeDraining  = "draining"
	changeRemoved   = "gone"
	changeMissing   = "missing"
	changeRestarted = "restarted"
	// changeExpired is a registration that did not come back after an outage.
	changeExpired = "not_back"
	// changeOutdated is an ignored registration of a restored store that is older than a later known one.
	changeOutdated = "outdated"
	// changeStale is an ignored registration of an earlier start.
	changeStale = "old_start"
)

// targetChanges collects target IDs by kind of change for one log line.
type targetChanges map[string][]string

func (n targetChanges) add(kind, id string) { n[kind] = append(n[kind], id) }

// log writes one line for the collected changes, if any, and clears them.
func (n targetChanges) log(to *logrus.Entry, targets int, at store.Revision) {
	if len(n) == 0 {
		return
	}
	fields := revisionFields(at)
	fields["known"] = targets
	for kind, ids := range n {
		if len(ids) <= maxListedIDs {
			fields[kind] = ids
		} else {
			fields[kind+"_count"] = len(ids)
		}
	}
	clear(n)
	to.WithFields(fields).Info("catalog: targets changed")
}
