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

// reading is one reading of a service of the platform by a watcher.
type reading struct {
	watcher uint64
	count   uint64
	// epoch and sequence tell what was read; both are 0 for the store, whose
	// items have versions of their own.
	epoch    uint64
	sequence uint64
	// at is when the reading was made, zero when none is known.
	at time.Time
}

// ageMs returns the age to send.
func (r reading) ageMs() uint32 {
	return uint32(min(time.Since(r.at).Milliseconds(), math.MaxUint32))
}

// readings knows the latest reading by any watcher.
type readings struct {
	mu sync.Mutex
	// counts holds the last count heard of each watcher.
	counts map[uint64]uint64
	last   reading
}

func newReadings() *readings {
	return &readings{counts: map[uint64]uint64{}}
}

// note takes a reading in. One that was heard before is dropped, however young
// its sender makes it: each passage adds its delay, which nobody can measure,
// and in a circle of watchers the service would look in contact while it is out.
//
// A reading of something older is dropped too: a watcher that is given an old
// list must not hide for how long nobody has read the newer one.
func (r *readings) note(heard reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if heard.count <= r.counts[heard.watcher] {
		return
	}
	r.counts[heard.watcher] = heard.count
	order := cmp.Or(cmp.Compare(heard.epoch, r.last.epoch), cmp.Compare(heard.sequence, r.last.sequence))
	if order > 0 || order == 0 && heard.at.After(r.last.at) {
		r.last = heard
	}
}

// latest returns the reading to pass on; ok is false when none is known.
func (r *readings) latest() (last reading, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, !r.last.at.IsZero()
}

// age returns the time since the reading, -1 when none is known.
func (r *readings) age() time.Duration {
	last, ok := r.latest()
	if !ok {
		return -1
	}
	return time.Since(last.at)
}

// ListRead is a reading of the VM list.
type ListRead struct {
	// Epoch and Sequence name the list that was read.
	Epoch, Sequence uint64
	// At is when it was read.
	At time.Time
	// Own tells that this node read it.
	Own bool
}

// RecordListRead tells that this node has read the VM list now. Heartbeats pass
// it on to those below.
func (s *Service) RecordListRead(epoch, sequence uint64, at time.Time) {
	s.listReads.note(reading{watcher: s.readerID, count: s.countOf(at), epoch: epoch, sequence: sequence, at: at})
}

// ListRead returns the latest reading of the newest VM list that this node
// knows of; ok is false when it knows of none.
func (s *Service) ListRead() (read ListRead, ok bool) {
	last, ok := s.listReads.latest()
	return ListRead{Epoch: last.epoch, Sequence: last.sequence, At: last.at, Own: last.watcher == s.readerID}, ok
}

// noteOwnRead takes in what the node's own source read.
func (s *Service) noteOwnRead() {
	if at, ok := s.source.lastRead(); ok {
		s.reads.note(reading{watcher: s.readerID, count: s.countOf(at), at: at})
	}
}

// countOf numbers the readings of this life of the node.
func (s *Service) countOf(at time.Time) uint64 {
	return uint64(max(at.Sub(s.started).Milliseconds(), 0) + 1)
}

// noteUpdate takes in what an upstream knows.
func (s *Service) noteUpdate(u *peerpb.Update) {
	if r := u.GetStoreRead(); r != nil {
		s.reads.note(reading{watcher: r.GetWatcher(), count: r.GetCount(), at: before(r.GetAgeMs())})
	}
	if r := u.GetListRead(); r != nil {
		s.listReads.note(reading{
			watcher: r.GetWatcher(), count: r.GetCount(),
			epoch: r.GetEpoch(), sequence: r.GetSequence(), at: before(r.GetAgeMs()),
		})
	}
}

func before(ageMs uint32) time.Time {
	return time.Now().Add(-time.Duration(ageMs) * time.Millisecond)
}

// fillReads adds to an Update what this node knows of readings.
func (s *Service) fillReads(u *peerpb.Update) {
	s.noteOwnRead()
	if r, ok := s.reads.latest(); ok {
		u.StoreRead = &peerpb.StoreRead{Watcher: r.watcher, Count: r.count, AgeMs: r.ageMs()}
	}
	if r, ok := s.listReads.latest(); ok {
		u.ListRead = &peerpb.ListRead{
			Watcher: r.watcher, Count: r.count, AgeMs: r.ageMs(), Epoch: r.epoch, Sequence: r.sequence,
		}
	}
}

// readerIDOf names one life of a watcher.
func readerIDOf(ref *peerpb.NodeRef) uint64 {
	name := binary.LittleEndian.AppendUint64([]byte(ref.GetVm()), ref.GetIncarnation())
	return xxhash.Sum64(name)
}
