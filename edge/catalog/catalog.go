// Package catalog decodes the store's items into the state that an entry VM works with:
// configuration, evacuated failure domains, targets and entry VMs.
package catalog

import (
	"encoding/json"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

// Codec classifies keys and decodes their values.
type Codec interface {
	IsConfig(key string) bool
	Config(value []byte) (*site.Config, error)
	EvacuatedZone(key string) (zone string, ok bool)
	IsTarget(key string) bool
	Target(key string, value []byte) (site.Target, error)
	IsVM(key string) bool
	// FleetSizeKey is the key that holds the number of entry VMs.
	FleetSizeKey() string
}

// Target is a registered target with the times of its registration.
type Target struct {
	site.Target
	// ReceivedAt is when the registration was received; ColdFor counts from it.
	ReceivedAt time.Time
	// MissingUntil is set while the registration is missing after an outage: the end of its use.
	MissingUntil time.Time
}

// View is an immutable snapshot of the catalog.
type View struct {
	// Config is nil before the first configuration. ConfigRejected is set if the store's latest one could not be
	// read: Config is then the one before.
	Config         *site.Config
	ConfigRejected bool
	Evacuated      map[string]bool
	// Targets are sorted by ID, VMs by name.
	Targets []Target
	VMs     []site.VM
	// FleetSize is the stored number of entry VMs, 0 for none, at FleetSizeRevision. FleetSizeLost is set if
	// the store had it and lost it.
	FleetSize         int
	FleetSizeRevision store.Revision
	FleetSizeLost     bool
}

// Options configure a Catalog.
type Options struct {
	Codec  Codec
	Logger *logrus.Entry
	// Changed is called with each new view, one call at a time.
	Changed func(*View)
	// Outages tells which registrations an outage of the store may have dropped.
	Outages *Outages
	Now     func() time.Time
}

// Catalog holds the decoded items. It is safe for concurrent use.
type Catalog struct {
	options Options
	view    atomic.Pointer[View]

	mu       sync.Mutex
	config   *site.Config
	configAt store.Revision
	// configRejected is View.ConfigRejected.
	configRejected bool
	evacuated      map[string]bool
	targets        map[string]Target
	vms            map[string]site.VM
	fleetSize      fleetSize
	// registrations are by key. lostEvacuations, by failure domain, and lostVMs, by key, have the end of what
	// the store lost.
	registrations   map[string]registration
	lostEvacuations map[string]time.Time
	lostVMs         map[string]time.Time
	// incarnations and invalidKeys outlive the registrations.
	incarnations incarnations
	invalidKeys  loggedNames
	// loggedKinds are the unknown route kinds that were logged.
	loggedKinds loggedNames
	// revision is the highest revision applied.
	revision store.Revision
	// changes are the target changes since the last log line.
	changes targetChanges
}

// New returns an empty catalog.
func New(o Options) *Catalog {
	c := &Catalog{
		options:      o,
		evacuated:    make(map[string]bool),
		targets:      make(map[string]Target),
		vms:          make(map[string]site.VM),
		incarnations: make(incarnations),
		invalidKeys:  make(loggedNames),
		loggedKinds:  make(loggedNames),
		changes:      make(targetChanges),

		registrations:   make(map[string]registration),
		lostEvacuations: make(map[string]time.Time),
		lostVMs:         make(map[string]time.Time),
	}
	c.view.Store(&View{})
	return c
}

// View returns the current view.
func (c *Catalog) View() *View { return c.view.Load() }

// Apply applies changes of the store.
func (c *Catalog) Apply(changes []replica.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		c.revision = max(c.revision, change.Entry.Revision)
		if err := c.applyOne(change); err != nil {
			c.options.Logger.WithError(err).WithFields(revisionFields(change.Entry.Revision)).WithField("key", change.Entry.Key).
				Error("catalog: invalid item ignored, the previous one stays in force")
		}
	}
	c.changes.log(c.options.Logger, len(c.targets), c.revision)
	c.publish()
}

// Expire drops targets whose registrations have not come back after an outage.
func (c *Catalog) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.expireLost(now)
	for key, t := range c.targets {
		if !t.MissingUntil.IsZero() && !now.Before(t.MissingUntil) {
			c.dropTarget(key, changeExpired, c.registrations[key].at)
			changed = true
		}
	}
	c.forgetDeparted(now)
	if changed {
		c.changes.log(c.options.Logger, len(c.targets), c.revision)
		c.publish()
	}
}

func (c *Catalog) applyOne(change replica.Change) error {
	if change.Lost && c.applyLost(change) {
		return nil
	}
	key := change.Entry.Key
	if zone, ok := c.options.Codec.EvacuatedZone(key); ok {
		c.applyEvacuation(zone, change)
		return nil
	}
	switch codec := c.options.Codec; {
	case codec.IsConfig(key):
		return c.applyConfig(change)
	case codec.IsTarget(key):
		c.applyTarget(change)
		return nil
	case codec.IsVM(key):
		return c.applyVM(change)
	case key == codec.FleetSizeKey():
		return c.applyFleetSize(change)
	}
	return nil
}

