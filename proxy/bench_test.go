package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/ingress"
	standin "github.com/yuccaroute/yuccaroute/standin/target"
)

// benchProxy returns a proxy with n targets at addresses where nothing listens.
func benchProxy(b *testing.B, n int) *Proxy {
	var addresses []string
	for i := range n {
		addresses = append(addresses, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+i)).String())
	}
	return newTestProxy(b, func(_ *Options, m *model.Account) { m.Services[0].SlotsPerTarget = 1 << 20 }, addresses...)
}

// BenchmarkChoose measures the choice of place and target with the token and
// the slot of one request, and their release.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 64} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			p := benchProxy(b, n)
			h := http.Header{result.HeaderAccount: {testAccount}, result.HeaderService: {testService}}
			b.ReportAllocs()
			for b.Loop() {
				_, service := p.current.Load().find(h)
				place := service.places[service.flows[testRegion].chooser.Next()]
				permission, short, _ := place.acquire(model.Idempotent, 0)
				if short == noShortage {
					permission.release()
				}
			}
		})
	}
}

// BenchmarkPlaceState measures the allocation of the state of one service in
// one place. A node has one for each pair of its accounts, also without
// traffic.
func BenchmarkPlaceState(b *testing.B) {
	p := benchProxy(b, 1)
	key := grant.Key{Account: testAccount, Service: testService, Place: testPlace}
	b.ReportAllocs()
	for b.Loop() {
		newPlaceState(p, key)
	}
}

// BenchmarkExchange sends idempotent requests from concurrent callers to a
// stand-in target, directly and through the proxy and its server.
func BenchmarkExchange(b *testing.B) {
	for _, callers := range []int{1, 64, 512} {
		for _, way := range []string{"direct", "proxied"} {
			b.Run(fmt.Sprintf("callers=%d/way=%s", callers, way), func(b *testing.B) {
				benchExchange(b, callers, way)
			})
		}
	}
}

// Capacity of the stand-in: more than the callers need, so that the path to it
// is what is measured.
const (
	benchSlots       = 1024
	benchServiceTime = time.Millisecond
	maxBenchBytes    = 16 << 20
)

// benchAddress starts a stand-in target and returns its address, or that of a
// proxy in front of it.
func benchAddress(b *testing.B, way string) string {
	t := standin.New(standin.Options{Slots: benchSlots, ServiceTime: benchServiceTime, MaxBodyBytes: maxBenchBytes})
	if err := t.Start("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(t.Stop)
	if way == "direct" {
		return t.Addr().String()
	}
	p := newTestProxy(b, func(_ *Options, m *model.Account) {
		m.Services[0].SlotsPerTarget = benchSlots
		m.Services[0].ConnectionsPerTarget = 3 * benchSlots
		m.Services[0].MaxRequestBytes = maxBenchBytes
	}, t.Addr().String())
	s, err := ingress.Start(ingress.Options{Address: "127.0.0.1:0", Handler: p, BodyAdmitter: p})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s.Address()
}

func benchExchange(b *testing.B, callers int, way string) {
	address := benchAddress(b, way)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	url := "http://" + address + "/stock"
	sendMany(b, client, url, callers, 10*callers)
	b.ReportAllocs()
	b.ResetTimer()
	latencies := sendMany(b, client, url, callers, b.N)
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
}

// sendMany sends n requests from the callers and returns their latencies.
func sendMany(b *testing.B, client *http.Client, url string, callers, n int) []time.Duration {
	var left atomic.Int64
	left.Store(int64(n))
	var mu sync.Mutex
	var all []time.Duration
	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			var own []time.Duration
			for left.Add(-1) >= 0 {
				began := time.Now()
				if err := sendOne(client, url); err != nil {
					b.Error(err)
					return
				}
				own = append(own, time.Since(began))
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, own...)
		})
	}
	done.Wait()
	return all
}

func sendOne(client *http.Client, url string) error {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	r.Header.Set(result.HeaderAccount, testAccount)
	r.Header.Set(result.HeaderService, testService)
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, result %s", resp.StatusCode, resp.Header.Get(result.HeaderResult))
	}
	return nil
}
