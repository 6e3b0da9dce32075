// Package exchange sends the state of this VM to the other entry VMs in UDP datagrams: its
// requests in flight by target, the demand of its callers, and its liveness. Each datagram
// contains the complete state, so a lost one is compensated by the next.
//
// In a small region every VM reports to every other VM. In a large region VMs report to a few
// aggregators, and the primary aggregator sends a digest: the sums over all reports that it
// received. It sends the digest to one VM of each failure domain, a relay, which forwards it to
// the VMs of its domain. Neither the datagrams of a VM nor those between failure domains then
// grow with the region. The aggregators of different regions exchange the sums of their regions.
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
	"github.com/yuccaroute/yuccaroute/edge/ratelimit"
)

const (
	// heartbeatInterval is the longest time between two reports to VMs of this region, and
	// remoteHeartbeatInterval to other regions, which need only sums and liveness.
	heartbeatInterval       = 250 * time.Millisecond
	remoteHeartbeatInterval = 500 * time.Millisecond
	// minReportInterval is the shortest time between two reports in a small region. It is short
	// compared to service times.
	minReportInterval = 20 * time.Millisecond
	// minReportIntervalLarge is the same for reports and digests in a large region, where many
	// VMs share each target and a single VM changes its load little.
	minReportIntervalLarge = 150 * time.Millisecond
	// detailedDigestEvery is the number of digests of which one has details. Two such intervals
	// are shorter than the lifetime of counts, so that one lost digest is tolerated.
	detailedDigestEvery = 3
	// maxDatagram limits a datagram to a few IP fragments, and relayReserve is the part reserved
	// for what a relay appends, both in bytes.
	maxDatagram  = 16 << 10
	relayReserve = 256
)

// Peer is a VM that receives datagrams.
type Peer struct {
	Name    string
	Address string
}

// Recipients are the VMs to send reports and digests to.
type Recipients struct {
	// SameRegion and OtherRegions receive reports: the aggregators of this region, without this
	// VM, and those of other regions.
	SameRegion, OtherRegions []Peer
	// Digests receive a digest, and Relays receive one to forward. Both are empty unless this VM
	// is the primary aggregator of a large region.
	Digests, Relays []Peer
	// Large is true if only the aggregators of the region receive all reports.
	Large bool
}

// Options configure an Exchange.
type Options struct {
	// Address is the ip:port that datagrams are received on and sent from.
	Address string
	Logger  *logrus.Entry
	// State returns the state to report, with the sums of the region if sum is true.
	State func(sum bool) State
	// Limits returns observations of targets' limits for a report to this region, or to other
	// regions; nil means none.
	Limits func(otherRegions bool) []ratelimit.Announced
	// AddToFew adds what only few reports have, to this region or to other regions: what the VM tells of
	// working sets and of the work of accounts. nil adds nothing.
	AddToFew func(s *State, otherRegions bool)
	// Digest returns the digest of the region.
	Digest func(detailed bool) *Digest
	// Recipients returns the current recipients of reports and digests.
	Recipients func() Recipients
	// RelayTo returns the VMs to which this VM forwards a digest, and what it appends.
	RelayTo func() ([]Peer, Relay)
	// Received is called with each state of another VM that is newer than the last one.
	Received func(State)
	// Handlers receive the datagrams that were sent by Send, by their kind.
	Handlers map[Kind]Handler
}

// Exchange sends and receives reports and digests. It is safe for concurrent use.
type Exchange struct {
	options Options
	conn    *net.UDPConn
	// changed holds a token while a report is requested; urgent is set if the next report also
	// goes to other regions.
	changed chan struct{}
	urgent  atomic.Bool

	mu        sync.Mutex
	addrs     map[string]netip.AddrPort
	sent      uint64
	sequences sequenceTracker
}

// Start binds the address, and sends and receives until the context is done.
func Start(ctx context.Context, o Options) (*Exchange, error) {
	addr, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "exchange: resolve address")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "exchange: listen")
	}
	e := &Exchange{options: o, conn: conn, changed: make(chan struct{}, 1),
		addrs: make(map[string]netip.AddrPort), sequences: make(sequenceTracker)}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go e.receive()
	go e.sendLoop(ctx)
	return e, nil
}

// RequestReport requests a report ahead of the next heartbeat. It never blocks.
func (e *Exchange) RequestReport() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// RequestUrgentReport is like RequestReport, but the report also goes to other regions.
func (e *Exchange) RequestUrgentReport() {
	e.urgent.Store(true)
	e.RequestReport()
}

// Flush sends reports to all recipients immediately.
func (e *Exchange) Flush() {
	to := e.options.Recipients()
	e.sendReport(to.SameRegion, false, false)
	e.sendReport(to.OtherRegions, true, to.Large)
}

