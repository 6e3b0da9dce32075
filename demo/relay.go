package demo

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/pkg/errors"
)

// The library's names of the two directions.
const (
	streamUp   = "upstream"
	streamDown = "downstream"
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

// toxic is the form in which the library reads a delay.
type toxic struct {
	Name       string `json:"name"`
	Type       string `json:"type"`
	Stream     string `json:"stream"`
	Attributes delay  `json:"attributes"`
}

// addLatency delays one direction.
func addLatency(relay *toxiproxy.Proxy, stream string, oneWay time.Duration) error {
	if oneWay == 0 {
		return nil
	}
	text, err := json.Marshal(toxic{
		Name:       toxicDelay + " " + stream,
		Type:       toxicDelay,
		Stream:     stream,
		Attributes: delay{OneWay: oneWay},
	})
	if err != nil {
		return err
	}
	_, err = relay.Toxics.AddToxicJson(strings.NewReader(string(text)))
	return err
}
