package spread

import (
	"sync"
	"time"
)

// peerState is what the node knew of a peer at the last contact.
type peerState struct {
	incarnation uint64
	equal       bool
	lastContact time.Time
	equalAt     time.Time
}

// peerTable records the last contact with each peer.
type peerTable struct {
	mu    sync.Mutex
	peers map[string]peerState
}

func newPeerTable() *peerTable {
	return &peerTable{peers: map[string]peerState{}}
}

// record stores a contact with a peer and whether the digests matched.
func (t *peerTable) record(vm string, incarnation uint64, equal bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[vm]
	if incarnation != 0 {
		p.incarnation = incarnation
	}
	p.equal = equal
	p.lastContact = now
	if equal {
		p.equalAt = now
	}
	t.peers[vm] = p
}

// retain removes the peers that left the VM list.
func (t *peerTable) retain(listed func(vm string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for vm := range t.peers {
		if !listed(vm) {
			delete(t.peers, vm)
		}
	}
}
