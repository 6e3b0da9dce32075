package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/config/settings"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/store"
)

// Options are what a node is made from.
type Options struct {
	// Settings tell who the node is and where everything is.
	Settings *settings.Settings
	Logger   *logrus.Logger
	// Store and Lister replace the adapters that Settings describe, for
	// platforms with another protocol; nil takes the adapters.
	Store  store.KV
	Lister membership.Lister
	// Dial opens connections to targets and to other nodes; nil takes TCP. It
	// is for networks with delays or faults of their own.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Incarnation names this life of the process; 0 draws a random one. Two
	// lives of one VM must differ, since grants belong to one life.
	Incarnation uint64
	// Clock is what grants expire by; nil takes time.Now. See api/clock.
	Clock func() time.Time
	// After times the notice of a planned stop; nil takes time.After.
	After func(time.Duration) <-chan time.Time
}

func (o Options) withDefaults() (Options, error) {
	if o.Settings == nil {
		return o, errors.New("node: settings are missing")
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.After == nil {
		o.After = time.After
	}
	for o.Incarnation == 0 {
		o.Incarnation = rand.Uint64()
	}
	return o, nil
}

func (o *Options) id() grant.NodeID {
	return grant.NodeID{VM: o.Settings.Node.VM, Incarnation: o.Incarnation}
}
