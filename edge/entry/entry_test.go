package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/entry"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/standin/loopback"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

var names = site.FieldNames{
	RequestID: "X-Id", Deadline: "X-Deadline", Affinity: "X-Object", ExpectTarget: "X-Expect", Stamp: "X-Stamp",
	NotRun: "X-Not-Run", TargetID: "X-Target", Load: "X-Load", ColdMillis: "X-Cold",
}

// codec reads JSON of the project's own types.
type codec struct{}

func (codec) IsConfig(key string) bool { return key == "config" }
func (codec) Config(value []byte) (*site.Config, error) {
	c := &site.Config{}
	return c, json.Unmarshal(value, c)
}
func (codec) EvacuatedZone(key string) (string, bool) { return strings.CutPrefix(key, "evacuated/") }
func (codec) IsTarget(key string) bool                { return strings.HasPrefix(key, "target/") }
func (codec) Target(_ string, value []byte) (t site.Target, err error) {
	return t, json.Unmarshal(value, &t)
}
func (codec) IsVM(key string) bool { return strings.HasPrefix(key, "vm/") }

// QuarantineKey and ParseQuarantineKey implement quarantine.Keys.
func (codec) QuarantineKey(fingerprint string) string { return "quarantine/" + fingerprint }
func (codec) ParseQuarantineKey(key string) (string, bool) {
	return strings.CutPrefix(key, "quarantine/")
}

// fleet is entry VMs before one store and one target.
type fleet struct {
	t    *testing.T
	kv   *memkv.Store
	host *loopback.Host
	mu   sync.Mutex
	// served counts the requests that reached the target.
	served int
	// work is how long the target takes.
	work time.Duration
}

func (f *fleet) put(key string, value any) {
	f.t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	at := store.Revision(0)
	if e, err := f.kv.Get(context.Background(), key); err == nil {
		at = e.Revision
	}
	if _, err := f.kv.Swap(context.Background(), key, text, at, 0); err != nil {
		f.t.Fatal(err)
	}
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, kv: memkv.New(memkv.Options{WatchWait: time.Second}), host: loopback.NewHost()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(f.answer)}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { server.Close() })
	f.put("target/a", site.Target{ID: "a", Service: "s", Address: l.Addr().String(), Zone: "n1", Slots: 4})
	return f
}

func (f *fleet) answer(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.served++
	work := f.work
	f.mu.Unlock()
	time.Sleep(work)
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Stamp", "s")
	fmt.Fprint(w, "done")
}

func (f *fleet) configure(version uint64, prefix string) {
	f.put("config", site.Config{
		Version: version, Services: map[string]site.Service{"s": {Name: "s", HealthPath: "/health"}},
		Routes: []site.Route{{
			Name: "r", Host: "h", Prefix: prefix, Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 2, Sticky: true,
			Services: []site.WeightedService{{Service: "s", Weight: 1}},
		}},
		Limits: site.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20, HeaderTime: time.Second, IdleTime: time.Minute},
	})
}

// regions of the failure domains.
var regions = map[string]string{"n1": "n", "n2": "n", "s1": "s"}

// vm is one running VM.
type vm struct {
	*entry.Entry
	options entry.Options
}

func (f *fleet) start(name, zone string, kv store.KV) *vm {
	f.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	peer := f.host.Address()
	o := entry.Options{
		EntryAddress: f.host.Address(), ReadyAddress: f.host.Address(), DirectoryAddress: f.host.Address(), PeerAddress: peer,
		RegionOf: regions, Codec: codec{}, QuarantineKeys: codec{}, KV: kv, Logger: log,
		MemoryBytes: 100 << 20, MaxConnections: 100, Grace: 6 * time.Second, MaxTTL: 5 * time.Second,
		RetryRatio: 0.2, RetryExtra: 50, MetricsAddress: f.host.Address(),
		Names: entry.Names{
			Fields: names, ResolvePath: "/resolve", ReadyPath: "/ready", VMKey: "vm/" + name,
			ParseCaller: func(q url.Values) (string, string) { return q.Get("zone"), q.Get("region") },
			EncodeAddresses: func(addresses []string, ttl time.Duration) *serve.Response {
				return serve.PlainText(http.StatusOK, strings.Join(addresses, ","))
			},
		},
	}
	o.VM = site.VM{Name: name, Region: regions[zone], Zone: zone, EntryAddress: o.EntryAddress, PeerAddress: peer, Incarnation: uint64(time.Now().UnixMicro())}
	e, err := entry.Start(o)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(e.Close)
	return &vm{e, o}
}

// get asks a VM once and returns status 0 if it cannot be reached.
func get(address, path string) (int, string) { return getKey(address, path, "") }

// getKey asks about an affinity key.
func getKey(address, path, key string) (int, string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Object: %s\r\nX-Deadline: 5000\r\n\r\n", path, key)
	return answerOn(c)
}

