package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/store"
)

// callTime bounds a call to the store: it answers in milliseconds, and a caller may wait.
const callTime = time.Second

// Keys tells the keys of records.
type Keys interface {
	// QuarantineKey returns the key of a request's record, by its fingerprint as text.
	QuarantineKey(fingerprint string) string
	// ParseQuarantineKey returns the fingerprint that a key is of.
	ParseQuarantineKey(key string) (fingerprint string, ok bool)
}

// Options configure a Quarantine.
type Options struct {
	// VM is the name of this VM.
	VM     string
	KV     store.KV
	Keys   Keys
	Logger *logrus.Entry
	// EventAdded is called when there is an event that other VMs should learn of soon. It must not
	// block.
	EventAdded func()
}

// Quarantine is the table of one VM with what connects it to other VMs: events in their
// reports, which are quick and may be lost, and records in the store, which are not. It is
// safe for use by several goroutines.
type Quarantine struct {
	options Options
	table   *Table
	journal BroadcastQueue
	answers answers
}

// New returns an empty quarantine.
func New(o Options) *Quarantine { return &Quarantine{options: o, table: NewTable()} }

// IsEmpty reports whether every request is clear, without waiting for a lock.
func (q *Quarantine) IsEmpty() bool { return q.table.IsEmpty() }

// Verdict decides on a request.
func (q *Quarantine) Verdict(now time.Time, f Fingerprint) Verdict { return q.table.Verdict(now, f) }

// Counts returns how many requests are suspected and how many of them are quarantined.
func (q *Quarantine) Counts() (suspected, quarantined int) { return q.table.Counts() }

// TargetCrashed takes in that this VM saw a target end while a request ran there.
func (q *Quarantine) TargetCrashed(now time.Time, f Fingerprint, target uint64) {
	if q.answers.has(now, f) {
		q.options.Logger.WithField("fingerprint", f.String()).
			Info("quarantine: a target ended while it ran the request, which was answered just before")
		return
	}
	q.take(now, Event{Request: f, Target: target}, Origin{})
}

// Answered takes in that a target answered a request of this VM.
func (q *Quarantine) Answered(now time.Time, f Fingerprint) {
	q.answers.add(now, f)
	if !q.table.IsEmpty() {
		q.take(now, Event{Request: f}, Origin{})
	}
}

// Origin is from where an event came.
type Origin struct {
	// VM told of it, "" if this VM saw it.
	VM string
	// Relay tells that this VM passes it on to the others of its region, and OtherRegion that VM
	// is of another one.
	Relay, OtherRegion bool
}

// isOwn reports whether this VM saw the event itself.
func (o Origin) isOwn() bool { return o.VM == "" }

// Received takes in an event that another VM told of. An end under a request that was answered
// just before is denied.
func (q *Quarantine) Received(now time.Time, e Event, from Origin) {
	if e.Answered() {
		q.receiveAnswer(now, e, from)
	} else if q.answers.has(now, e.Request) {
		q.tell(now, Event{Request: e.Request}, false)
		return
	}
	q.take(now, e, from)
}

// receiveAnswer remembers an answer that another VM told of. It is passed on whether or not this
// VM suspects the request: others may.
func (q *Quarantine) receiveAnswer(now time.Time, e Event, from Origin) {
	q.answers.add(now, e.Request)
	if from.Relay {
		q.tell(now, e, from.OtherRegion)
		return
	}
	q.journal.Suppress(now, e.Request)
}

// tell has other VMs learn of an event soon, unless they are told already.
func (q *Quarantine) tell(now time.Time, e Event, otherRegion bool) {
	if q.journal.Add(now, e, otherRegion) {
		q.options.EventAdded()
	}
}

// take takes in an event of this VM, or from another one.
func (q *Quarantine) take(now time.Time, e Event, from Origin) {
	before := q.table.Verdict(now, e.Request)
	if !q.note(now, e, from.isOwn()) {
		return
	}
	q.logEvent(e, from, before, q.table.Verdict(now, e.Request))
	if from.isOwn() || from.Relay {
		q.tell(now, e, from.OtherRegion)
	}
}

// note takes an event in and reports whether it is news.
func (q *Quarantine) note(now time.Time, e Event, own bool) bool {
	if e.Answered() {
		return q.table.Answered(now, e.Request, own)
	}
	return q.table.TargetCrashed(now, e.Request, e.Target, own)
}

