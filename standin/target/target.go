package target

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/httpserver"
)

// stopTime bounds how long Stop waits for the server to close.
const stopTime = 2 * time.Second

// Target is one running target.
type Target struct {
	options     Options
	server      *httpserver.Server
	slots       *slots
	ledger      *ledger
	connections connections
	report      loadReport
	faults      atomic.Pointer[Faults]
	leaving     atomic.Bool
	// served counts the requests that ran, for the cold start.
	served atomic.Int64
	// base ends with Stop; it ends silent requests.
	base context.Context
	end  context.CancelFunc

	mu     sync.Mutex
	random *rand.Rand
}

// New returns a target that does not listen yet.
func New(o Options) *Target {
	o.setDefaults()
	t := &Target{
		options: o,
		slots:   newSlots(o.Slots, o.Queue),
		ledger:  newLedger(o.Journal),
		report:  loadReport{lag: o.LoadLag},
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
	t.base, t.end = context.WithCancel(context.Background())
	t.faults.Store(&Faults{})
	return t
}

// Start listens on ip:port; port 0 takes a free one.
func (t *Target) Start(address string) error {
	httpserver.QuietLibraryLogs()
	server, err := httpserver.Start(httpserver.Options{
		Address:      address,
		Handler:      t.handler(),
		MaxBodyBytes: t.options.MaxBodyBytes,
	})
	if err != nil {
		return errors.Wrap(err, "target")
	}
	t.server = server
	return nil
}

// Addr returns the address in use; Start must have succeeded.
func (t *Target) Addr() netip.AddrPort { return netip.MustParseAddrPort(t.server.Address()) }

// Stop closes all connections.
func (t *Target) Stop() {
	t.end()
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	_ = t.server.Stop(ctx)
}

// Leave begins a drain: new work is shed, work in hand ends.
func (t *Target) Leave() { t.leaving.Store(true) }

// Return ends a drain.
func (t *Target) Return() { t.leaving.Store(false) }

// SetFaults puts faults in force.
func (t *Target) SetFaults(f Faults) { t.faults.Store(&f) }

// Load returns the requests that run or wait.
func (t *Target) Load() int { return t.slots.load() }

// Ledger returns what ran.
func (t *Target) Ledger() []Run { return t.ledger.copy() }

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/health", t.serveHealth)
	mux.HandleFunc("/load", t.serveLoad)
	mux.HandleFunc("/ledger", t.serveLedger)
	mux.HandleFunc("/faults", t.serveFaults)
	mux.HandleFunc("/leave", t.serveLeave)
	mux.HandleFunc("/", t.serveWork)
	return mux
}
