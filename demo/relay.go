package demo

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/pkg/errors"
)

// The library's names of the two directions and of its delay.
const (
	streamUp     = "upstream"
	streamDown   = "downstream"
	toxicLatency = "latency"
)

// startRelay returns a relay to a server at a free port.
func startRelay(name, upstream string) (*toxiproxy.Proxy, error) {
	relay := toxiproxy.NewProxy()
	relay.Name = name
	relay.Listen = "127.0.0.1:0"
	relay.Upstream = upstream
	if err := relay.Start(); err != nil {
		return nil, errors.Wrap(err, "demo: start a relay")
	}
	return relay, nil
}

// latency is the form in which the library reads a delay.
type latency struct {
	Name       string            `json:"name"`
	Type       string            `json:"type"`
	Stream     string            `json:"stream"`
	Attributes latencyAttributes `json:"attributes"`
}

type latencyAttributes struct {
	Latency int64 `json:"latency"`
}

// addLatency delays one direction; the library counts whole milliseconds, so
// that the delay within a region rounds to 1 ms in one direction and 0 in the
// other.
func addLatency(relay *toxiproxy.Proxy, stream string, oneWay time.Duration) error {
	millis := oneWay.Milliseconds()
	if stream == streamUp && oneWay%time.Millisecond != 0 {
		millis++
	}
	if millis == 0 {
		return nil
	}
	text, err := json.Marshal(latency{
		Name:       "latency " + stream,
		Type:       toxicLatency,
		Stream:     stream,
		Attributes: latencyAttributes{Latency: millis},
	})
	if err != nil {
		return err
	}
	_, err = relay.Toxics.AddToxicJson(strings.NewReader(string(text)))
	return err
}
