package platform_test

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/standin/platform"
	"github.com/yuccaroute/yuccaroute/store"
)

// A client must be told that the service ended during its watch, that a write was not sent while nobody
// listened, and must go on by itself with the next process.
func TestServiceRestarts(t *testing.T) {
	s := start(t, platform.Options{})
	c := connect(t, s)
	ctx := t.Context()
	first, err := c.Swap(ctx, "a", []byte("1"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	watched := make(chan error, 1)
	go func() {
		_, err := c.Watch(ctx, "a", first)
		watched <- err
	}()
	for s.Counters().WatchesWaiting == 0 {
		if _, err := c.Get(ctx, "a"); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Stop(); err != nil {
		t.Fatal(err)
	}
	if err := <-watched; !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("watch ended with %v", err)
	}
	c.Close()
	if _, err := c.Swap(ctx, "a", []byte("2"), first, 0); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("write to nobody: %v", err)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Swap(ctx, "a", []byte("3"), first, 0); err != nil {
		t.Errorf("write after the restart: %v", err)
	}
}

func TestRateRefusals(t *testing.T) {
	s := start(t, platform.Options{WritesPerSecond: 0.001})
	c := connect(t, s)
	first, err := c.Swap(t.Context(), "a", []byte("1"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Swap(t.Context(), "a", []byte("2"), first, 0); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("second write: %v", err)
	}
	if _, err := c.Get(t.Context(), "a"); err != nil {
		t.Errorf("reads have a rate of their own: %v", err)
	}
	if n := s.Counters(); n.RateRefused != 1 || n.Calls["swap"] != 1 {
		t.Errorf("counters %+v, want one refused and one done", n)
	}
}