func (c *Catalog) applyEvacuation(zone string, change replica.Change) {
	c.options.Logger.WithFields(revisionFields(change.Entry.Revision)).WithFields(logrus.Fields{"zone": zone, "evacuated": !change.Removed}).
		Info("catalog: evacuation changed")
	delete(c.lostEvacuations, zone)
	if change.Removed {
		delete(c.evacuated, zone)
		return
	}
	c.evacuated[zone] = true
}

func (c *Catalog) applyConfig(change replica.Change) error {
	if change.Removed {
		return errors.New("catalog: the configuration was removed")
	}
	config, err := c.options.Codec.Config(change.Entry.Value)
	c.configRejected = err != nil
	if err != nil {
		return err
	}
	if c.keepsConfig(config, change.Entry.Revision) {
		return nil
	}
	c.config, c.configAt = config, change.Entry.Revision
	c.options.Logger.WithFields(revisionFields(c.configAt)).
		WithFields(logrus.Fields{"version": config.Version, "routes": len(config.Routes)}).
		Info("catalog: configuration in force")
	c.logUnknownKinds(config)
	c.logUnusable(config)
	return nil
}

const (
	// maxUnusableLines limits the lines about unusable items of one version.
	maxUnusableLines = 20
	// maxLoggedNameBytes limits the name of an item in a line.
	maxLoggedNameBytes = 128
)

// logUnusable logs the parts of a version that are not in force as configured.
func (c *Catalog) logUnusable(config *site.Config) {
	log := c.options.Logger.WithFields(revisionFields(c.configAt)).WithField("version", config.Version)
	for _, u := range config.Unusable[:min(len(config.Unusable), maxUnusableLines)] {
		name := u.Name[:min(len(u.Name), maxLoggedNameBytes)]
		log.WithFields(logrus.Fields{"item": u.Item, "name": name, "row": u.Row, "reason": u.Reason}).
			Warn("catalog: item of the configuration cannot be used, the others are in force")
	}
	if more := len(config.Unusable) - maxUnusableLines; more > 0 {
		log.WithField("count", more).Warn("catalog: more items of the configuration cannot be used")
	}
}

// logUnknownKinds logs each unknown route kind once: its requests are never retried, which
// operators may not expect.
func (c *Catalog) logUnknownKinds(config *site.Config) {
	for _, r := range config.Routes {
		if r.UnknownKind == "" || !c.loggedKinds.shouldLog(r.UnknownKind) {
			continue
		}
		c.options.Logger.WithFields(logrus.Fields{"kind": r.UnknownKind, "route": r.Name, "version": config.Version}).
			Warn("catalog: unknown route kind, its requests are never retried")
	}
}

func (c *Catalog) applyVM(change replica.Change) error {
	key := change.Entry.Key
	delete(c.lostVMs, key)
	if change.Removed {
		delete(c.vms, key)
		return nil
	}
	var vm site.VM
	if err := json.Unmarshal(change.Entry.Value, &vm); err != nil {
		return errors.Wrap(err, "catalog: decode entry VM")
	}
	c.vms[key] = vm
	return nil
}

// fleetSize is the stored number of entry VMs.
type fleetSize struct {
	vms      int
	revision store.Revision
	// lost is set if the store had the size and lost it.
	lost bool
}

func (c *Catalog) applyFleetSize(change replica.Change) error {
	if change.Removed {
		c.fleetSize = fleetSize{}
		return nil
	}
	vms, err := strconv.Atoi(string(change.Entry.Value))
	if err != nil || vms < 0 {
		return errors.Wrap(errInvalidFleetSize, change.Entry.Key)
	}
	c.fleetSize = fleetSize{vms: vms, revision: change.Entry.Revision}
	return nil
}

var errInvalidFleetSize = errors.New("catalog: the number of entry VMs is not a number")

// publish must be called with the lock held.
func (c *Catalog) publish() {
	v := &View{Config: c.config, ConfigRejected: c.configRejected, Evacuated: make(map[string]bool, len(c.evacuated)),
		FleetSize: c.fleetSize.vms, FleetSizeRevision: c.fleetSize.revision, FleetSizeLost: c.fleetSize.lost}
	for zone := range c.evacuated {
		v.Evacuated[zone] = true
	}
	for _, t := range c.targets {
		v.Targets = append(v.Targets, t)
	}
	sort.Slice(v.Targets, func(i, j int) bool { return v.Targets[i].ID < v.Targets[j].ID })
	for _, vm := range c.vms {
		v.VMs = append(v.VMs, vm)
	}
	sort.Slice(v.VMs, func(i, j int) bool { return v.VMs[i].Name < v.VMs[j].Name })
	c.view.Store(v)
	c.options.Changed(v)
}
