package source

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/store"
)

// KeyPrefix is the prefix of the keys of the emitted items.
const KeyPrefix = "account/"

// HeadKeyPrefix is the prefix of the keys of items that tell the newest state
// of each template's head. Pass them to Learn.
const HeadKeyPrefix = "head/"

// Learn tells a guard of a head's state that another node has read, so that a
// process which starts after the store went back does not take the store's
// older state for the newest. The arguments are those of an item whose key has
// HeadKeyPrefix.
func Learn(guard *changelog.Guard, key string, epoch, sequence uint64, body []byte) {
	guard.Learn(strings.TrimPrefix(key, HeadKeyPrefix), changelog.Sighting{
		Version: changelog.Version{Epoch: epoch, Sequence: sequence},
		Last:    string(body),
	})
}

// Key returns the key of an account's item.
func Key(account string) string { return KeyPrefix + account }

// Emit takes an item. A nil body tells that the account was deleted. The content
// that an account names is emitted after it.
type Emit = func(key string, epoch, sequence uint64, body []byte)

// Source emits accounts. Run it from one goroutine at a time.
type Source struct {
	form   Form
	kv     store.KV
	log    *changelog.Log
	logger logrus.FieldLogger
	// emitted holds the version last emitted for each item of this run.
	emitted map[string]changelog.Version
	// synced and lastRead are read by other goroutines than that of Run.
	synced   atomic.Bool
	lastRead atomic.Pointer[time.Time]
}

// New returns a source that reads documents through log and watches kv. It emits
// accounts merged.
func New(kv store.KV, log *changelog.Log, logger logrus.FieldLogger) *Source {
	return NewIn(Accounts, kv, log, logger)
}

// NewIn is New with the form in which accounts are emitted.
func NewIn(form Form, kv store.KV, log *changelog.Log, logger logrus.FieldLogger) *Source {
	if logger == nil {
		logger = logrus.StandardLogger()
	}
	return &Source{form: form, kv: kv, log: log, logger: logger}
}

// Run emits every account and then every change until the context ends or the
// store cannot be read. Emitting an item again is harmless, as receivers order
// items by their versions; run it again after a pause.
func (s *Source) Run(ctx context.Context, emit Emit) error {
	s.emitted = map[string]changelog.Version{}
	s.synced.Store(false)
	for {
		at, err := s.list(ctx, emit)
		if err != nil {
			return err
		}
		s.answered()
		s.synced.Store(true)
		if err := s.watch(ctx, at, emit); err != nil {
			return err
		}
	}
}

// Synced reports whether the last Run has emitted all there was, which may be
// nothing.
func (s *Source) Synced() bool { return s.synced.Load() }

