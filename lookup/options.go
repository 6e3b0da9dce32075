// Package lookup answers callers' question which entry VM to use. It reads
// one immutable snapshot of accounts, client blocks and entry VMs, which
// writers replace as a whole: a look-up takes no lock and allocates nothing.
package lookup

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/option"
)

// Path is the HTTP path of the look-up.
const Path = "/v1/lookup"

// DefaultLifetime is how long callers may keep an answer when Options names
// none. It bounds how long a caller that does not fail over goes on choosing
// an entry VM that is leaving.
const DefaultLifetime = 2 * time.Second

// Options are the settings of a Lookup.
type Options struct {
	// VM is this node's identifier in the VM list. Without it SetLeaving has no
	// effect on answers.
	VM string
	// Region and Place are where this node runs.
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
