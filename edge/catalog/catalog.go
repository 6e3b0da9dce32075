// Package catalog turns the store's items into what an entry VM believes:
// configuration, evacuated failure domains, targets and entry VMs.
package catalog

import (
	"encoding/json"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

// missingFor is how long a target stays in use whose registration was found
// missing after the store was away: the store drops registrations while it is
// away, and those of live targets are back within two seconds of its return.
const missingFor = 2 * time.Second

// Codec tells the keys apart and decodes their values.
type Codec interface {
	IsConfig(key string) bool
	Config(value []byte) (*site.Config, error)
	EvacuatedZone(key string) (zone string, ok bool)
	IsTarget(key string) bool
	Target(key string, value []byte) (site.Target, error)
	IsVM(key string) bool
}

// Target is a registered target with the time at which its state was learnt.
type Target struct {
	site.Target
	// ReceivedAt is when the registration came, from which ColdFor counts.
	ReceivedAt time.Time
	// MissingSince is set while the registration is missing after an outage.
	MissingSince time.Time
}

// View is what is believed at one time. It is immutable.
type View struct {
	// Config is nil until one is known.
	Config    *site.Config
	Evacuated map[string]bool
	// Targets are sorted by id, VMs by name.
	Targets []Target
	VMs     []site.VM
}

// Options configure a Catalog.
type Options struct {
	Codec  Codec
	Logger *logrus.Entry
	// Changed is called with each new view, one call at a time.
	Changed func(*View)
	Now     func() time.Time
}

// Catalog is safe for use by several goroutines.
type Catalog struct {
	options Options
	view    atomic.Pointer[View]

	mu        sync.Mutex
	config    *site.Config
	evacuated map[string]bool
	targets   map[string]Target
	vms       map[string]site.VM
	// incarnations and foreign outlive the entries.
	incarnations incarnations
	foreign      recentKeys
	// unknownKinds are the kinds of routes that were logged.
	unknownKinds recentKeys
	// newest is the highest revision of an item taken in.
	newest store.Revision
	// news is what the changes that are being taken in say of targets.
	news targetNews
}

// New returns an empty catalog.
func New(o Options) *Catalog {
	c := &Catalog{
		options:      o,
		evacuated:    make(map[string]bool),
		targets:      make(map[string]Target),
		vms:          make(map[string]site.VM),
		incarnations: make(incarnations),
		foreign:      make(recentKeys),

		unknownKinds: make(recentKeys),
		news:         make(targetNews),
	}
	c.view.Store(&View{})
	return c
}

// View returns the current view.
func (c *Catalog) View() *View { return c.view.Load() }

// Apply takes changes of the store's items in.
func (c *Catalog) Apply(changes []replica.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		c.newest = max(c.newest, change.Entry.Revision)
		if err := c.applyOne(change); err != nil {
			c.options.Logger.WithError(err).WithFields(logrus.Fields{
				"key": change.Entry.Key, "revision": change.Entry.Revision,
			}).Error("catalog: item not understood, the last one stays in force")
		}
	}
	c.news.log(c.options.Logger, len(c.targets), c.newest)
	c.publish()
}

// Expire drops targets that stayed missing for too long.
func (c *Catalog) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gone := 0
	for id, t := range c.targets {
		if !t.MissingSince.IsZero() && now.Sub(t.MissingSince) >= missingFor {
			delete(c.targets, id)
			gone++
			c.news.add(newsNotBack, t.ID)
		}
	}
	if gone > 0 {
		c.news.log(c.options.Logger, len(c.targets), c.newest)
		c.publish()
	}
}

func (c *Catalog) applyOne(change replica.Change) error {
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
	}
	return nil
}

func (c *Catalog) applyEvacuation(zone string, change replica.Change) {
	c.options.Logger.WithFields(logrus.Fields{"zone": zone, "evacuated": !change.Removed, "revision": change.Entry.Revision}).
		Info("catalog: evacuation changed")
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
	if err != nil {
		return err
	}
	c.config = config
	c.options.Logger.WithFields(logrus.Fields{"version": config.Version, "revision": change.Entry.Revision, "routes": len(config.Routes)}).
		Info("catalog: configuration in force")
	c.logUnknownKinds(config)
	return nil
}

// logUnknownKinds tells once of each kind of route that this program does not know.
// Requests of such routes are never sent again, which operators should be told.
func (c *Catalog) logUnknownKinds(config *site.Config) {
	for _, r := range config.Routes {
		if r.UnknownKind == "" || !c.unknownKinds.note(r.UnknownKind) {
			continue
		}
		c.options.Logger.WithFields(logrus.Fields{"kind": r.UnknownKind, "route": r.Name, "version": config.Version}).
			Warn("catalog: kind of route not known, its requests run at most once")
	}
}

func (c *Catalog) applyVM(change replica.Change) error {
	key := change.Entry.Key
	if change.Removed {
		delete(c.vms, key)
		return nil
	}
	var vm site.VM
	if err := json.Unmarshal(change.Entry.Value, &vm); err != nil {
		return errors.Wrap(err, "catalog: entry VM")
	}
	c.vms[key] = vm
	return nil
}

// publish is called with the lock held.
func (c *Catalog) publish() {
	v := &View{Config: c.config, Evacuated: make(map[string]bool, len(c.evacuated))}
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
