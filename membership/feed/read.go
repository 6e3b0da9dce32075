package feed

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/parts"
)

// split is the last reading in parts. A reading that did not change has the
// same rows in memory, and is not divided again.
type split struct {
	sequence uint64
	vms      []membership.VM
	bodies   parts.Bodies
	digest   uint64
	// shown are the rows last given to the view.
	shown []membership.VM
}

// due reports whether this node reads the list now.
//
// Guard against nodes that learn of no change because spreading fails on the
// way to them, which shows in that nobody is known to have read the list they
// have. All nodes may find that at one moment, so each waits for a random part
// of its share of the rate that is permitted for all.
func (f *Feed) due(now time.Time) bool {
	if f.spread.Watching() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.spreadAt) <= f.options.StaleAfter {
		f.nextRead = time.Time{}
		return false
	}
	if f.nextRead.IsZero() {
		f.nextRead = now.Add(f.random(f.wait()))
	}
	return !now.Before(f.nextRead)
}

// wait is the time between two readings by a node that is not a watcher. A node
// without a list does not know how many others there are; it tries less and
// less often.
func (f *Feed) wait() time.Duration {
	snapshot := f.view.Current()
	if snapshot == nil {
		return min(f.options.Interval<<min(f.failures, 10), maxFirstWait)
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

// random returns a time between 0 and d.
func (f *Feed) random(d time.Duration) time.Duration {
	return time.Duration(f.rand.Float64() * float64(d))
}

// read reads the list once.
func (f *Feed) read(ctx context.Context) {
	// What the answer tells is at least as new as the moment of the call.
	at := time.Now()
	list, err := f.lister.List(ctx)
	if ctx.Err() != nil {
		return
	}
	f.logTurn(err)
	if err != nil {
		f.failures++
		f.findSeeds(ctx)
	} else {
		f.failures = 0
		f.took(list, at)
	}
	wait := f.wait()
	f.nextRead = time.Now().Add(wait - time.Duration(jitterShare*float64(wait)) + f.random(time.Duration(2*jitterShare*float64(wait))))
}

// findSeeds looks for nodes that have the list, for a node that has none.
func (f *Feed) findSeeds(ctx context.Context) {
	if f.view.Current() != nil || f.options.Seeds == nil {
		return
	}
	seeds := f.options.Seeds(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = membership.List{VMs: membership.Normalize(seeds)}
}

// logTurn writes a line at the start and the end of an outage only.
func (f *Feed) logTurn(err error) {
	switch {
	case err != nil && !f.out:
		f.log.WithError(err).Warn("membership: list not read, keeping the last one")
	case err == nil && f.out:
		f.log.Info("membership: list read again")
	}
	f.out = err != nil
}

// took compares a reading with the list in force.
func (f *Feed) took(list membership.List, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.divide(list); err != nil {
		f.log.WithError(err).Error("membership: list left out")
		return
	}
	read := version{max(f.parts.head.epoch, f.held.epoch, 1), list.Sequence}
	// A node that does not know what others have would spread the whole list as
	// if all had changed.
	if !f.spread.Ready() || !f.parts.known && !f.spread.Watching() {
		f.takeAlone(read, at)
		return
	}
	same := read == f.parts.head && f.last.digest == f.parts.digest
	switch {
	case !f.parts.known || read.later(f.parts.head):
		f.publish(read)
	case same && f.parts.complete():
	case f.startedAnew(at):
		read = f.nextEpoch(read)
		f.publish(read)
	case same:
		f.publish(read)
	}
	if read != f.parts.head || !f.parts.complete() || f.last.digest != f.parts.digest {
		return
	}
	f.others = 0
	f.spread.RecordReading(read.epoch, read.sequence, at)
	if f.held == read {
		f.show(f.last.shown, at)
	}
}

// takeAlone puts a reading in force on this node only.
func (f *Feed) takeAlone(read version, at time.Time) {
	if f.held.later(read) {
		if !f.startedAnew(at) {
			return
		}
		read = f.nextEpoch(read)
	}
	f.others = 0
	f.held = read
	f.show(f.last.vms, at)
}

func (f *Feed) nextEpoch(read version) version {
	read.epoch++
	f.log.WithField("epoch", read.epoch).Warn("membership: the list service counts anew")
	return read
}

// startedAnew reports whether a reading that is not the list in force shall
// replace it.
//
// A part of the platform that is behind gives older lists, and so does a
// platform that lost its count. The first must not be believed, or VMs that
// ended are back; the second must, or no change is seen any more. They differ in
// that somebody still reads the list in force in the first case.
func (f *Feed) startedAnew(now time.Time) bool {
	f.others++
	if f.others < otherLimit {
		return false
	}
	reading, ok := f.spread.Reading()
	return !ok || now.Sub(reading.At) > f.options.StaleAfter
}

// publish spreads the parts in which the last reading differs from what was
// spread. Parts that are equal keep their versions: watchers that read the same
// change at different times publish it once.
func (f *Feed) publish(read version) {
	keys := f.parts.differing(f.last.bodies)
	for _, key := range keys {
		body := f.last.bodies[key]
		if body == nil {
			body = []byte{}
		}
		f.publishPart(key, read, body)
	}
	if f.parts.known && f.parts.head == read {
		return
	}
	head, err := parts.EncodeHead(f.last.digest)
	if err != nil {
		f.log.WithError(err).Error("membership: digest not spread")
		return
	}
	f.publishPart(parts.HeadKey, read, head)
	f.assemble()
}

func (f *Feed) publishPart(key string, v version, body []byte) {
	if err := f.spread.Publish(key, v.epoch, v.sequence, body); err != nil {
		f.log.WithError(err).WithField("item", key).Error("membership: part of the list not spread")
		return
	}
	epoch, sequence, body := f.spread.Part(key)
	f.put(key, version{epoch, sequence}, body)
}

// divide divides the rows unless they are those of the last reading.
func (f *Feed) divide(list membership.List) error {
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

// sameRows reports whether both are the same rows in memory.
func sameRows(a, b []membership.VM) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}
