package spread

import (
	"context"
	"strings"
	"sync"

	"github.com/yuccaroute/yuccaroute/spread/item"
)

// listener is one call to OnItem.
type listener struct {
	prefix string
	fn     func(item.Item)
	// known is false until the listener was given the items that were there.
	known bool
}

// dispatcher calls the listeners from one goroutine, so that they see the
// states of a key in order.
type dispatcher struct {
	hub    *hub
	waiter *waiter

	mu        sync.Mutex
	listeners []*listener
	added     chan struct{}
}

func newDispatcher(h *hub) *dispatcher {
	return &dispatcher{hub: h, waiter: h.wait(), added: make(chan struct{}, 1)}
}

func (d *dispatcher) add(prefix string, fn func(item.Item)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, &listener{prefix: prefix, fn: fn})
	select {
	case d.added <- struct{}{}:
	default:
	}
}

func (d *dispatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.added:
		case <-d.waiter.ready:
		}
		d.deliver()
	}
}

// deliver passes on what changed. A new listener gets instead all items of the
// same cut, so it sees no state twice.
func (d *dispatcher) deliver() {
	changed, snap := d.hub.take(d.waiter)
	d.mu.Lock()
	listeners := d.listeners
	d.mu.Unlock()
	for _, l := range listeners {
		items := changed
		if !l.known {
			items = snap.Prefix(l.prefix)
			l.known = true
		}
		for _, it := range items {
			if strings.HasPrefix(it.Key, l.prefix) {
				l.fn(it)
			}
		}
	}
}
