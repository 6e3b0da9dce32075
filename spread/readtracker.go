package spread

import (
	"cmp"
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// readRecord describes one read of the store or the VM list by a watcher.
type readRecord struct {
	watcher uint64
	count   uint64
	// epoch and sequence identify the VM list that was read. Both are 0 for the
	// store, whose items are versioned individually.
	epoch    uint64
	sequence uint64
	// at is when the read was made, zero if none is known.
	at time.Time
}

// ageMs returns the age in the unit of the wire format.
func (r readRecord) ageMs() uint32 {
	return uint32(min(time.Since(r.at).Milliseconds(), math.MaxUint32))
}

// readTracker holds the latest read by any watcher.
type readTracker struct {
	mu sync.Mutex
	// counts holds the highest read count received from each watcher.
	counts map[uint64]uint64
	last   readRecord
}

func newReadTracker() *readTracker {
	return &readTracker{counts: map[uint64]uint64{}}
}

// record stores a read unless its count was seen before. Forwarding adds an
// unmeasured delay to the age, so a read that circulates between watchers would
// otherwise appear recent during an outage.
//
// A read of an older version is dropped too, so that a watcher with an outdated
// VM list does not hide the age of the newer one.
func (r *readTracker) record(read readRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if read.count <= r.counts[read.watcher] {
		return
	}
	r.counts[read.watcher] = read.count
	order := cmp.Or(cmp.Compare(read.epoch, r.last.epoch), cmp.Compare(read.sequence, r.last.sequence))
	if order > 0 || order == 0 && read.at.After(r.last.at) {
		r.last = read
	}
}

// latest returns the read to forward; ok is false when none is known.
func (r *readTracker) latest() (last readRecord, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, !r.last.at.IsZero()
}

// age returns the time since the latest read, -1 when none is known.
func (r *readTracker) age() time.Duration {
	last, ok := r.latest()
	if !ok {
		return -1
	}
	return time.Since(last.at)
}

// ListRead describes a read of the VM list.
type ListRead struct {
	// Epoch and Sequence identify the list that was read.
	Epoch, Sequence uint64
	// At is when it was read.
	At time.Time
	// Own reports whether this node read the list itself.
	Own bool
}

// RecordListRead records that this node read the VM list. Heartbeats forward
// the read to subscribers.
func (s *Service) RecordListRead(epoch, sequence uint64, at time.Time) {
	s.listReads.record(readRecord{watcher: s.readerID, count: s.readCount(at), epoch: epoch, sequence: sequence, at: at})
}

// ListRead returns the latest known read of the newest VM list; ok is false
// when none is known.
func (s *Service) ListRead() (read ListRead, ok bool) {
	last, ok := s.listReads.latest()
	return ListRead{Epoch: last.epoch, Sequence: last.sequence, At: last.at, Own: last.watcher == s.readerID}, ok
}

// recordOwnRead records the last read of the node's own source.
func (s *Service) recordOwnRead() {
	if at, ok := s.source.lastRead(); ok {
		s.storeReads.record(readRecord{watcher: s.readerID, count: s.readCount(at), at: at})
	}
}

// readCount derives an increasing count for this incarnation's reads from the
// time of the read.
func (s *Service) readCount(at time.Time) uint64 {
	return uint64(max(at.Sub(s.started).Milliseconds(), 0) + 1)
}

// recordReads records the reads reported by an upstream.
func (s *Service) recordReads(u *peerpb.Update) {
	if r := u.GetStoreRead(); r != nil {
		s.storeReads.record(readRecord{watcher: r.GetWatcher(), count: r.GetCount(), at: timeAgo(r.GetAgeMs())})
	}
	if r := u.GetListRead(); r != nil {
		s.listReads.record(readRecord{
			watcher: r.GetWatcher(), count: r.GetCount(),
			epoch: r.GetEpoch(), sequence: r.GetSequence(), at: timeAgo(r.GetAgeMs()),
		})
	}
}

func timeAgo(ageMs uint32) time.Time {
	return time.Now().Add(-time.Duration(ageMs) * time.Millisecond)
}

// fillReads adds the latest known reads to an Update.
func (s *Service) fillReads(u *peerpb.Update) {
	s.recordOwnRead()
	if r, ok := s.storeReads.latest(); ok {
		u.StoreRead = &peerpb.StoreRead{Watcher: r.watcher, Count: r.count, AgeMs: r.ageMs()}
	}
	if r, ok := s.listReads.latest(); ok {
		u.ListRead = &peerpb.ListRead{
			Watcher: r.watcher, Count: r.count, AgeMs: r.ageMs(), Epoch: r.epoch, Sequence: r.sequence,
		}
	}
}

// readerIDOf identifies one incarnation of a watcher.
func readerIDOf(ref *peerpb.NodeRef) uint64 {
	name := binary.LittleEndian.AppendUint64([]byte(ref.GetVm()), ref.GetIncarnation())
	return xxhash.Sum64(name)
}
