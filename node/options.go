package node

import (
	"math/rand/v2"

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
	// Incarnation names this life of the process; 0 draws a random one. Two
	// lives of one VM must differ, since grants belong to one life.
	Incarnation uint64
}

func (o Options) withDefaults() (Options, error) {
	if o.Settings == nil {
		return o, errors.New("node: settings are missing")
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	for o.Incarnation == 0 {
		o.Incarnation = rand.Uint64()
	}
	return o, nil
}

func (o *Options) id() grant.NodeID {
	return grant.NodeID{VM: o.Settings.Node.VM, Incarnation: o.Incarnation}
}
