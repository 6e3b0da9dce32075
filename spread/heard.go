package spread

import (
	"sync"
	"time"
)

// heardPeer is what a node knows of another, at the time it last heard it.
type heardPeer struct {
	incarnation uint64
	equal       bool
	heardAt     time.Time
	equalAt     time.Time
}

// heardTable remembers the peers that were heard.
type heardTable struct {
	mu    sync.Mutex
	peers map[string]heardPeer
}

func newHeardTable() *heardTable {
	return &heardTable{peers: map[string]heardPeer{}}
}

// set records that a peer was heard and whether its digest was the same.
func (t *heardTable) set(vm string, incarnation uint64, equal bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[vm]
	if incarnation != 0 {
		p.incarnation = incarnation
	}
	p.equal = equal
	p.heardAt = now
	if equal {
		p.equalAt = now
	}
	t.peers[vm] = p
}

// keep forgets the peers that left the list.
func (t *heardTable) keep(listed func(vm string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for vm := range t.peers {
		if !listed(vm) {
			delete(t.peers, vm)
		}
	}
}
