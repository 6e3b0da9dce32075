package fairshare

import (
	"container/list"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TimeConstant is that of the decay of work.
	TimeConstant = 10 * time.Second
	// MaxAccounts bounds the accounts of a VM, over all services and regions. One takes about 300 bytes.
	MaxAccounts = 1024
	// recentTime is how long after its last waiting request an account counts as one that waits. An
	// account that has not waited for longer accumulates no credit.
	recentTime = 5 * time.Second
)

// Key identifies a client account at the targets of a service in a region.
type Key struct {
	Service, Region string
	Account         uint32
}

// AccountOf returns the hash of an account's name, which is the same on all VMs. Accounts whose hashes
// collide share their work.
func AccountOf(name string) uint32 { return uint32(xxhash.Sum64String(name) >> 32) }

// entry is the work of one account, in seconds of slot time as of at. All parts decay alike.
type entry struct {
	key  Key
	name string
	// own is the work of the requests of this VM, others that of other VMs. raised keeps an account
	// that was idle from having less work than those that were not.
	own, others, raised float64
	at                  time.Time
	// waitedAt is when a request of the account last waited at this VM.
	waitedAt time.Time
	// queued is the expected service time of the requests that have got a tag in the pass.
	queued float64
	pass   uint64
}

func (e *entry) decay(now time.Time) {
	if left := decayed(1, now.Sub(e.at)); left < 1 {
		e.own *= left
		e.others *= left
		e.raised *= left
		e.at = now
	}
}

func (e *entry) work() float64 { return e.own + e.others + e.raised }

// decayed returns what is left of work after a time.
func decayed(work float64, elapsed time.Duration) float64 {
	return work * math.Exp(-max(0, elapsed).Seconds()/TimeConstant.Seconds())
}

// Table holds the work of the accounts that a VM has lately had requests of.
type Table struct {
	entries map[Key]*list.Element
	// recent holds the entries, the most recently used first.
	recent  *list.List
	reports map[string]*report
	// reported is what this VM last reported, as of reportedAt.
	reported   map[Key]float64
	reportedAt time.Time
	// queuedAt is when a request last waited.
	queuedAt time.Time
	pass     uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[Key]*list.Element), recent: list.New(), reports: make(map[string]*report)}
}

// entryOf returns the entry of an account. A new one replaces the least recently used one if there are
// MaxAccounts.
func (t *Table) entryOf(now time.Time, key Key, name string) *entry {
	if element, ok := t.entries[key]; ok {
		t.recent.MoveToFront(element)
		e := element.Value.(*entry)
		e.decay(now)
		return e
	}
	if t.recent.Len() >= MaxAccounts {
		delete(t.entries, t.recent.Remove(t.recent.Back()).(*entry).key)
	}
	e := &entry{key: key, name: name, others: t.reportedByOthers(now, key), at: now}
	t.entries[key] = t.recent.PushFront(e)
	return e
}

// Start counts a request that starts, by its expected service time.
func (t *Table) Start(now time.Time, key Key, name string, expected time.Duration) {
	t.entryOf(now, key, name).own += expected.Seconds()
}

// Correct adds the difference between the time that a target had a request and the expected service time.
func (t *Table) Correct(now time.Time, key Key, difference time.Duration) {
	element, ok := t.entries[key]
	if !ok {
		return
	}
	e := element.Value.(*entry)
	e.decay(now)
	e.own = max(0, e.own+difference.Seconds())
}

// Wait records that a request of an account begins to wait. If none has waited lately, the work of the account
// counts as at least the least work of those that have, less the service time of the request: an account
// that was idle would otherwise go before all others until it has caught up with them.
func (t *Table) Wait(now time.Time, key Key, name string, service time.Duration) {
	e := t.entryOf(now, key, name)
	if !e.waitsAt(now) {
		if least, ok := t.leastWaiting(now, key); ok {
			e.raised += max(0, least-service.Seconds()-e.work())
		}
	}
	e.waitedAt, t.queuedAt = now, now
}

func (e *entry) waitsAt(now time.Time) bool {
	return !e.waitedAt.IsZero() && now.Sub(e.waitedAt) <= recentTime
}

// leastWaiting returns the least work of the accounts that wait for the targets that a key is for.
func (t *Table) leastWaiting(now time.Time, key Key) (least float64, ok bool) {
	for element := t.recent.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry)
		if e.key.Service != key.Service || e.key.Region != key.Region || !e.waitsAt(now) {
			continue
		}
		e.decay(now)
		if work := e.work(); !ok || work < least {
			least, ok = work, true
		}
	}
	return least, ok
}

// Work returns the work of an account, 0 if it is not known.
func (t *Table) Work(now time.Time, key Key) time.Duration {
	element, ok := t.entries[key]
	if !ok {
		return 0
	}
	e := element.Value.(*entry)
	e.decay(now)
	return duration(e.work())
}

// Known is as Work, also for an account without requests at this VM.
func (t *Table) Known(now time.Time, key Key) time.Duration {
	if _, ok := t.entries[key]; !ok {
		return duration(t.reportedByOthers(now, key))
	}
	return t.Work(now, key)
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// BeginPass begins to give tags to the waiting requests.
func (t *Table) BeginPass() { t.pass++ }

// NextTag returns the tag of the next waiting request of an account. The requests of one account must
// be passed in the order in which they are to be served.
func (t *Table) NextTag(now time.Time, key Key, service time.Duration) time.Duration {
	e := t.entryOf(now, key, "")
	if e.pass != t.pass {
		e.pass, e.queued = t.pass, 0
	}
	e.waitedAt, t.queuedAt = now, now
	tag := duration(e.work() + e.queued)
	e.queued += service.Seconds()
	return tag
}