// answerOn reads one answer.
func answerOn(c net.Conn) (int, string) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// until waits for a condition; the test's own time limit ends it.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); {
		if time.Since(began) > time.Minute {
			t.Fatal(what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func is(address, path string, status int) func() bool {
	return func() bool { got, _ := get(address, path); return got == status }
}

// A VM starts before there is a configuration. It refuses requests as not run and is
// not ready; then it serves, and follows a change.
func TestServesOnceConfigured(t *testing.T) {
	f := newFleet(t)
	v := f.start("a", "n1", f.kv)
	if status, _ := get(v.options.EntryAddress, "/p/x"); status != http.StatusServiceUnavailable {
		t.Errorf("%d before a configuration", status)
	}
	if status, _ := get(v.options.ReadyAddress, "/ready"); status != http.StatusServiceUnavailable {
		t.Errorf("ready before a configuration")
	}
	f.configure(1, "/p/")
	until(t, "never ready", is(v.options.ReadyAddress, "/ready", http.StatusOK))
	until(t, "never served", is(v.options.EntryAddress, "/p/x", http.StatusOK))
	f.configure(2, "/q/")
	until(t, "the change never came", is(v.options.EntryAddress, "/q/x", http.StatusOK))
	if status, _ := get(v.options.EntryAddress, "/p/x"); status != http.StatusNotFound {
		t.Errorf("%d on a route that is gone", status)
	}
	for _, address := range []string{v.options.PeerAddress, v.options.MetricsAddress} {
		if status, page := get(address, "/metrics"); status != http.StatusOK || !strings.Contains(page, "yuccaroute") {
			t.Errorf("metrics: %d %.100s", status, page)
		}
	}
	if status, _ := get(v.options.MetricsAddress, "/snapshot"); status != http.StatusNotFound {
		t.Errorf("%d for the copy on the metrics' port", status)
	}
}

// away is a store that answers no call.
type away struct{ store.KV }

func (away) List(context.Context, string) (store.Listing, error) {
	return store.Listing{}, store.ErrUnavailable
}
func (away) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	return 0, store.ErrUnavailable
}
func (away) Watch(context.Context, string, store.Revision) (store.Batch, error) {
	return store.Batch{}, store.ErrUnavailable
}

// The store turns one VM away and serves the other. The first one is not listed, but it
// hears the other, so that it serves the configuration and follows its changes.
func TestFollowsAnotherVMWithoutTheStore(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "/p/")
	served := f.start("a", "n1", f.kv)
	until(t, "never served", is(served.options.EntryAddress, "/p/x", http.StatusOK))
	alone := f.start("b", "n2", away{f.kv})
	// The other one is told of it as if it had been listed before it was turned away.
	f.put("vm/b", alone.options.VM)
	until(t, "the VM without the store never served", is(alone.options.EntryAddress, "/p/x", http.StatusOK))
	f.configure(2, "/q/")
	until(t, "the change never came", is(alone.options.EntryAddress, "/q/x", http.StatusOK))
}

// A VM stops as planned. Callers are named the other one at once, requests are served
// until it no longer listens, and it is off the list.
func TestPlannedStop(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "/p/")
	a, b := f.start("a", "n1", f.kv), f.start("b", "n1", f.kv)
	both := a.options.EntryAddress + "," + b.options.EntryAddress
	reverse := b.options.EntryAddress + "," + a.options.EntryAddress
	until(t, "the directory never named both", func() bool {
		_, body := get(a.options.DirectoryAddress, "/resolve?zone=n1&region=n")
		return body == both || body == reverse
	})
	stopped := make(chan struct{})
	go func() { a.Shutdown(); close(stopped) }()
	until(t, "the directory names a VM that leaves", func() bool {
		_, body := get(b.options.DirectoryAddress, "/resolve?zone=n1&region=n")
		return body == b.options.EntryAddress
	})
	if status, _ := get(a.options.ReadyAddress, "/ready"); status != http.StatusServiceUnavailable {
		t.Error("ready while leaving")
	}
	if status, _ := get(a.options.EntryAddress, "/p/x"); status != http.StatusOK {
		t.Errorf("%d for a caller that had not asked again", status)
	}
	<-stopped
	if _, err := f.kv.Get(context.Background(), "vm/a"); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("still listed: %v", err)
	}
}

// A VM of a large region stops as planned while other VMs work on requests of its callers.
// It gets no digests from then on, so that all others seemed to be unresponsive after 1.5 s,
// and it gave up the requests that they had. Their callers get the answers.
func TestPlannedStopWaitsForOwners(t *testing.T) {
	const vms, requests, work = 10, 12, 2400 * time.Millisecond
	f := newFleet(t)
	f.configure(1, "/p/")
	var all []*vm
	for i := range vms {
		all = append(all, f.start(fmt.Sprint("vm-", i), "n1", f.kv))
	}
	leaver := all[vms-1]
	until(t, "the directory never named all VMs", func() bool {
		_, body := get(leaver.options.DirectoryAddress, "/resolve?zone=n1&region=n")
		return strings.Count(body, ",") == vms-1
	})
	f.mu.Lock()
	f.work, f.served = work, 0
	f.mu.Unlock()
	statuses := make(chan int, requests)
	for i := range requests {
		go func() {
			status, _ := getKey(leaver.options.EntryAddress, "/p/x", fmt.Sprint("key-", i))
			statuses <- status
		}()
	}
	until(t, "the target never got a request", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.served > 0
	})
	go leaver.Shutdown()
	for range requests {
		// Some are refused, as the only target is full; none may be lost.
		if status := <-statuses; status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Errorf("status %d", status)
		}
	}
}
