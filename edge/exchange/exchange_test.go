package exchange

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

func discardLogger() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// vm is an exchange that records the states it receives.
type vm struct {
	*Exchange
	address  string
	mu       sync.Mutex
	received map[string]State
	updates  chan struct{}
	inFlight Counts
	// to are the recipients of this VM's reports.
	to atomic.Pointer[Recipients]
	// relayTo are the VMs to which it relays digests.
	relayTo atomic.Pointer[[]Peer]
}

func (v *vm) sendsTo(to Recipients) { v.to.Store(&to) }

func startVM(t *testing.T, name string) *vm {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	v := &vm{received: make(map[string]State), updates: make(chan struct{}, 100), inFlight: Counts{7: 1}}
	v.sendsTo(Recipients{})
	v.relayTo.Store(&[]Peer{})
	e, err := Start(ctx, Options{
		Address: "127.0.0.1:0", Logger: discardLogger(),
		Recipients: func() Recipients { return *v.to.Load() },
		Digest: func(detailed bool) *Digest {
			d := &Digest{InFlight: Counts{8: 2}}
			if detailed {
				d.Details = &DigestDetails{VMs: []VMStatus{{Name: "b", Age: time.Second}}}
			}
			return d
		},
		RelayTo: func() ([]Peer, Relay) { return *v.relayTo.Load(), Relay{Peer: name, Revision: 8} },
		State: func(bool) State {
			return State{VM: site.VM{Name: name, Incarnation: 3, PeerAddress: "p"}, Serving: true, Revision: 9,
				InFlight: v.inFlight, Demand: map[string]float64{"s": 1.5}}
		},
		Received: func(s State) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.received[s.VM.Name] = s
			select {
			case v.updates <- struct{}{}:
			default:
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	v.Exchange = e
	v.address = e.conn.LocalAddr().(*net.UDPAddr).String()
	return v
}

// Each VM receives the requests in flight, demand and store revision of the other.
func TestVMsReceiveEachOthersReports(t *testing.T) {
	a, b := startVM(t, "a"), startVM(t, "b")
	a.sendsTo(Recipients{SameRegion: []Peer{{Name: "b", Address: b.address}, {Name: "odd", Address: "nowhere"}}})
	b.sendsTo(Recipients{SameRegion: []Peer{{Name: "a", Address: a.address}}})
	<-a.updates
	<-b.updates
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.received["a"]
	if s.InFlight[7] != 1 || s.Demand["s"] != 1.5 || s.Revision != 9 || !s.Serving || s.VM.PeerAddress != "p" {
		t.Errorf("%+v", s)
	}
}

// Guards against reordered datagrams and datagrams of an earlier process that restore old counts.
func TestOlderDatagramsAreDropped(t *testing.T) {
	tracker, now := make(sequenceTracker), time.Now()
	state := func(incarnation, number uint64) State {
		return State{VM: site.VM{Name: "a", Incarnation: incarnation}, Sequence: number}
	}
	for i, c := range []struct {
		s    State
		want bool
	}{
		{state(1, 5), true}, {state(1, 4), false}, {state(1, 5), false}, {state(1, 6), true},
		{state(2, 1), true}, {state(1, 7), false}, {state(2, 2), true},
	} {
		if got := tracker.accept(c.s, now); got != c.want {
			t.Errorf("datagram %d: accepted %v", i, got)
		}
	}
}

// Guards against malformed datagrams that stop the receiver.
func TestMalformedDatagramsAreIgnored(t *testing.T) {
	a, b := startVM(t, "a"), startVM(t, "b")
	c, err := net.Dial("udp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range 10 {
		if _, err := c.Write([]byte("\xc1nonsense")); err != nil {
			t.Fatal(err)
		}
	}
	a.sendsTo(Recipients{SameRegion: []Peer{{Name: "b", Address: b.address}}})
	<-b.updates
}

// Guards against a datagram for each of many changes in a short time.
func TestReportRequestsAreCoalesced(t *testing.T) {
	a, b := startVM(t, "a"), startVM(t, "b")
	a.sendsTo(Recipients{SameRegion: []Peer{{Name: "b", Address: b.address}}})
	<-b.updates
	began := time.Now()
	for range 10000 {
		a.RequestReport()
	}
	a.Exchange.mu.Lock()
	defer a.Exchange.mu.Unlock()
	limit := uint64(3 + time.Since(began)/minReportInterval)
	if a.sent > limit+1 {
		t.Errorf("%d datagrams sent, want at most %d", a.sent, limit)
	}
}

// In a large region VMs that are not aggregators receive digests, some with the states of all VMs.
func TestDigestsReachOtherVMs(t *testing.T) {
	a, b := startVM(t, "a"), startVM(t, "b")
	a.sendsTo(Recipients{Large: true, Digests: []Peer{{Name: "b", Address: b.address}}})
	listed := false
	for range 2 * detailedDigestEvery {
		<-b.updates
		b.mu.Lock()
		d := b.received["a"].Digest
		if d == nil || d.InFlight[8] != 2 {
			t.Fatalf("%+v", b.received["a"])
		}
		listed = listed || d.Details != nil && len(d.Details.VMs) == 1 && d.Details.VMs[0].Name == "b"
		b.mu.Unlock()
	}
	if !listed {
		t.Error("no digest listed the VMs")
	}
}

// A relay forwards a digest to the VMs of its failure domain exactly once, as the aggregator's.
func TestDigestsAreRelayed(t *testing.T) {
	a, b, c := startVM(t, "a"), startVM(t, "b"), startVM(t, "c")
	b.relayTo.Store(&[]Peer{{Name: "c", Address: c.address}})
	c.relayTo.Store(&[]Peer{{Name: "b", Address: b.address}})
	a.sendsTo(Recipients{Large: true, Relays: []Peer{{Name: "b", Address: b.address}}})
	<-c.updates
	a.sendsTo(Recipients{})
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.received["a"]
	if !ok || s.Digest == nil || s.Digest.InFlight[8] != 2 {
		t.Errorf("received %+v", c.received)
	}
	if s.Relay == nil || *s.Relay != (Relay{Peer: "b", Revision: 8}) {
		t.Errorf("relayed by %+v", s.Relay)
	}
	if len(c.received) != 1 {
		t.Errorf("received states of %d VMs", len(c.received))
	}
}
