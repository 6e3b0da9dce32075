package scenario

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/load"
	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/lookup"
	"github.com/yuccaroute/yuccaroute/lookup/blocks/blocktest"
)

// Limits of the HTTP scenario.
const (
	maxLookupRate      = 60_000
	requestBodyLimit   = 1 << 10
	lookupCallTimeout  = 5 * time.Second
	serverStopDeadline = 5 * time.Second
)

// lookupHTTP offers look-ups over HTTP to one node, by rate.
func lookupHTTP() Scenario {
	return Scenario{
		Name:     "lookup-http",
		SizeName: "rate",
		Summary:  "look-ups over HTTP to one node at the given rate, 330,000 blocks, 550 nodes",
		MaxSize:  maxLookupRate,
		Run:      runLookupHTTP,
	}
}

func runLookupHTTP(ctx context.Context, p Params) ([]report.Metric, error) {
	sample := blocktest.New(targetBlocks-1, targetRegions, p.Seed)
	loopback := model.CallerBlock{Prefix: netip.MustParsePrefix("127.0.0.0/8"), Region: regionName(0)}
	sample.Blocks = append(sample.Blocks, loopback)
	l := newLookup(sample, targetNodes)
	httpserver.QuietLibraryLogs()
	server, err := httpserver.Start(httpserver.Options{
		Address: "127.0.0.1:0", Handler: l, MaxBodyBytes: requestBodyLimit,
	})
	if err != nil {
		return nil, err
	}
	defer stopServer(server)
	client := newClient(p.Workers)
	defer client.CloseIdleConnections()
	url := "http://" + server.Address() + lookup.Path
	p.Rate = p.Size
	before := processorTime()
	r, err := load.Run(ctx, options(p), func(ctx context.Context, _ int, _ uint64) (int, error) {
		return get(ctx, client, url)
	})
	if err != nil {
		return nil, err
	}
	return append(loadMetrics(r), processorMetric(before, r.Sent)), nil
}

func stopServer(server *httpserver.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), serverStopDeadline)
	defer cancel()
	_ = server.Stop(ctx)
}

// newClient keeps one connection for each worker.
func newClient(workers int) *http.Client {
	return &http.Client{
		Timeout: lookupCallTimeout,
		Transport: &http.Transport{
			MaxIdleConns:        workers,
			MaxIdleConnsPerHost: workers,
			MaxConnsPerHost:     workers,
			DialContext:         (&net.Dialer{}).DialContext,
		},
	}
}

func get(ctx context.Context, client *http.Client, url string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	request.Header.Set(result.HeaderAccount, string(accountName))
	return exchange(client, request)
}

// exchange sends a request, reads the whole answer and returns its result
// number, with an error for every number but that of OK.
func exchange(client *http.Client, request *http.Request) (int, error) {
	answer, err := client.Do(request)
	if err != nil {
		return int(result.Internal), errors.Wrap(err, "send request")
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return int(result.Internal), errors.Wrap(err, "read answer")
	}
	number, err := strconv.Atoi(answer.Header.Get(result.HeaderResult))
	if err != nil {
		return int(result.Internal), errors.Wrap(err, "answer without a result number")
	}
	return number, codeError(result.Code(number))
}
