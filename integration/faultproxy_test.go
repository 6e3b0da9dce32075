package integration

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"

	"github.com/Shopify/toxiproxy/v2"

	"github.com/yuccaroute/yuccaroute/standin/loopback"
)

// toxic is one fault on a path, in the form the fault proxy's library reads.
type toxic struct {
	Name       string         `json:"name"`
	Type       string         `json:"type"`
	Stream     string         `json:"stream"`
	Toxicity   float32        `json:"toxicity"`
	Attributes map[string]any `json:"attributes"`
}

// The directions of a path: towards the server and back.
const (
	towards = "upstream"
	back    = "downstream"
)

// cutAfter closes a share of the connections after so many bytes.
func cutAfter(direction string, bytes int, share float32) toxic {
	return toxic{Type: "limit_data", Stream: direction, Toxicity: share, Attributes: map[string]any{"bytes": bytes}}
}

// resetAfter resets a share of the connections after so many milliseconds.
func resetAfter(direction string, ms int, share float32) toxic {
	return toxic{Type: "reset_peer", Stream: direction, Toxicity: share, Attributes: map[string]any{"timeout": ms}}
}

// delay holds data back; jitter makes later data on other connections overtake.
func delay(direction string, ms, jitter int, share float32) toxic {
	return toxic{Type: "latency", Stream: direction, Toxicity: share, Attributes: map[string]any{"latency": ms, "jitter": jitter}}
}

// swallow takes a share of the connections and passes nothing on: half-open.
func swallow(direction string, share float32) toxic {
	return toxic{Type: "timeout", Stream: direction, Toxicity: share, Attributes: map[string]any{"timeout": 0}}
}

// slices passes data on in pieces of a few bytes.
func slices(direction string, bytes int) toxic {
	return toxic{Type: "slicer", Stream: direction, Toxicity: 1, Attributes: map[string]any{"average_size": bytes, "size_variation": bytes / 2, "delay": 50}}
}

// faultProxy stands on the path to one server.
type faultProxy struct {
	t        *testing.T
	name     string
	listen   string
	upstream string
	faults   []toxic
	proxy    *toxiproxy.Proxy
}

func startFaultProxy(t *testing.T, listen, name, upstream string) *faultProxy {
	t.Helper()
	f := &faultProxy{t: t, name: name, listen: listen, upstream: upstream}
	f.start()
	t.Cleanup(func() { f.proxy.Stop() })
	return f
}

func (f *faultProxy) address() netip.AddrPort { return netip.MustParseAddrPort(f.listen) }

// start makes the library's proxy with all its faults in place. The library
// waits for every open connection when a fault is added or removed, while
// connections that end wait for it: under load the two can wait for each other
// for ever. So a running proxy's faults are never changed.
func (f *faultProxy) start() {
	f.t.Helper()
	f.proxy = toxiproxy.NewProxy()
	f.proxy.Name, f.proxy.Listen, f.proxy.Upstream = f.name, f.listen, f.upstream
	for _, fault := range f.faults {
		fault.Name = fault.Type + " " + fault.Stream
		text, err := json.Marshal(fault)
		if err != nil {
			f.t.Fatal(err)
		}
		if _, err := f.proxy.Toxics.AddToxicJson(strings.NewReader(string(text))); err != nil {
			f.t.Fatalf("%s: %s: %v", f.name, text, err)
		}
	}
	f.restore()
}

// add puts faults on the path. Connections that are open are cut.
func (f *faultProxy) add(faults ...toxic) {
	f.t.Helper()
	f.cut()
	f.faults = append(f.faults, faults...)
	f.start()
}

// clear takes all faults off. Connections that are open are cut.
func (f *faultProxy) clear() {
	f.t.Helper()
	if len(f.faults) == 0 {
		return
	}
	f.cut()
	f.faults = nil
	f.start()
}

// cut closes all connections of the path and refuses new ones.
func (f *faultProxy) cut() { f.proxy.Stop() }

// restore ends a cut.
func (f *faultProxy) restore() {
	f.t.Helper()
	if err := loopback.Rebind(f.proxy.Start); err != nil {
		f.t.Fatal(err)
	}
}
