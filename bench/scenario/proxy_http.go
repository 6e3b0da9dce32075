package scenario

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/load"
	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/demo"
)

// What the proxied requests are: an idempotent look-up of the first example
// account.
const (
	proxiedService  = "dealer-desk"
	proxiedPath     = "/stock/item-1"
	proxiedDeadline = 1500
	maxProxiedRate  = 3000
)

// proxyHTTP offers requests through the entry nodes of the demonstration, by
// rate. Platform, targets and nodes run in this process too.
func proxyHTTP() Scenario {
	return Scenario{
		Name:     "proxy-http",
		SizeName: "rate",
		Summary:  "idempotent requests through 6 nodes to the example account's targets, at the given rate",
		MaxSize:  maxProxiedRate,
		Run:      runProxyHTTP,
	}
}

func runProxyHTTP(ctx context.Context, p Params) ([]report.Metric, error) {
	world, err := demo.NewWorld(ctx, p.Seed, io.Discard)
	if err != nil {
		world.Close()
		return nil, err
	}
	defer world.Close()
	if err := world.WaitReady(ctx); err != nil {
		return nil, err
	}
	callers := newProxyCallers(world.Tenants[0], p.Workers)
	defer callers.close()
	p.Rate = p.Size
	before := processorTime()
	r, err := load.Run(ctx, options(p), callers.call)
	if err != nil {
		return nil, err
	}
	return append(loadMetrics(r), processorMetric(before, r.Sent)), nil
}

// proxyCallers are callers in each of the account's blocks.
type proxyCallers struct {
	account model.AccountName
	clients []*http.Client
	nodes   []string
}

func newProxyCallers(tenant *demo.Tenant, workers int) *proxyCallers {
	c := &proxyCallers{account: tenant.Account.Name}
	for _, block := range tenant.Account.Callers {
		address := &net.TCPAddr{IP: block.Prefix.Addr().Next().AsSlice()}
		c.clients = append(c.clients, &http.Client{
			Timeout: lookupCallTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: workers,
				DialContext:         (&net.Dialer{LocalAddr: address}).DialContext,
			},
		})
	}
	for _, n := range tenant.Nodes {
		c.nodes = append(c.nodes, n.VM().Address.String())
	}
	return c
}

func (c *proxyCallers) close() {
	for _, client := range c.clients {
		client.CloseIdleConnections()
	}
}

// call spreads the calls evenly over blocks and nodes.
func (c *proxyCallers) call(ctx context.Context, worker int, number uint64) (int, error) {
	at := uint64(worker) + number
	client := c.clients[at%uint64(len(c.clients))]
	node := c.nodes[at/uint64(len(c.clients))%uint64(len(c.nodes))]
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+proxiedPath, nil)
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	request.Header.Set(result.HeaderAccount, string(c.account))
	request.Header.Set(result.HeaderService, proxiedService)
	request.Header.Set(result.HeaderDeadline, strconv.Itoa(proxiedDeadline))
	return exchange(client, request)
}
