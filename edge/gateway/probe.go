package gateway

import (
	"context"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// probeTimeout bounds a probe, besides the round-trip time. A busy target answers it only
// when a slot is free.
const probeTimeout = 700 * time.Millisecond

// Probe checks the health of the targets that are due for a probe and readmits healthy ones.
func (g *Gateway) Probe(ctx context.Context, healthPath func(service string) string) {
	for _, t := range g.options.Balancer.DueProbes(time.Now()) {
		go g.probe(ctx, t, healthPath(t.Service))
	}
}

func (g *Gateway) probe(ctx context.Context, t *placing.Target, path string) {
	healthy, coldRemaining, err := g.checkHealth(ctx, t, path)
	g.options.Balancer.RecordProbe(time.Now(), t, healthy, coldRemaining)
	g.options.Logger.WithError(err).WithField("target", t.ID).WithField("well", healthy).
		WithField("cold_ms", coldRemaining.Milliseconds()).Info("gateway: target probed")
}

func (g *Gateway) checkHealth(ctx context.Context, t *placing.Target, path string) (healthy bool, coldRemaining time.Duration, err error) {
	limit := probeTimeout + g.options.RTT(t.Region)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	raw, err := g.dialTarget(t)(ctx, t.Address)
	if err != nil {
		return false, 0, err
	}
	conn := forward.NewConn(raw)
	defer conn.Close()
	answer, err := g.exchangeProbe(ctx, t, path, conn, limit)
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			// Ejected targets get no requests whose loss would show that they are not reached.
			g.reach.NotConnected(time.Now(), groupOf(t), t.Incarnation)
		}
		return false, 0, err
	}
	healthy, coldRemaining = g.healthIn(answer, t)
	return healthy, coldRemaining, nil
}

// maxColdMillis is what a time.Duration holds, in whole milliseconds.
const maxColdMillis = float64(math.MaxInt64 / int64(time.Millisecond))

// healthIn returns what the answer to a probe says of a target.
func (g *Gateway) healthIn(answer *forward.Response, t *placing.Target) (healthy bool, coldRemaining time.Duration) {
	healthy = answer.Status == http.StatusOK && answer.Header.Get(g.options.Fields.TargetID) == t.ID
	millis, err := strconv.ParseFloat(answer.Header.Get(g.options.Fields.ColdMillis), 64)
	if err == nil && millis > 0 && millis <= maxColdMillis {
		coldRemaining = time.Duration(millis * float64(time.Millisecond))
	}
	return healthy, coldRemaining
}

// exchangeProbe sends a health probe over a new connection and records what the target states. Answers to probes need
// not name them.
func (g *Gateway) exchangeProbe(ctx context.Context, t *placing.Target, path string, conn *forward.Conn, limit time.Duration) (*forward.Response, error) {
	id := g.newProbeID()
	sent := g.newSending(t, id)
	sent.probe = true
	return conn.Exchange(ctx, &forward.Request{
		Method: http.MethodGet, URI: path, Host: t.Address, Header: http.Header{},
		Deadline: time.Now().Add(limit), MaxResponseBytes: maxProbeBytes,
		Dialect: &forward.Dialect{
			DeadlineField: g.options.Fields.Deadline, IDField: g.options.Fields.RequestID, ID: id,
			CloseDelimited: true, AcceptUnnamed: true,
		},
		HeaderReceived: func(status int, h http.Header) {
			if h.Get(g.options.Fields.TargetID) == t.ID {
				g.observe(sent, status, h)
			}
		},
	})
}

// newProbeID returns the request ID of a probe, unique in this process: a target may answer a probe twice.
func (g *Gateway) newProbeID() string { return "probe-" + strconv.FormatUint(g.probes.Add(1), 36) }

// maxProbeBytes bounds the answer to a probe.
const maxProbeBytes = 4 << 10
