package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// probeTime bounds a probe beyond the network's delay. A busy target answers when
// a slot is free.
const probeTime = 700 * time.Millisecond

// Probe asks the suspects for their health and readmits those that are well.
func (g *Gateway) Probe(ctx context.Context, healthPath func(service string) string) {
	for _, t := range g.options.Balancer.DueProbes(time.Now()) {
		go g.probe(ctx, t, healthPath(t.Service))
	}
}

func (g *Gateway) probe(ctx context.Context, t *placing.Target, path string) {
	well, coldFor, err := g.askHealth(ctx, t, path)
	g.options.Balancer.RecordProbe(time.Now(), t, well, coldFor)
	g.options.Logger.WithError(err).WithField("target", t.ID).WithField("well", well).
		WithField("cold_ms", coldFor.Milliseconds()).Info("gateway: target probed")
}

func (g *Gateway) askHealth(ctx context.Context, t *placing.Target, path string) (well bool, coldFor time.Duration, err error) {
	limit := probeTime + g.options.RTT(t.Region)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	p := g.poolOf(t)
	conn, err := p.Get(ctx)
	if err != nil {
		return false, 0, err
	}
	answer, err := conn.Exchange(ctx, &forward.Request{
		Method: http.MethodGet, URI: path, Host: t.Address, Header: http.Header{},
		Deadline: time.Now().Add(limit), MaxAnswerBytes: maxProbeBytes,
		Dialect: &forward.Dialect{DeadlineField: g.options.Fields.Deadline, IDField: g.options.Fields.RequestID, ID: "probe", CloseDelimited: true},
	})
	p.Put(conn)
	if err != nil {
		return false, 0, err
	}
	well = answer.Status == http.StatusOK && answer.Header.Get(g.options.Fields.TargetID) == t.ID
	if millis, err := strconv.ParseFloat(answer.Header.Get(g.options.Fields.ColdMillis), 64); err == nil {
		coldFor = time.Duration(millis * float64(time.Millisecond))
	}
	return well, coldFor, nil
}

// maxProbeBytes bounds a health answer.
const maxProbeBytes = 4 << 10
