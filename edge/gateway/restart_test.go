package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// A target stops and starts again under its id, at another address. Callers got 503 until
// the program was restarted, because connections were kept by the id alone and went on
// being opened to the address of the start before.
func TestRestartedTargetIsReachedWhereItIsNow(t *testing.T) {
	first, second := startTarget(t, "a", ok), startTarget(t, "a", ok)
	f := newGateway(t, first)
	if a := f.ask(context.Background(), "GET", "/safe/x", "1", time.Second, ""); a.Status != 200 {
		t.Fatalf("%d before the restart", a.Status)
	}
	v := &catalog.View{Config: &site.Config{
		Version: 3, Services: map[string]site.Service{"s": {Name: "s", MaxConnections: 100}},
	}}
	v.Targets = []catalog.Target{{Target: site.Target{
		ID: "a", Service: "s", Address: second.listener.Addr().String(), Zone: "z", Slots: 4, StartedMillis: 9,
	}}}
	first.listener.Close()
	f.SetView(v, time.Now())
	if a := f.ask(context.Background(), "GET", "/safe/x", "2", time.Second, ""); a.Status != 200 || second.count() != 1 {
		t.Errorf("%d after the restart, %d requests at the new address", a.Status, second.count())
	}
}
