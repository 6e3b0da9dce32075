package spread

import (
	"context"
	"strings"
	"sync"

	"github.com/yuccaroute/yuccaroute/spread/item"
)

// listener is one OnItem registration.
type listener struct {
	prefix string
	fn     func(item.Item)
	// initialized is set once the listener has received the existing items.
	initialized bool
}

// dispatcher calls all listeners from one goroutine, so that they see the
// states of a key in order.
type dispatcher struct {
	hub   *hub
	queue *changeQueue

	mu        sync.Mutex
	listeners []*listener
	added     chan struct{}
}

func newDispatcher(h *hub) *dispatcher {
	return &dispatcher{hub: h, queue: h.subscribe(), added: make(chan struct{}, 1)}
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
		case <-d.queue.ready:
		}
		d.deliver()
	}
}

// deliver passes changed items to the listeners. A new listener gets all items
// of the same snapshot instead, so it sees no state twice.
func (d *dispatcher) deliver() {
	changed, snap := d.hub.take(d.queue)
	d.mu.Lock()
	listeners := d.listeners
	d.mu.Unlock()
	for _, l := range listeners {
		items := changed
		if !l.initialized {
			items = snap.Prefix(l.prefix)
			l.initialized = true
		}
		for _, it := range items {
			if strings.HasPrefix(it.Key, l.prefix) {
				l.fn(it)
			}
		}
	}
}
