package feed

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/parts"
)

// splitList is the last reading and its encoded parts.
type splitList struct {
	sequence uint64
	vms      []membership.VM
	bodies   parts.Bodies
	digest   uint64
	// inView holds the rows last passed to the view.
	inView []membership.VM
}

// due reports whether this node reads the list now. A node that is not a watcher
// reads it when no recent read by another node is known, after a random delay:
// all nodes may get into that state at once.
func (f *Feed) due(now time.Time) bool {
	if f.replicator.Watching() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.peerReadAt) <= f.options.StaleAfter {
		f.nextRead = time.Time{}
		return false
	}
	if f.nextRead.IsZero() {
		f.nextRead = now.Add(f.randomBelow(f.pollInterval()))
	}
	return !now.Before(f.nextRead)
}

// pollInterval returns the poll interval of a node that is not a watcher: its
// share of ReadsPerSecond. A node without a list does not know the number of
// nodes and backs off exponentially instead.
func (f *Feed) pollInterval() time.Duration {
	snapshot := f.view.Current()
	if snapshot == nil {
		return min(f.options.Interval<<min(f.failures, 10), maxBootstrapWait)
	}
	nodes := 0
	for i := range snapshot.List.VMs {
		if snapshot.List.VMs[i].Role == membership.RoleEntry {
			nodes++
		}
	}
	share := time.Duration(float64(nodes) / f.options.ReadsPerSecond * float64(time.Second))
	return max(share, f.options.Interval)
}

// randomBelow returns a random duration in [0, d).
func (f *Feed) randomBelow(d time.Duration) time.Duration {
	return time.Duration(f.rand.Float64() * float64(d))
}

// read reads the list from the platform and schedules the next read.
func (f *Feed) read(ctx context.Context) {
	// The response is at least as recent as the start of the request.
	at := time.Now()
	list, err := f.lister.List(ctx)
	if ctx.Err() != nil {
		return
	}
	f.logOutage(err)
	if err != nil {
		f.failures++
		f.findSeeds(ctx)
	} else {
		f.failures = 0
		f.handleReading(list, at)
	}
	wait := f.pollInterval()
	f.nextRead = time.Now().Add(wait - time.Duration(jitterShare*float64(wait)) + f.randomBelow(time.Duration(2*jitterShare*float64(wait))))
}

// findSeeds looks up seed nodes if this node has no list.
func (f *Feed) findSeeds(ctx context.Context) {
	if f.view.Current() != nil || f.options.Seeds == nil {
		return
	}
	seeds := f.options.Seeds(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = membership.List{VMs: membership.Normalize(seeds)}
}

// logOutage logs the start and the end of an outage, not each failure.
func (f *Feed) logOutage(err error) {
	switch {
	case err != nil && !f.unavailable:
		f.log.WithError(err).Warn("membership: list not read, keeping the last one")
	case err == nil && f.unavailable:
		f.log.Info("membership: list read again")
	}
	f.unavailable = err != nil
}

// handleReading compares a reading with the replicated list and publishes the
// parts that changed.
func (f *Feed) handleReading(list membership.List, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.splitReading(list); err != nil {
		f.log.WithError(err).Error("membership: cannot encode the list, ignoring it")
		return
	}
	read := version{max(f.parts.head.epoch, f.current.epoch, 1), list.Sequence}
	// A node that has not synchronized with its peers would publish the whole
	// list as changed.
	if !f.replicator.Ready() || !f.parts.hasHead && !f.replicator.Watching() {
		f.applyLocally(read, at)
		return
	}
	same := read == f.parts.head && f.last.digest == f.parts.headDigest
	switch {
	case !f.parts.hasHead || read.newerThan(f.parts.head):
		f.publish(read)
	case same && f.parts.complete():
	case f.sequenceWasReset(at):
		read = f.nextEpoch(read)
		f.publish(read)
	case same:
		f.publish(read)
	}
	if read != f.parts.head || !f.parts.complete() || f.last.digest != f.parts.headDigest {
		return
	}
	f.mismatches = 0
	f.replicator.RecordReading(read.epoch, read.sequence, at)
	if f.current == read {
		f.updateView(f.last.inView, at)
	}
}

// applyLocally updates the view of this node without publishing the reading.
func (f *Feed) applyLocally(read version, at time.Time) {
	if f.current.newerThan(read) {
		if !f.sequenceWasReset(at) {
			return
		}
		read = f.nextEpoch(read)
	}
	f.mismatches = 0
	f.current = read
	f.updateView(f.last.vms, at)
}

func (f *Feed) nextEpoch(read version) version {
	read.epoch++
	f.log.WithField("epoch", read.epoch).Warn("membership: the list service counts anew")
	return read
}

// sequenceWasReset reports whether repeated readings that differ from the current
// list mean that the platform's sequence was reset. A lagging replica of the
// platform also returns older lists, but then some node still reads the current
// one.
func (f *Feed) sequenceWasReset(now time.Time) bool {
	f.mismatches++
	if f.mismatches < mismatchLimit {
		return false
	}
	reading, ok := f.replicator.Reading()
	return !ok || now.Sub(reading.At) > f.options.StaleAfter
}

// publish publishes the parts of the last reading that differ from the replicated
// ones. Equal parts keep their versions, so that watchers that read the same
// change publish it once.
func (f *Feed) publish(read version) {
	keys := f.parts.changedKeys(f.last.bodies)
	for _, key := range keys {
		body := f.last.bodies[key]
		if body == nil {
			body = []byte{}
		}
		f.publishPart(key, read, body)
	}
	if f.parts.hasHead && f.parts.head == read {
		return
	}
	head, err := parts.EncodeHead(f.last.digest)
	if err != nil {
		f.log.WithError(err).Error("membership: cannot encode the list digest")
		return
	}
	f.publishPart(parts.HeadKey, read, head)
	f.activateIfComplete()
}

func (f *Feed) publishPart(key string, v version, body []byte) {
	if err := f.replicator.Publish(key, v.epoch, v.sequence, body); err != nil {
		f.log.WithError(err).WithField("item", key).Error("membership: cannot publish part of the list")
		return
	}
	epoch, sequence, body := f.replicator.Part(key)
	f.store(key, version{epoch, sequence}, body)
}

// splitReading splits a list into parts, unless it is unchanged since the last
// reading.
func (f *Feed) splitReading(list membership.List) error {
	if f.last.sequence == list.Sequence && sameRows(f.last.vms, list.VMs) {
		return nil
	}
	bodies, err := parts.Split(membership.Normalize(list.VMs))
	if err != nil {
		return err
	}
	f.last.sequence, f.last.vms = list.Sequence, list.VMs
	f.last.bodies, f.last.digest = bodies, bodies.Digest()
	return nil
}

// sameRows reports whether both slices share their memory, as a Lister returns
// them for an unchanged list.
func sameRows(a, b []membership.VM) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}
