package relay

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// benchDecider answers every report with so many grants, unchanged with none.
type benchDecider struct {
	peerpb.UnimplementedControlServer
	peerpb.UnimplementedRelayServer
	grants atomic.Int64
}

func (d *benchDecider) Renew(context.Context, *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	return d.answer(), nil
}

func (d *benchDecider) Batch(ctx context.Context, batch *peerpb.BatchRequest) (*peerpb.BatchResponse, error) {
	return AnswerBatch(ctx, batch, func(context.Context, *peerpb.RenewRequest) *peerpb.RenewResponse { return d.answer() }), nil
}

func (d *benchDecider) answer() *peerpb.RenewResponse {
	grants := int(d.grants.Load())
	answer := &peerpb.RenewResponse{Epoch: 5, Sequence: 70_000, SurplusTtlMs: 15_000, NextMs: 2750, Unchanged: grants == 0}
	for i := range grants {
		answer.Grants = append(answer.Grants, &peerpb.Grant{Service: "service", Place: fmt.Sprint("site-", i), Floor: 5000, Surplus: 2000})
	}
	return answer
}

// countingConn counts what goes over a connection, both ways.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkReports takes reports to a decider over TCP, by calls of one report and
// by batches: processor time of both ends and bytes on the wire for each report.
func BenchmarkReports(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := grpc.NewServer()
	decider := &benchDecider{}
	peerpb.RegisterControlServer(server, decider)
	peerpb.RegisterRelayServer(server, decider)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	var bytes atomic.Int64
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{conn, &bytes}, err
	}
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithContextDialer(dial),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for _, c := range []struct{ grants, places, size int }{
		{12, 12, 1}, {12, 12, 8}, {12, 12, 24}, {0, 0, 1}, {0, 0, 8}, {0, 0, 24},
	} {
		b.Run(fmt.Sprintf("grants=%d/batch=%d", c.grants, c.size), func(b *testing.B) {
			decider.grants.Store(int64(c.grants))
			var reports []*peerpb.RenewRequest
			for i := range c.size {
				r := report(i)
				for range c.places {
					r.Places = append(r.Places, &peerpb.PlaceLoad{SentRps: 1.5, P50Us: 7000, P99Us: 20000, Targets: 3, Known: 3})
				}
				reports = append(reports, r)
			}
			bytes.Store(0)
			began := processorTime()
			for b.Loop() {
				if c.size == 1 {
					_, err = peerpb.NewControlClient(conn).Renew(b.Context(), reports[0])
				} else {
					_, err = peerpb.NewRelayClient(conn).Batch(b.Context(), EncodeBatch("daehan", reports))
				}
				if err != nil {
					b.Fatal(err)
				}
			}
			n := float64(b.N * c.size)
			b.ReportMetric(float64((processorTime()-began).Microseconds())/n, "cpu-us/report")
			b.ReportMetric(float64(bytes.Load())/n, "wire-B/report")
		})
	}
}
