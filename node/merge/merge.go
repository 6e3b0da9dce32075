package merge

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// The merger pauses after so much work, so that requests wait little for it and it
// takes at most about a tenth of a core: one account is some 0.13 ms of processor.
// Work is counted and not timed. On a busy machine the merger waits for its turn;
// a pause in proportion to that would hold a change back by seconds.
const (
	accountsAtOnce = 16
	pauseTime      = 18 * time.Millisecond
	// looksPerAccount is how many documents cutOf looks at in the time of one merge.
	looksPerAccount = 100
)

// State names what an account in force was made from.
type State struct {
	Version changelog.Version
	// Cut tells that the state is of a cut. An account that arrived merged has none,
	// nor the hashes of its texts.
	Cut                bool
	Template, Document uint64
}

// Replaces reports whether the state takes the place of one in force. A cut's
// state of the same version and other texts does: two histories of a store that
// went back can claim one version, and the items settle on the same one at every
// node.
func (s State) Replaces(old State) bool {
	return old.Version.Less(s.Version) || s.Cut && old.Version == s.Version && old != s
}

// Accounts are the accounts in force on the node.
type Accounts interface {
	// State returns the state of an account that is in force or was deleted.
	State(account model.AccountName) (State, bool)
	// Put puts an account in force. The bodies are those of its CallerSets. The
	// error tells that it is not in force.
	Put(account *model.Account, callers [][]byte, state State) error
	// Remove takes an account out of force.
	Remove(account model.AccountName, state State)
}

// Merger merges documents in one goroutine.
type Merger struct {
	items    func() *item.Snapshot
	accounts Accounts
	log      logrus.FieldLogger
	// atOnce is accountsAtOnce, pause is pauseTime.
	atOnce int
	pause  time.Duration
	// looked and done count documents and accounts since the last pause. Run owns
	// them.
	looked, done int

	mu sync.Mutex
	// changed holds the templates of which an item arrived.
	changed map[string]bool
	// merged holds the item of the last cut of each template that is in force.
	merged map[string]item.Item
	wake   chan struct{}
}

// New returns a merger of the items that a node holds.
func New(items func() *item.Snapshot, accounts Accounts, log logrus.FieldLogger) *Merger {
	return &Merger{
		items:    items,
		accounts: accounts,
		log:      log,
		atOnce:   accountsAtOnce,
		pause:    pauseTime,
		changed:  map[string]bool{},
		merged:   map[string]item.Item{},
		wake:     make(chan struct{}, 1),
	}
}

// OnItem tells that an item arrived that has to do with documents.
func (m *Merger) OnItem(it item.Item) {
	_, rest, _ := strings.Cut(it.Key, "/")
	template, _, _ := strings.Cut(rest, "/")
	m.mu.Lock()
	m.changed[template] = true
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Settled reports whether the merger has put in force every cut that the node
// holds, or what of it can be read.
func (m *Merger) Settled() bool {
	cuts := m.items().Prefix(source.CutKeyPrefix)
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range cuts {
		head, err := source.DecodeCut(cuts[i].Body)
		if err == nil && head.Merged && m.merged[cuts[i].Key].Sum != cuts[i].Sum {
			return false
		}
	}
	return true
}

// Run merges until the context ends.
func (m *Merger) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for _, template := range m.takeChanged() {
			m.merge(ctx, template)
		}
	}
}

func (m *Merger) takeChanged() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	templates := slices.Sorted(maps.Keys(m.changed))
	clear(m.changed)
	return templates
}

// merge puts the newest cut in force. While it pauses, a newer one may arrive; it
// goes on with that.
func (m *Merger) merge(ctx context.Context, template string) {
	c, found := m.look(template)
	for found && ctx.Err() == nil {
		next := m.put(ctx, template, c)
		if next == nil {
			break
		}
		c = next
	}
	// While thousands of documents arrive, each arrival asks for a look at all.
	m.yield(ctx)
}

// look returns the newest cut of a template if the node holds all of it.
func (m *Merger) look(template string) (*cut, bool) {
	c, found := cutOf(m.items(), template)
	if c != nil {
		m.looked += len(c.documents)
	}
	return c, found
}

// put puts the accounts of one cut in force. It returns a newer cut if one is
// there before it is done.
func (m *Merger) put(ctx context.Context, template string, c *cut) *cut {
	for i := range c.documents {
		m.document(c, template, &c.documents[i])
		if !m.yield(ctx) {
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if next, found := m.newer(template, c); found {
			return next
		}
	}
	m.mu.Lock()
	m.merged[c.item.Key] = c.item
	m.mu.Unlock()
	next, _ := m.newer(template, c)
	return next
}

// yield pauses if the merger has worked enough since the last pause, and reports
// whether it did.
func (m *Merger) yield(ctx context.Context) bool {
	if m.done+m.looked/looksPerAccount < m.atOnce {
		return false
	}
	m.done, m.looked = 0, 0
	wait.For(ctx, m.pause)
	return true
}

// document puts the state that a cut gives one account in force, unless that or a
// later one is.
func (m *Merger) document(c *cut, template string, d *document) {
	name := model.AccountName(d.account)
	state := c.state(d)
	if old, known := m.accounts.State(name); known && !state.Replaces(old) {
		return
	}
	if d.item.Deleted {
		m.accounts.Remove(name, state)
		return
	}
	m.done++
	if err := m.account(c, template, d, state); err != nil {
		m.log.WithError(err).WithField("account", name).Error("merge: cannot merge an account; the one in force stays")
	}
}

// newer returns another cut than c if an item arrived since.
func (m *Merger) newer(template string, c *cut) (*cut, bool) {
	m.mu.Lock()
	changed := m.changed[template]
	delete(m.changed, template)
	m.mu.Unlock()
	if !changed {
		return nil, false
	}
	next, found := m.look(template)
	if !found || next.item.Sum == c.item.Sum {
		return nil, false
	}
	return next, true
}

// template returns the cut's template, which it reads once.
func (c *cut) template(name string) (*config.Template, error) {
	if c.parsed != nil || c.unreadable != nil {
		return c.parsed, c.unreadable
	}
	it, _ := c.items.Get(source.TemplateKey(name))
	c.parsed, c.unreadable = config.DecodeTemplate("template "+name, it.Body)
	return c.parsed, c.unreadable
}

// account merges one account and puts it in force. A document that this release
// cannot read leaves the account as it is: it was checked before it was accepted,
// so it comes from a newer release, and the older state is better than none.
func (m *Merger) account(c *cut, template string, d *document, state State) error {
	parsedTemplate, err := c.template(template)
	if err != nil {
		return err
	}
	parsed, err := config.DecodeAccountDocument("account "+d.account, d.item.Body)
	if err != nil {
		return err
	}
	resolved, err := config.Resolve(parsedTemplate, parsed)
	if err != nil {
		return err
	}
	account := resolved.Account
	account.Revision = state.Version.Sequence
	callers := make([][]byte, 0, len(account.CallerSets))
	for _, name := range account.CallerSets {
		// A snapshot that shows a document shows its content.
		it, ok := c.items.Get(name.Key())
		if !ok {
			return errors.New("merge: the caller blocks are not held")
		}
		callers = append(callers, it.Body)
	}
	return m.accounts.Put(account, callers, state)
}
