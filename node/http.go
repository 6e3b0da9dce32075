package node

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/admin"
	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/lookup"
	"github.com/yuccaroute/yuccaroute/proxy/ingress"
)

const (
	// metricsInterval is how often counters reach the scrape page.
	metricsInterval = time.Second
	// maxAdminBytes bounds a body of the administration API, a little above
	// the largest document.
	maxAdminBytes = 1 << 20
)

// Paths of the administration listener besides the API.
const (
	pathMetrics = "/metrics"
	pathHealth  = "/healthz"
	pathStatus  = "/status"
)

func (n *Node) listenCallers() error {
	limits := n.options.Settings.Limits
	server, err := ingress.Start(ingress.Options{
		Address:        n.options.Settings.Listen.Callers.String(),
		Handler:        n.whenReady(http.HandlerFunc(n.serveCaller)),
		BodyAdmitter:   n.proxy,
		MaxBodyBytes:   maxCallerBody(limits.BufferedBytes),
		MaxConnections: limits.CallerConnections,
	})
	if err != nil {
		return err
	}
	n.callers = server
	return nil
}

// serveCaller tells look-ups from requests. A ServeMux would redirect paths
// that are not clean, and a caller would take its answer for the target's.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == lookup.Path {
		n.lookup.ServeHTTP(w, r)
		return
	}
	n.proxy.ServeHTTP(w, r)
}

// callerBodyShare is the largest part of the node's buffer one request takes,
// so that a few large uploads cannot refuse everybody else.
const callerBodyShare = 8

func maxCallerBody(buffered int64) int {
	return int(max(buffered/callerBodyShare, maxAdminBytes))
}

func (n *Node) listenAdmin() error {
	mux := http.NewServeMux()
	mux.Handle(admin.PathPrefix, n.newAPI())
	mux.Handle(pathMetrics, n.metrics.Page)
	mux.HandleFunc(pathHealth, n.serveHealth)
	mux.HandleFunc(pathStatus, n.serveStatus)
	options := httpserver.Options{
		Address:      n.options.Settings.Listen.Admin.String(),
		Handler:      mux,
		MaxBodyBytes: maxAdminBytes,
	}
	if n.keys != nil {
		options.TLS = n.keys.HTTPServer()
	}
	server, err := httpserver.Start(options)
	if err != nil {
		return err
	}
	n.admin = server
	return nil
}

// serveHealth answers 200 while the node takes requests and knows what is in
// force, 503 otherwise.
func (n *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() || !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.Status()); err != nil {
		n.log.WithError(err).Warn("node: cannot write the status")
	}
}

// mustAddress parses the address of a listener, which net made itself.
func mustAddress(address string) netip.AddrPort {
	return netip.MustParseAddrPort(address)
}

// streamAhead returns what the proxy takes for a setting, in which 0 means that
// no body is sent on before it is whole.
func streamAhead(setting time.Duration) time.Duration {
	if setting == 0 {
		return -1
	}
	return setting
}
