package spread

import (
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// storeReads knows the latest reading of the store by any watcher.
type storeReads struct {
	mu sync.Mutex
	// counts holds the last count heard of each watcher.
	counts  map[uint64]uint64
	watcher uint64
	count   uint64
	// at is when the reading was made, zero when none is known.
	at time.Time
}

func newStoreReads() *storeReads {
	return &storeReads{counts: map[uint64]uint64{}}
}

// note takes a reading in. One that was heard before is dropped, however young
// its sender makes it: each passage adds its delay, which nobody can measure,
// and in a circle of watchers the store would look in contact while it is out.
func (r *storeReads) note(watcher, count uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if count <= r.counts[watcher] {
		return
	}
	r.counts[watcher] = count
	if at.After(r.at) {
		r.watcher, r.count, r.at = watcher, count, at
	}
}

// latest returns the reading to pass on, or nil.
func (r *storeReads) latest() *peerpb.StoreRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at.IsZero() {
		return nil
	}
	age := min(time.Since(r.at).Milliseconds(), math.MaxUint32)
	return &peerpb.StoreRead{Watcher: r.watcher, Count: r.count, AgeMs: uint32(age)}
}

// age returns the time since the reading, -1 when none is known.
func (r *storeReads) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at.IsZero() {
		return -1
	}
	return time.Since(r.at)
}

// noteOwnRead takes in what the node's own source read.
func (s *Service) noteOwnRead() {
	at, ok := s.source.lastRead()
	if !ok {
		return
	}
	count := max(at.Sub(s.started).Milliseconds(), 0) + 1
	s.reads.note(s.readerID, uint64(count), at)
}

// noteUpdate takes in what an upstream knows.
func (s *Service) noteUpdate(u *peerpb.Update) {
	if read := u.GetStoreRead(); read != nil {
		age := time.Duration(read.GetAgeMs()) * time.Millisecond
		s.reads.note(read.GetWatcher(), read.GetCount(), time.Now().Add(-age))
	}
}

// readerIDOf names one life of a watcher.
func readerIDOf(ref *peerpb.NodeRef) uint64 {
	name := binary.LittleEndian.AppendUint64([]byte(ref.GetVm()), ref.GetIncarnation())
	return xxhash.Sum64(name)
}
