// Package exchange reports to the other entry VMs, by datagrams, which requests this VM
// has in flight at which target, how much its callers ask for, and that it lives.
// A datagram holds the whole state, so that a lost one is made good by the next.
//
// In a small region every VM reports to every other one. In a large one they report
// to a few listeners, and the first of these sends out a digest: the sum
// of all that it received. The digest goes to one VM of each failure domain, a relay, which
// sends it on to the others of its domain. The datagrams of a VM then do not grow
// with the region, and those between failure domains neither. Listeners of different
// regions exchange the sums of their regions.
package exchange

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccaroute/yuccaroute/api/wait"
)

const (
	// heartbeatInterval is the longest time between two reports to the VMs of the own region;
	// farHeartbeatInterval to others, which need sums and liveness only.
	heartbeatInterval    = 250 * time.Millisecond
	farHeartbeatInterval = 500 * time.Millisecond
	// minReportInterval is the shortest time between two reports in a small region: a
	// small part of the shortest service time.
	minReportInterval = 20 * time.Millisecond
	// minReportIntervalLarge is the same in a large region, where many VMs share each target
	// and no one of them changes its count by much. It is also the time between
	// two digests.
	minReportIntervalLarge = 150 * time.Millisecond
	// fullDigestEvery is in how many digests one is full: it has what is needed less often,
	// the counts of other regions and which VMs are responsive. Two such intervals are
	// shorter than counts are trusted.
	fullDigestEvery = 3
	// maxDatagram is below the smallest usual MTU times a few fragments; maxTail of it
	// are for what a relay adds.
	maxDatagram = 16 << 10
	maxTail     = 256
)

// Peer is a VM that gets datagrams.
type Peer struct {
	Name    string
	Address string
}

// Recipients is who gets what.
type Recipients struct {
	// SameRegion are the listeners of the own region, without this VM; OtherRegions those of
	// other regions.
	SameRegion, OtherRegions []Peer
	// Digests get a digest, and Relays one to relay: this VM is the first listener
	// of a large region.
	Digests, Relays []Peer
	// Large tells that the region has listeners.
	Large bool
}

// Options configure an Exchange.
type Options struct {
	// Address is ip:port for datagrams.
	Address string
	Logger  *logrus.Entry
	// State returns what to report, the sums of the region if they are asked for.
	State func(sum bool) State
	// Digest returns the digest for all VMs of the region.
	Digest func(full bool) *Digest
	// Recipients returns who gets reports and digests now.
	Recipients func() Recipients
	// RelayTo returns to whom this VM relays a digest, and what it adds.
	RelayTo func() ([]Peer, Relay)
	// Received is called with each newer state of another VM.
	Received func(State)
}

// Exchange sends and receives. It is safe for use by several goroutines.
type Exchange struct {
	options Options
	conn    *net.UDPConn
	// changed holds one token while there is news to tell, urgent tells that other regions
	// should have it with the next report.
	changed chan struct{}
	urgent  atomic.Bool

	mu    sync.Mutex
	addrs map[string]netip.AddrPort
	sent  uint64
	order order
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
	e := &Exchange{options: o, conn: conn, changed: make(chan struct{}, 1),
		addrs: make(map[string]netip.AddrPort), order: make(order)}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go e.receive()
	go e.sendLoop(ctx)
	return e, nil
}

// RequestReport asks for a datagram soon. It never blocks.
func (e *Exchange) RequestReport() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// RequestUrgentReport is Changed for news that other regions should have as soon as the own one.
func (e *Exchange) RequestUrgentReport() {
	e.urgent.Store(true)
	e.RequestReport()
}

// Flush sends reports to all now.
func (e *Exchange) Flush() {
	to := e.options.Recipients()
	e.report(to.SameRegion, false)
	e.report(to.OtherRegions, to.Large)
}

func (e *Exchange) sendLoop(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	farAt := time.Now()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-e.changed:
		}
		to := e.options.Recipients()
		e.report(to.SameRegion, false)
		if e.urgent.Swap(false) || time.Since(farAt) >= farHeartbeatInterval {
			farAt = time.Now()
			e.report(to.OtherRegions, to.Large)
		}
		e.digest(to, round%fullDigestEvery == 0)
		pause := minReportInterval
		if to.Large {
			pause = minReportIntervalLarge
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// report sends this VM's state, or its region's sums.
func (e *Exchange) report(to []Peer, sum bool) {
	if len(to) == 0 {
		return
	}
	state := e.options.State(sum)
	state.Sum = sum
	text := e.encode(&state)
	for _, p := range to {
		e.write(text, p)
	}
}

// digest sends the VMs of the region what all of them do.
func (e *Exchange) digest(to Recipients, full bool) {
	if len(to.Digests)+len(to.Relays) == 0 {
		return
	}
	state := e.options.State(false)
	state.Digest = e.options.Digest(full)
	text := e.encode(&state)
	if text == nil {
		return
	}
	for _, p := range to.Digests {
		e.write(text, p)
	}
	text[0] = toRelay
	for _, p := range to.Relays {
		e.write(text, p)
	}
}

// The first byte of a datagram tells what the receiver does with it.
const (
	toKeep  = 0
	toRelay = 1
)

// encode numbers and renders a state, nil if that fails.
func (e *Exchange) encode(state *State) []byte {
	e.mu.Lock()
	e.sent++
	state.Sequence = e.sent
	e.mu.Unlock()
	body, err := msgpack.Marshal(state)
	if err != nil || len(body) >= maxDatagram-maxTail {
		e.options.Logger.WithError(err).WithField("bytes", len(body)).Error("exchange: state cannot be sent")
		return nil
	}
	return append([]byte{toKeep}, body...)
}

func (e *Exchange) write(text []byte, to Peer) {
	addr, ok := e.address(to)
	if text == nil || !ok {
		return
	}
	// A datagram that is not sent is made good by the next one; the peer's
	// silence is what counts, and is logged there.
	_, _ = e.conn.WriteToUDPAddrPort(text, addr)
}

// address parses a VM's address once.
func (e *Exchange) address(to Peer) (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	addr, ok := e.addrs[to.Address]
	if ok {
		return addr, addr.IsValid()
	}
	addr, err := netip.ParseAddrPort(to.Address)
	if err != nil {
		e.options.Logger.WithError(err).WithField("peer", to.Name).Warn("exchange: peer without a usable address")
	}
	e.addrs[to.Address] = addr
	return addr, err == nil
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
		e.take(buffer[:n])
	}
}

// take takes in one datagram, after it was passed on.
func (e *Exchange) take(text []byte) {
	if len(text) == 0 || text[0] > toRelay {
		e.options.Logger.WithField("bytes", len(text)).Warn("exchange: datagram of an unknown kind")
		return
	}
	s, err := decode(text[1:])
	if err != nil {
		e.options.Logger.WithError(err).Warn("exchange: datagram not understood")
		return
	}
	e.mu.Lock()
	news := e.order.isNews(s, time.Now())
	e.mu.Unlock()
	if !news {
		return
	}
	if text[0] == toRelay {
		e.relay(text)
	}
	e.options.Received(s)
}

// relay sends a datagram to the VMs of the own failure domain.
func (e *Exchange) relay(text []byte) {
	to, own := e.options.RelayTo()
	tail, err := msgpack.Marshal(&own)
	if err != nil {
		e.options.Logger.WithError(err).Error("exchange: digest not passed on")
		return
	}
	text[0] = toKeep
	text = append(text, tail...)
	for _, p := range to {
		e.write(text, p)
	}
}