// logEvent tells of an event of this VM, and of another one's if it changes what this VM does
// with the request: each VM would tell of each end in the fleet otherwise.
func (q *Quarantine) logEvent(e Event, from Origin, before, after Verdict) {
	if !from.isOwn() && before.Status == after.Status {
		return
	}
	log := q.options.Logger.WithFields(logrus.Fields{"fingerprint": e.Request.String(), "targets_ended": after.Targets})
	if !from.isOwn() {
		log = log.WithField("from", from.VM)
	}
	switch {
	case e.Answered():
		log.WithField("targets_ended", before.Targets).Info("quarantine: request cleared, a target answered it")
	case after.Status == Quarantined:
		log.Warn("quarantine: request is kept from targets, they end when they run it")
	default:
		log.Info("quarantine: a target ended while it ran the request")
	}
}

// PendingEvents returns the events to tell other VMs now, those of other regions if they are asked
// for.
func (q *Quarantine) PendingEvents(now time.Time, otherRegions bool) []Event {
	return q.journal.Pending(now, otherRegions)
}

// ClaimTrial asks the store for the one trial of a quarantined request that is due, for all VMs. It
// returns true if the request may be sent to one target.
func (q *Quarantine) ClaimTrial(ctx context.Context, now time.Time, f Fingerprint) bool {
	record, at, due := q.table.ClaimTrial(now, f)
	if !due {
		return false
	}
	revision, err := q.write(ctx, f, record, at)
	log := q.options.Logger.WithFields(logrus.Fields{"fingerprint": f.String(), "trial": record.Trials, "revision": revision})
	if err != nil {
		log.WithError(err).Info("quarantine: trial not claimed")
		return false
	}
	q.table.SetRecord(now, f, record, revision)
	log.Warn("quarantine: request is sent to one target on trial")
	return true
}

func (q *Quarantine) write(ctx context.Context, f Fingerprint, r Record, at store.Revision) (store.Revision, error) {
	r.VM = q.options.VM
	value, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "quarantine: encode")
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return q.options.KV.Swap(ctx, q.options.Keys.QuarantineKey(f.String()), value, at, 0)
}

// Tick forgets what is too old and starts the calls to the store that are due. first tells that
// this VM writes what no other one did.
func (q *Quarantine) Tick(ctx context.Context, now time.Time, first bool) {
	q.table.Expire(now)
	for _, w := range q.table.DueWrites(now, first) {
		go func() {
			q.perform(ctx, w)
			q.table.WriteDone(time.Now(), w.Request)
		}()
	}
}

func (q *Quarantine) perform(ctx context.Context, w StoreWrite) {
	log := q.options.Logger.WithFields(logrus.Fields{"fingerprint": w.Request.String(), "targets_ended": len(w.Record.Targets), "removed": w.Remove})
	var err error
	if w.Remove {
		err = q.removeRecord(ctx, w)
	} else {
		_, err = q.write(ctx, w.Request, w.Record, w.Revision)
	}
	if err != nil && !store.IsConflict(err) {
		log.WithError(err).Warn("quarantine: record not written, it is tried again")
		return
	}
	log.WithField("by_other", err != nil).Info("quarantine: record written")
}

func (q *Quarantine) removeRecord(ctx context.Context, w StoreWrite) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return q.options.KV.Delete(ctx, q.options.Keys.QuarantineKey(w.Request.String()), w.Revision)
}

// Apply takes in the records among changes of the store's items, and returns the other changes.
func (q *Quarantine) Apply(now time.Time, changes []replica.Change) []replica.Change {
	others := make([]replica.Change, 0, len(changes))
	for _, c := range changes {
		text, ok := q.options.Keys.ParseQuarantineKey(c.Entry.Key)
		if !ok {
			others = append(others, c)
			continue
		}
		if err := q.applyRecord(now, text, c); err != nil {
			q.options.Logger.WithError(err).WithField("key", c.Entry.Key).Error("quarantine: record not understood")
		}
	}
	return others
}

func (q *Quarantine) applyRecord(now time.Time, text string, c replica.Change) error {
	f, err := parseFingerprint(text)
	if err != nil {
		return err
	}
	log := q.options.Logger.WithFields(logrus.Fields{"fingerprint": text, "revision": c.Entry.Revision})
	if c.Removed {
		if q.table.RemoveRecord(f) {
			log.Info("quarantine: request cleared, its record is gone")
		}
		return nil
	}
	var r Record
	if err := json.Unmarshal(c.Entry.Value, &r); err != nil {
		return errors.Wrap(err, "quarantine: record")
	}
	isNew := q.table.SetRecord(now, f, r, c.Entry.Revision)
	if q.answers.has(now, f) {
		q.table.Answered(now, f, false)
		q.tell(now, Event{Request: f}, false)
		log.Info("quarantine: record of a request that was answered just before")
		return nil
	}
	if isNew {
		log.WithFields(logrus.Fields{"targets_ended": len(r.Targets), "from": r.VM}).Warn("quarantine: request is kept from targets, by its record")
	}
	return nil
}
