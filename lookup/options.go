// Package lookup tells callers which entry VMs to use. Look-ups read an immutable
// snapshot of accounts, client blocks and entry VMs, without locks or allocation;
// writers replace the snapshot as a whole.
package lookup

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/option"
)

// Path is the HTTP path of the look-up endpoint.
const Path = "/v1/lookup"

// DefaultLifetime is the default of Options.Lifetime. The lifetime bounds how long
// a caller that does not fail over keeps using an entry VM that is leaving.
const DefaultLifetime = 2 * time.Second

// Options are the settings of a Lookup.
type Options struct {
	// VM is this node's ID in the VM list. If it is empty, SetLeaving has no
	// effect on answers.
	VM string
	// Region and Place locate this node.
	Region model.RegionName
	Place  model.PlaceName
	// Lifetime is how long a caller may use an answer; 0 means DefaultLifetime.
	Lifetime time.Duration
	// Logger and Scope may be nil.
	Logger logrus.FieldLogger
	Scope  tally.Scope
}

func (o Options) withDefaults() Options {
	option.Default(&o.Lifetime, DefaultLifetime)
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}
