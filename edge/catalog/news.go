package catalog

import (
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/store"
)

// maxNamed bounds the targets that a line names of one kind of change. Of more it tells
// how many: hundreds of VMs each write a line for each of a thousand targets otherwise.
const maxNamed = 32

// Kinds of changes of targets, as fields of a log line.
const (
	newsNew       = "new"
	newsReady     = "ready"
	newsDraining  = "draining"
	newsGone      = "gone"
	newsMissing   = "missing"
	newsRestarted = "restarted"
	// newsNotBack tells that the registration did not come back after an outage.
	newsNotBack = "not_back"
	// newsOldStart tells that a registration of an earlier start was passed over.
	newsOldStart = "old_start"
)

// targetNews gathers the changes of targets that come together, for one log line.
type targetNews map[string][]string

func (n targetNews) add(kind, id string) { n[kind] = append(n[kind], id) }

// log writes what was gathered, if anything, and forgets it.
func (n targetNews) log(to *logrus.Entry, targets int, at store.Revision) {
	if len(n) == 0 {
		return
	}
	fields := logrus.Fields{"known": targets, "revision": at}
	for kind, ids := range n {
		if len(ids) <= maxNamed {
			fields[kind] = ids
		} else {
			fields[kind+"_count"] = len(ids)
		}
	}
	clear(n)
	to.WithFields(fields).Info("catalog: targets changed")
}
