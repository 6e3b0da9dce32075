package config_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config"
)

// bytesPerBlockMax is what a decoded caller block may hold in memory: 48 bytes
// of model.CallerBlock, rounded up by the allocator's size classes.
const bytesPerBlockMax = 56

// Decoded caller blocks must hold neither spare capacity nor copies of the names of regions, which
// exceed the memory of a VM at 330,000 blocks.
func TestDecodedBlocksHoldNoSpareRoom(t *testing.T) {
	const blocks = 50_000
	account := &model.Account{Name: "large", Regions: []model.Region{{Name: "kr-seoul"}}}
	for i := range blocks {
		text := fmt.Sprintf("10.%d.%d.0/24", i>>8, i&255)
		account.Callers = append(account.Callers, model.CallerBlock{Prefix: netip.MustParsePrefix(text), Region: "kr-seoul"})
	}
	body, err := config.Encode(account)
	if err != nil {
		t.Fatal(err)
	}
	decoded, before := decodeAndCollect(t, body)
	after := heapInUse()
	runtime.KeepAlive(decoded)
	perBlock := float64(after-before) / blocks
	t.Logf("%.1f bytes a block stay in use", perBlock)
	if perBlock > bytesPerBlockMax {
		t.Fatalf("more than %d bytes a block stay in use", bytesPerBlockMax)
	}
}

// decodeAndCollect returns an account and the heap in use before it was made.
func decodeAndCollect(t *testing.T, body []byte) (*model.Account, int64) {
	t.Helper()
	before := heapInUse()
	decoded, err := config.Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	return decoded, before
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
