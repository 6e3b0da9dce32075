package measure

import (
	"testing"
	"time"
)

// A small fleet goes through all phases over real connections. Nothing may be
// lost, and the watchers must be the planned few.
func TestSmallFleet(t *testing.T) {
	p, err := Run(t.Context(), Config{
		Nodes:    12,
		Items:    50,
		Changes:  12,
		IdleTime: 100 * time.Millisecond,
		BusyTime: 300 * time.Millisecond,
		Settle:   500 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if p.Watchers != 6 {
		t.Errorf("%d watchers", p.Watchers)
	}
	if lost := p.Quiet.Lost + p.Killed.Lost + p.Hung.Lost; lost > 0 {
		t.Errorf("%d changes lost", lost)
	}
	if p.Busy.BytesPerNode <= 0 || p.Busy.BytesWorstNode < p.Busy.BytesPerNode {
		t.Errorf("bytes: %+v", p.Busy)
	}
}