// LastRead returns when the store last answered; it is zero before the first
// answer. While nothing changes it is up to one waiting time of a watch ago.
func (s *Source) LastRead() time.Time {
	if at := s.lastRead.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (s *Source) answered() {
	now := time.Now()
	s.lastRead.Store(&now)
}

// list reads all heads.
func (s *Source) list(ctx context.Context, emit Emit) (store.Revision, error) {
	seen := s.log.Guard().All()
	listing, err := s.kv.List(ctx, changelog.HeadPrefix)
	if err != nil {
		return 0, errors.Wrap(err, "config: list heads")
	}
	for i := range listing.Entries {
		entry := &listing.Entries[i]
		template := changelog.TemplateOf(entry.Key)
		if err := s.value(ctx, template, seen[template].Version, entry.Value, emit); err != nil {
			return 0, err
		}
		delete(seen, template)
	}
	for template := range seen {
		if err := s.reread(ctx, template, emit); err != nil {
			return 0, err
		}
	}
	return listing.At, nil
}

// watch follows changes of heads. It returns nil when the heads must be listed
// again.
func (s *Source) watch(ctx context.Context, after store.Revision, emit Emit) error {
	for {
		batch, err := s.kv.Watch(ctx, changelog.HeadPrefix, after)
		if err != nil {
			return errors.Wrap(err, "config: watch heads")
		}
		s.answered()
		if batch.Reset || batch.At < after {
			return nil
		}
		for _, event := range newest(batch.Events) {
			if err := s.event(ctx, event, emit); err != nil {
				return err
			}
		}
		after = batch.At
	}
}

// newest keeps the last event of each key: a head includes all that the
// earlier ones did.
func newest(events []store.Event) []store.Event {
	last := map[string]int{}
	for i := range events {
		last[events[i].Entry.Key] = i
	}
	var out []store.Event
	for i := range events {
		if last[events[i].Entry.Key] == i {
			out = append(out, events[i])
		}
	}
	return out
}

func (s *Source) event(ctx context.Context, event store.Event, emit Emit) error {
	template := changelog.TemplateOf(event.Entry.Key)
	if event.Deleted {
		return s.reread(ctx, template, emit)
	}
	seen := s.log.Guard().Seen(template)
	return s.value(ctx, template, seen.Version, event.Entry.Value, emit)
}

// value takes a head's value. One that is older than what was seen is either
// an event that a read has overtaken, or the store went back; only another
// read can tell.
func (s *Source) value(ctx context.Context, template string, seen changelog.Version, value []byte, emit Emit) error {
	head, err := changelog.DecodeHead(value)
	if err != nil {
		s.logger.Errorf("config: template %s: %v; the accounts in force stay", template, err)
		return nil
	}
	if head.Less(seen) || s.log.Guard().Forks(template, head.Sighting()) {
		return s.reread(ctx, template, emit)
	}
	s.log.Guard().Learn(template, head.Sighting())
	return s.head(ctx, template, head, emit)
}

// reread reads a head and, if the store went back, puts the newest state back
// into it. Where that is not possible the accounts in force stay.
func (s *Source) reread(ctx context.Context, template string, emit Emit) error {
	head, err := s.log.RawHead(ctx, template)
	var back *changelog.WentBackError
	if errors.As(err, &back) {
		s.logger.Errorf("config: %v; the accounts in force stay", err)
		head, err = s.repair(ctx, template)
	}
	switch {
	case errors.Is(err, store.ErrUnavailable):
		return err
	case err != nil:
		s.logger.Errorf("config: template %s is not as it was seen: %v; the accounts in force stay", template, err)
		return nil
	}
	return s.head(ctx, template, head, emit)
}

func (s *Source) repair(ctx context.Context, template string) (*changelog.Head, error) {
	err := s.log.Repair(ctx, template)
	// Another watcher may have been faster, and a lost answer may hide a
	// success; the next read tells.
	if err != nil && !store.IsConflict(err) && !errors.Is(err, store.ErrUnknown) {
		return nil, err
	}
	s.logger.Warnf("config: the newest known state of template %s was put back into the store", template)
	return s.log.RawHead(ctx, template)
}

// sighting tells all nodes which state of the head is the newest, for their
// guards.
func (s *Source) sighting(template string, seen changelog.Sighting, emit Emit) {
	s.item(HeadKeyPrefix+template, seen.Version, []byte(seen.Last), emit)
}

func (s *Source) accounts(ctx context.Context, template string, head *changelog.Head, emit Emit) error {
	var parsed *config.Template
	for _, name := range head.AccountNames() {
		version := head.ItemVersion(name)
		key := Key(name)
		if !s.emitted[key].Less(version) {
			continue
		}
		if parsed == nil {
			var err error
			if parsed, err = s.log.ParsedTemplate(ctx, head, template); err != nil {
				return err
			}
		}
		body, contents, err := s.body(ctx, head, parsed, name, version)
		if isProblems(err) {
			s.logger.Errorf("config: account %s at %s does not pass the checks of this version of the program: %v; the account in force stays", name, version, err)
			continue
		}
		if err != nil {
			return err
		}
		s.itemWith(contents, key, version, body, emit)
	}
	return nil
}

// body encodes an account and the content that it names. It depends on the head's
// content alone, so that all watchers emit the same bytes for a version.
func (s *Source) body(ctx context.Context, head *changelog.Head, template *config.Template, name string, version changelog.Version) ([]byte, []config.Content, error) {
	document, err := s.log.ParsedAccount(ctx, head, name)
	if err != nil {
		return nil, nil, err
	}
	resolved, err := config.Resolve(template, document)
	if err != nil {
		return nil, nil, err
	}
	resolved.Account.Revision = version.Sequence
	return config.EncodeDivided(resolved.Account)
}

func isProblems(err error) bool {
	var problems config.Problems
	return errors.As(err, &problems)
}
