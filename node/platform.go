package node

import (
	"time"

	"github.com/yuccaroute/yuccaroute/config/settings"
	"github.com/yuccaroute/yuccaroute/membership/httplist"
	"github.com/yuccaroute/yuccaroute/membership/view"
	"github.com/yuccaroute/yuccaroute/platform/kvclient"
	"github.com/yuccaroute/yuccaroute/store/paced"
)

// storeBurst is how many calls may go to the store at once before the rate
// bounds them, in seconds of the rate.
const storeBurst = 2

// openPlatform makes the adapters to the platform's services. They connect
// when first used: a node starts while the platform is out.
func (n *Node) openPlatform() error {
	if err := n.openStore(); err != nil {
		return err
	}
	lister := n.options.Lister
	if lister == nil {
		adapter := httplist.New(httplist.Options{
			Address: n.options.Settings.Platform.VMList.String(),
			Path:    n.options.Settings.Platform.VMListPath,
			Timeout: n.options.Settings.Platform.CallTimeout,
		})
		n.closers = append(n.closers, adapter.Close)
		lister = adapter
	}
	n.lister = lister
	n.view = view.New(view.Options{})
	return nil
}

func (n *Node) openStore() error {
	if n.options.Store != nil {
		n.store = n.options.Store
		return nil
	}
	p := n.options.Settings.Platform
	rate := p.ReadsPerSecond + p.WritesPerSecond
	burst := int(storeBurst*rate) + 1
	client, err := kvclient.New(kvclient.Options{
		Address:   p.Store.String(),
		WatchWait: watchWait(p),
		Timeout:   p.CallTimeout, WatchMargin: p.CallTimeout,
		MaxIdleConns: burst,
		Restored: func(from, to uint64) {
			n.log.WithField("from_era", from).WithField("era", to).
				Warn("store: restored from a copy, it may lack changes that it had acknowledged")
		},
	})
	if err != nil {
		return err
	}
	n.closers = append(n.closers, client.Close)
	n.store, err = paced.New(client, paced.Options{
		Timeout: p.CallTimeout, WatchTimeout: p.WatchTimeout, CallsPerSecond: rate, Burst: burst,
	})
	return err
}

// watchWait is how long the service holds a watch: its answer has as long as that of
// any other call to arrive within the watch's time.
func watchWait(p settings.Platform) time.Duration {
	return min(max(p.WatchTimeout-p.CallTimeout, p.WatchTimeout/2), kvclient.MaxWatchWait)
}
