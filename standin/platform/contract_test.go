package platform_test

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/platform/kvclient"
	"github.com/yuccaroute/yuccaroute/standin/platform"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/memkv"
	"github.com/yuccaroute/yuccaroute/store/storetest"
)

func start(t *testing.T, options platform.Options) *platform.Server {
	t.Helper()
	httpserver.QuietLibraryLogs()
	options.Address = "127.0.0.1:0"
	s := platform.New(options)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop() })
	return s
}

func connect(t *testing.T, s *platform.Server) *kvclient.Client {
	t.Helper()
	return connectWithTimeout(t, s, kvclient.DefaultTimeout)
}

func connectWithTimeout(t *testing.T, s *platform.Server, timeout time.Duration) *kvclient.Client {
	t.Helper()
	c, err := kvclient.New(kvclient.Options{Address: s.Addr(), Timeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// The contract does not bound the time of a call.
func TestContractOverHTTP(t *testing.T) {
	storetest.Run(t, func(t *testing.T) store.KV {
		s := start(t, platform.Options{Store: memkv.Options{
			WatchWait:     50 * time.Millisecond,
			HistoryEvents: storetest.HistoryEvents,
		}})
		return connectWithTimeout(t, s, time.Minute)
	})
}
