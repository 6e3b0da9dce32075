package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/broadcast"
	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/store"
)

// storeTimeout bounds a call to the store, as a caller may wait for it.
const storeTimeout = time.Second

// Keys maps fingerprints to store keys.
type Keys interface {
	// QuarantineKey returns the key of the record for a fingerprint in text form.
	QuarantineKey(fingerprint string) string
	// ParseQuarantineKey returns the fingerprint in a key, and false for other keys.
	ParseQuarantineKey(key string) (fingerprint string, ok bool)
}

// Options configure a Quarantine.
type Options struct {
	// VM is the name of this VM.
	VM     string
	KV     store.KV
	Keys   Keys
	Logger *logrus.Entry
	// EventAdded is called when an event should be broadcast to other VMs soon. It must not block.
	EventAdded func()
}

// Quarantine connects the table of one VM to other VMs, by events in their reports, which are fast
// but unreliable, and to records in the store, which are slower but durable. It is safe for
// concurrent use.
type Quarantine struct {
	options Options
	table   *Table
	journal *broadcast.Queue[Event]
	answers answers
}

// New returns an empty quarantine.
func New(o Options) *Quarantine {
	return &Quarantine{options: o, table: NewTable(), journal: newJournal()}
}

// IsEmpty reports whether every request is clear, without taking a lock.
func (q *Quarantine) IsEmpty() bool { return q.table.IsEmpty() }

// Verdict returns the decision on a request.
func (q *Quarantine) Verdict(now time.Time, f Fingerprint) Verdict { return q.table.Verdict(now, f) }

// Counts returns the number of tracked requests and how many of them are quarantined.
func (q *Quarantine) Counts() (suspected, quarantined int) { return q.table.Counts() }

// TargetCrashed records that this VM observed the crash of a target that processed a request.
func (q *Quarantine) TargetCrashed(now time.Time, f Fingerprint, target uint64) {
	if q.answers.has(now, f) {
		q.options.Logger.WithField("fingerprint", f.String()).
			Info("quarantine: target crash not counted against a recently answered request")
		return
	}
	q.handle(now, Event{Request: f, Target: target}, Origin{})
}

// Answered records that a target answered a request of this VM.
func (q *Quarantine) Answered(now time.Time, f Fingerprint) {
	q.answers.add(now, f)
	if !q.table.IsEmpty() {
		q.handle(now, Event{Request: f}, Origin{})
	}
}

// Origin describes where an event came from.
type Origin struct {
	// VM is the VM that sent the event, "" if this VM observed it.
	VM string
	// Relay is true if this VM forwards the event to other VMs, and OtherRegion if VM is in another
	// region.
	Relay, OtherRegion bool
}

// isLocal reports whether this VM observed the event itself.
func (o Origin) isLocal() bool { return o.VM == "" }

// Received handles an event from another VM. It rejects the crash of a target under a request that
// was recently answered, and broadcasts the answer.
func (q *Quarantine) Received(now time.Time, e Event, from Origin) {
	if e.Answered() {
		q.receiveAnswer(now, e, from)
	} else if q.answers.has(now, e.Request) {
		q.broadcast(now, Event{Request: e.Request}, false)
		return
	}
	q.handle(now, e, from)
}

// receiveAnswer remembers an answer reported by another VM. A relay forwards it even if it does not
// suspect the request, as other VMs may.
func (q *Quarantine) receiveAnswer(now time.Time, e Event, from Origin) {
	q.answers.add(now, e.Request)
	if from.Relay {
		q.broadcast(now, e, from.OtherRegion)
		return
	}
	q.journal.Suppress(now, Event{Request: e.Request})
}

// broadcast queues an event for other VMs, unless it is queued already.
func (q *Quarantine) broadcast(now time.Time, e Event, otherRegion bool) {
	if q.journal.Add(now, e, otherRegion) {
		q.options.EventAdded()
	}
}

// handle applies, logs and forwards an event of this or another VM.
func (q *Quarantine) handle(now time.Time, e Event, from Origin) {
	before := q.table.Verdict(now, e.Request)
	if !q.apply(now, e, from.isLocal()) {
		return
	}
	q.logEvent(e, from, before, q.table.Verdict(now, e.Request))
	if from.isLocal() || from.Relay {
		q.broadcast(now, e, from.OtherRegion)
	}
}

// apply updates the table and reports whether the event was new.
func (q *Quarantine) apply(now time.Time, e Event, local bool) bool {
	if e.Answered() {
		return q.table.Answered(now, e.Request, local)
	}
	return q.table.TargetCrashed(now, e.Request, e.Target, local)
}