func (e *Exchange) sendLoop(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	remoteAt := time.Now()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-e.changed:
		}
		to := e.options.Recipients()
		e.sendReport(to.SameRegion, false, false)
		if e.urgent.Swap(false) || time.Since(remoteAt) >= remoteHeartbeatInterval {
			remoteAt = time.Now()
			e.sendReport(to.OtherRegions, true, to.Large)
		}
		e.sendDigest(to, round%detailedDigestEvery == 0)
		pause := minReportInterval
		if to.Large {
			pause = minReportIntervalLarge
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// sendReport sends the state of this VM, with the sums of its region if sum is true.
func (e *Exchange) sendReport(to []Peer, otherRegions, sum bool) {
	if len(to) == 0 {
		return
	}
	state := e.options.State(sum)
	state.Sum = sum
	if e.options.Limits != nil {
		state.Limits = e.options.Limits(otherRegions)
	}
	if e.options.AddToFew != nil {
		e.options.AddToFew(&state, otherRegions)
	}
	datagram := e.encode(&state)
	for _, p := range to {
		e.write(datagram, p)
	}
}

// sendDigest sends the digest of the region, directly and by relays.
func (e *Exchange) sendDigest(to Recipients, detailed bool) {
	if len(to.Digests)+len(to.Relays) == 0 {
		return
	}
	state := e.options.State(false)
	state.Digest = e.options.Digest(detailed)
	datagram := e.encode(&state)
	if datagram == nil {
		return
	}
	for _, p := range to.Digests {
		e.write(datagram, p)
	}
	datagram[0] = byte(kindRelay)
	for _, p := range to.Relays {
		e.write(datagram, p)
	}
}

// Handler receives a datagram from the address of a VM. It must not keep the payload.
type Handler func(e *Exchange, from string, payload []byte)

// Kind is the kind of a datagram, sent as the first byte.
type Kind byte

// Kinds of datagrams. The receiver forwards one of kindRelay to its failure domain.
const (
	kindDirect Kind = iota
	kindRelay
	// QuotaRequest and QuotaReply carry messages of package quota.
	QuotaRequest
	QuotaReply
	// TargetQuotaRequest and TargetQuotaReply carry those for the limits of targets.
	TargetQuotaRequest
	TargetQuotaReply
)

// Send sends a datagram to the Handlers of the VM at an address. It never blocks, and the datagram
// may be lost.
func (e *Exchange) Send(address string, kind Kind, payload []byte) {
	if len(payload) >= maxDatagram {
		e.options.Logger.WithFields(logrus.Fields{"bytes": len(payload), "kind": kind}).Error("exchange: datagram too large")
		return
	}
	e.write(append([]byte{byte(kind)}, payload...), Peer{Name: address, Address: address})
}

// encode assigns the next sequence number and returns the datagram, or nil if that fails.
func (e *Exchange) encode(state *State) []byte {
	e.mu.Lock()
	e.sent++
	state.Sequence = e.sent
	e.mu.Unlock()
	body, err := msgpack.Marshal(state)
	if err != nil || len(body) >= maxDatagram-relayReserve {
		e.options.Logger.WithError(err).WithField("bytes", len(body)).Error("exchange: cannot send state: encoding failed or datagram too large")
		return nil
	}
	return append([]byte{byte(kindDirect)}, body...)
}

func (e *Exchange) write(datagram []byte, to Peer) {
	addr, ok := e.resolve(to)
	if datagram == nil || !ok {
		return
	}
	// The error is ignored: the next datagram repeats the state, and a peer that stays silent is
	// detected by its timeout.
	_, _ = e.conn.WriteToUDPAddrPort(datagram, addr)
}

// resolve returns the parsed address of a peer and caches it.
func (e *Exchange) resolve(to Peer) (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	addr, ok := e.addrs[to.Address]
	if ok {
		return addr, addr.IsValid()
	}
	addr, err := netip.ParseAddrPort(to.Address)
	if err != nil {
		e.options.Logger.WithError(err).WithField("peer", to.Name).Warn("exchange: invalid peer address")
	}
	e.addrs[to.Address] = addr
	return addr, err == nil
}

func (e *Exchange) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if handle := e.handlerOf(buffer[:n]); handle != nil {
			handle(e, from.String(), buffer[1:n])
			continue
		}
		e.handleDatagram(buffer[:n])
	}
}

// handlerOf returns the handler of a datagram that was sent by Send, nil for another one.
func (e *Exchange) handlerOf(datagram []byte) Handler {
	if len(datagram) == 0 {
		return nil
	}
	return e.options.Handlers[Kind(datagram[0])]
}

// handleDatagram decodes a datagram, forwards it if it is to be relayed, and delivers its state.
func (e *Exchange) handleDatagram(datagram []byte) {
	if len(datagram) == 0 || Kind(datagram[0]) > kindRelay {
		e.options.Logger.WithField("bytes", len(datagram)).Warn("exchange: unknown datagram kind")
		return
	}
	s, err := decode(datagram[1:])
	if err != nil {
		e.options.Logger.WithError(err).Warn("exchange: cannot decode datagram")
		return
	}
	e.mu.Lock()
	isNew := e.sequences.accept(s, time.Now())
	e.mu.Unlock()
	if !isNew {
		return
	}
	if Kind(datagram[0]) == kindRelay {
		e.relay(datagram)
	}
	e.options.Received(s)
}

// relay forwards a digest to the VMs of this failure domain and appends this VM as the relay.
func (e *Exchange) relay(datagram []byte) {
	to, own := e.options.RelayTo()
	trailer, err := msgpack.Marshal(&own)
	if err != nil {
		e.options.Logger.WithError(err).Error("exchange: cannot relay digest")
		return
	}
	datagram[0] = byte(kindDirect)
	datagram = append(datagram, trailer...)
	for _, p := range to {
		e.write(datagram, p)
	}
}
