package lease_test

import (
	"context"
	"testing"

	"github.com/yuccaroute/yuccaroute/store/lease"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// BenchmarkHeld measures the check that a holder makes before each operation.
func BenchmarkHeld(b *testing.B) {
	won := make(chan struct{})
	e, err := lease.New(lease.Options{
		KV: memkv.New(memkv.Options{}), Key: key,
		OnWon: func(uint64) { close(won) },
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = e.Run(ctx) }()
	<-won
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := e.Held(); !ok {
			b.Fatal("does not hold the key")
		}
	}
}
