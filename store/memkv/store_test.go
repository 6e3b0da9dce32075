package memkv_test

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/memkv"
	"github.com/yuccaroute/yuccaroute/store/storetest"
)

func TestContract(t *testing.T) {
	storetest.Run(t, func(*testing.T) store.KV {
		return memkv.New(memkv.Options{
			WatchWait:     50 * time.Millisecond,
			HistoryEvents: storetest.HistoryEvents,
		})
	})
}