// logEvent logs local events, and events of other VMs only if they change the status of the
// request: otherwise every VM would log every crash in the fleet.
func (q *Quarantine) logEvent(e Event, from Origin, before, after Verdict) {
	if !from.isLocal() && before.Status == after.Status {
		return
	}
	log := q.options.Logger.WithFields(logrus.Fields{"fingerprint": e.Request.String(), "targets_ended": after.Targets})
	if !from.isLocal() {
		log = log.WithField("from", from.VM)
	}
	switch {
	case e.Answered():
		log.WithField("targets_ended", before.Targets).Info("quarantine: request cleared: a target answered it")
	case after.Status == Quarantined:
		log.Warn("quarantine: request quarantined: targets crash while processing it")
	default:
		log.Info("quarantine: target crashed while processing the request")
	}
}

// PendingEvents returns the events for the next report, with those of other regions if otherRegions
// is true.
func (q *Quarantine) PendingEvents(now time.Time, otherRegions bool) []Event {
	return q.journal.Pending(now, otherRegions)
}

// ClaimTrial claims a due trial of a quarantined request in the store, so that only one VM makes
// it. It returns true if the request may be sent to one target.
func (q *Quarantine) ClaimTrial(ctx context.Context, now time.Time, f Fingerprint) bool {
	record, at, due := q.table.ClaimTrial(now, f)
	if !due {
		return false
	}
	revision, err := q.writeRecord(ctx, f, record, at)
	log := q.options.Logger.WithFields(logrus.Fields{"fingerprint": f.String(), "trial": record.Trials, "era": revision.Era(), "revision": revision.Number()})
	if err != nil {
		log.WithError(err).Info("quarantine: trial not claimed")
		return false
	}
	q.table.SetRecord(now, f, record, revision)
	log.Warn("quarantine: trial claimed, sending the request to one target")
	return true
}

func (q *Quarantine) writeRecord(ctx context.Context, f Fingerprint, r Record, at store.Revision) (store.Revision, error) {
	r.VM = q.options.VM
	value, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "quarantine: encode record")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return q.options.KV.Swap(ctx, q.options.Keys.QuarantineKey(f.String()), value, at, 0)
}

// Tick expires old state and starts the writes to the store that are due. leader is true if this VM
// makes writes that no other VM made.
func (q *Quarantine) Tick(ctx context.Context, now time.Time, leader bool) {
	q.table.Expire(now)
	for _, w := range q.table.DueWrites(now, leader) {
		go func() {
			q.executeWrite(ctx, w)
			q.table.WriteDone(time.Now(), w.Request)
		}()
	}
}

func (q *Quarantine) executeWrite(ctx context.Context, w StoreWrite) {
	log := q.options.Logger.WithFields(logrus.Fields{"fingerprint": w.Request.String(), "targets_ended": len(w.Record.Targets), "removed": w.Remove})
	var err error
	if w.Remove {
		err = q.removeRecord(ctx, w)
	} else {
		_, err = q.writeRecord(ctx, w.Request, w.Record, w.Revision)
	}
	if err != nil && !store.IsConflict(err) {
		log.WithError(err).Warn("quarantine: cannot update record, will retry")
		return
	}
	log.WithField("by_other", err != nil).Info("quarantine: record updated")
}

func (q *Quarantine) removeRecord(ctx context.Context, w StoreWrite) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return q.options.KV.Delete(ctx, q.options.Keys.QuarantineKey(w.Request.String()), w.Revision)
}

// Apply applies the quarantine records among changes in the store, and returns the other changes.
func (q *Quarantine) Apply(now time.Time, changes []replica.Change) []replica.Change {
	others := make([]replica.Change, 0, len(changes))
	for _, c := range changes {
		text, ok := q.options.Keys.ParseQuarantineKey(c.Entry.Key)
		if !ok {
			others = append(others, c)
			continue
		}
		if err := q.applyRecord(now, text, c); err != nil {
			q.options.Logger.WithError(err).WithField("key", c.Entry.Key).Error("quarantine: cannot decode record")
		}
	}
	return others
}

func (q *Quarantine) applyRecord(now time.Time, text string, c replica.Change) error {
	f, err := parseFingerprint(text)
	if err != nil {
		return err
	}
	log := q.options.Logger.WithFields(logrus.Fields{
		"fingerprint": text, "era": c.Entry.Revision.Era(), "revision": c.Entry.Revision.Number(),
	})
	if c.Lost {
		q.table.LoseRecord(f)
		log.Warn("quarantine: the restored store lacks the record, to be written again")
		return nil
	}
	if c.Removed {
		if q.table.RemoveRecord(f) {
			log.Info("quarantine: request cleared: its record was removed")
		}
		return nil
	}
	var r Record
	if err := json.Unmarshal(c.Entry.Value, &r); err != nil {
		return errors.Wrap(err, "quarantine: decode record")
	}
	isNew := q.table.SetRecord(now, f, r, c.Entry.Revision)
	if q.answers.has(now, f) {
		q.table.Answered(now, f, false)
		q.broadcast(now, Event{Request: f}, false)
		log.Info("quarantine: ignoring the record of a recently answered request")
		return nil
	}
	if isNew {
		log.WithFields(logrus.Fields{"targets_ended": len(r.Targets), "from": r.VM}).Warn("quarantine: request quarantined by its record in the store")
	}
	return nil
}
