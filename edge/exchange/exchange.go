// Package exchange tells the other entry VMs, by datagrams, which requests this VM
// has in hand at which target, how much its callers ask for, and that it lives.
// A datagram holds the whole state, so that a lost one is made good by the next.
package exchange

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// beat is the longest time between two datagrams to the VMs of the own
	// region; farBeat to others, which need demand and liveness only.
	beat    = 250 * time.Millisecond
	farBeat = 500 * time.Millisecond
	// turn is the shortest time between two datagrams in a small region. With
	// 20 ms a target's count is as old as a tenth of its shortest work.
	turn = 20 * time.Millisecond
	// turnPerPeer bounds what a VM spends in a large region: at most one
	// datagram a turnPerPeer.
	turnPerPeer = 4 * time.Millisecond
	// maxDatagram is below the smallest usual MTU times a few fragments.
	maxDatagram = 8 << 10
)

// State is what one VM tells.
type State struct {
	// VM is how the VM registered itself: the store may have lost that.
	VM site.VM `msgpack:"v"`
	// Number orders the datagrams of one incarnation.
	Number uint64 `msgpack:"n"`
	// Leaving tells that the VM takes no new callers, Serving that it can.
	Leaving bool `msgpack:"l"`
	Serving bool `msgpack:"s"`
	// Linked tells that the VM watches the store and is answered.
	Linked bool `msgpack:"k"`
	// Revision is that of its copy of the store.
	Revision uint64             `msgpack:"x"`
	InHand   map[uint64]int     `msgpack:"h"`
	Demand   map[string]float64 `msgpack:"d"`
}

// Peer is another VM.
type Peer struct {
	Name    string
	Address string
	// Near tells that it is of the own region.
	Near bool
}

// Options configure an Exchange.
type Options struct {
	// Address is ip:port for datagrams.
	Address string
	Logger  *logrus.Entry
	// State returns what to tell.
	State func() State
	// Heard is called with each newer state of another VM.
	Heard func(State)
}

// Exchange sends and receives. It is safe for use by several goroutines.
type Exchange struct {
	options Options
	conn    *net.UDPConn
	// changed holds one token while there is news to tell.
	changed chan struct{}

	mu    sync.Mutex
	peers []Peer
	addrs []netip.AddrPort
	last  map[string]position
	sent  uint64
}

// Start binds the address and listens until the context ends.
func Start(ctx context.Context, o Options) (*Exchange, error) {
	addr, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "exchange: address")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "exchange: listen")
	}
	e := &Exchange{options: o, conn: conn, changed: make(chan struct{}, 1), last: make(map[string]position)}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go e.receive()
	go e.sendLoop(ctx)
	return e, nil
}

// SetPeers replaces the VMs that are told.
func (e *Exchange) SetPeers(peers []Peer) {
	var known []Peer
	var addrs []netip.AddrPort
	for _, p := range peers {
		addr, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			e.options.Logger.WithError(err).WithField("peer", p.Name).Warn("exchange: peer without a usable address")
			continue
		}
		known = append(known, p)
		addrs = append(addrs, addr)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers, e.addrs = known, addrs
}

// Changed asks for a datagram soon. It never blocks.
func (e *Exchange) Changed() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// Flush sends a datagram to all VMs now.
func (e *Exchange) Flush() { e.send(true) }

func (e *Exchange) sendLoop(ctx context.Context) {
	tick := time.NewTicker(beat)
	defer tick.Stop()
	farAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-e.changed:
		}
		far := time.Since(farAt) >= farBeat
		if far {
			farAt = time.Now()
		}
		near := e.send(far)
		if !wait.For(ctx, max(turn, time.Duration(near)*turnPerPeer)) {
			return
		}
	}
}

// send tells the near VMs, and the far ones too if asked to. It returns how many
// near ones there are.
func (e *Exchange) send(far bool) (near int) {
	e.mu.Lock()
	peers, addrs := e.peers, e.addrs
	e.sent++
	number := e.sent
	e.mu.Unlock()
	if len(peers) == 0 {
		return 0
	}
	state := e.options.State()
	state.Number = number
	text, err := msgpack.Marshal(&state)
	if err != nil || len(text) > maxDatagram {
		e.options.Logger.WithError(err).WithField("bytes", len(text)).Error("exchange: state cannot be sent")
		return 0
	}
	for i, p := range peers {
		if p.Near {
			near++
		}
		if !p.Near && !far {
			continue
		}
		// A datagram that is not sent is made good by the next one; the peer's
		// silence is what counts, and is logged there.
		_, _ = e.conn.WriteToUDPAddrPort(text, addrs[i])
	}
	return near
}

func (e *Exchange) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var s State
		if err := msgpack.Unmarshal(buffer[:n], &s); err != nil {
			e.options.Logger.WithError(err).Warn("exchange: datagram not understood")
			continue
		}
		if e.isNews(s) {
			e.options.Heard(s)
		}
	}
}

// isNews reports whether a state is newer than the last of its VM: datagrams may
// overtake each other.
func (e *Exchange) isNews(s State) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.last[s.VM.Name]
	incarnation := s.VM.Incarnation
	if known && (incarnation < last.incarnation || (incarnation == last.incarnation && s.Number <= last.number)) {
		return false
	}
	e.last[s.VM.Name] = position{incarnation, s.Number}
	return true
}

// position orders the datagrams of one VM.
type position struct{ incarnation, number uint64 }
