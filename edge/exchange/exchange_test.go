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

func quiet() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// vm is one end of the exchange.
type vm struct {
	*Exchange
	address  string
	mu       sync.Mutex
	received map[string]State
	news     chan struct{}
	inFlight Counts
	// to is who gets this VM's reports.
	to atomic.Pointer[Recipients]
	// relayTo is to whom it relays digests.
	relayTo atomic.Pointer[[]Peer]
}

func (v *vm) sendsTo(to Recipients) { v.to.Store(&to) }

func startVM(t *testing.T, name string) *vm {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	v := &vm{received: make(map[string]State), news: make(chan struct{}, 100), inFlight: Counts{7: 1}}
	v.sendsTo(Recipients{})
	v.relayTo.Store(&[]Peer{})
	e, err := Start(ctx, Options{
		Address: "127.0.0.1:0", Logger: quiet(),
		Recipients: func() Recipients { return *v.to.Load() },
		Digest: func(full bool) *Digest {
			d := &Digest{InFlight: Counts{8: 2}}
			if full {
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
			case v.news <- struct{}{}:
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

// Each VM hears what the other one has in hand, and what it knows of the store.
func TestVMsHearEachOther(t *testing.T) {
	a, b := startVM(t, "a"), startVM(t, "b")
	a.sendsTo(Recipients{SameRegion: []Peer{{Name: "b", Address: b.address}, {Name: "odd", Address: "nowhere"}}})
	b.sendsTo(Recipients{SameRegion: []Peer{{Name: "a", Address: a.address}}})
	<-a.news
	<-b.news
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.received["a"]
	if s.InFlight[7] != 1 || s.Demand["s"] != 1.5 || s.Revision != 9 || !s.Serving || s.VM.PeerAddress != "p" {
		t.Errorf("%+v", s)
	}
}

// Datagrams overtake each other, and a VM is restarted. An older one must not bring back
// requests that have ended.
func TestOlderDatagramsAreDropped(t *testing.T) {
	o, now := make(order), time.Now()
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
		if got := o.isNews(c.s, now); got != c.want {
			t.Errorf("datagram %d: news %v", i, got)
		}
	}
}

// Somebody sends nonsense to the port.
func TestNonsenseIsIgnored(t *testing.T) {
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
	<-b.news
}

// The state changes many times in a moment. Datagrams stay few: each costs a wake-up at
// every VM of the region.
func TestChangesAreGathered(t *testing.T) {
	a, b := startVM(t, "a"), startVM(t, "b")
	a.sendsTo(Recipients{SameRegion: []Peer{{Name: "b", Address: b.address}}})
	<-b.news
	began := time.Now()
	for range 10000 {
		a.RequestReport()
	}
	a.Exchange.mu.Lock()
	defer a.Exchange.mu.Unlock()
	most := uint64(3 + time.Since(began)/minReportInterval)
	if a.sent > most+1 {
		t.Errorf("%d datagrams, at most %d", a.sent, most)
	}
}

// In a large region a VM that is no listener gets a digest, and now and then who was heard.
func TestDigestsReachTheOthers(t *testing.T) {
	a, b := startVM(t, "a"), startVM(t, "b")
	a.sendsTo(Recipients{Large: true, Digests: []Peer{{Name: "b", Address: b.address}}})
	seen := false
	for range 2 * fullDigestEvery {
		<-b.news
		b.mu.Lock()
		d := b.received["a"].Digest
		if d == nil || d.InFlight[8] != 2 {
			t.Fatalf("%+v", b.received["a"])
		}
		seen = seen || d.Details != nil && len(d.Details.VMs) == 1 && d.Details.VMs[0].Name == "b"
		b.mu.Unlock()
	}
	if !seen {
		t.Error("never told who was heard")
	}
}

// A listener sends its digest to one VM of a failure domain, and the others there have it
// from that one as the listener's, once.
func TestDigestsArePassedOn(t *testing.T) {
	a, b, c := startVM(t, "a"), startVM(t, "b"), startVM(t, "c")
	b.relayTo.Store(&[]Peer{{Name: "c", Address: c.address}})
	c.relayTo.Store(&[]Peer{{Name: "b", Address: b.address}})
	a.sendsTo(Recipients{Large: true, Relays: []Peer{{Name: "b", Address: b.address}}})
	<-c.news
	a.sendsTo(Recipients{})
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.received["a"]
	if !ok || s.Digest == nil || s.Digest.InFlight[8] != 2 {
		t.Errorf("heard %+v", c.received)
	}
	if s.Relay == nil || *s.Relay != (Relay{Peer: "b", Revision: 8}) {
		t.Errorf("passed on by %+v", s.Relay)
	}
	if len(c.received) != 1 {
		t.Errorf("heard of %d VMs", len(c.received))
	}
}
