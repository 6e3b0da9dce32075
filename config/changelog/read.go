package changelog

import (
	"context"
	"time"
)

// Cut is a template and all its accounts as they were at one version.
type Cut struct {
	Name string
	Version
	Template Document
	Accounts []Document
	// At is when the cut was read.
	At time.Time
}

// Document is a text in force.
type Document struct {
	Name string
	Text []byte
	// Sequence is the version's sequence at the document's last change; give
	// it as IfSequence of the next one.
	Sequence uint64
}

// Account returns an account of the cut, or nil.
func (c *Cut) Account(name string) *Document {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}

// Read returns a template and its accounts at one cut. Errors: ErrNotFound,
// store.ErrUnavailable, WentBackError.
func (l *Log) Read(ctx context.Context, template string) (*Cut, error) {
	head, err := l.Head(ctx, template)
	if err != nil {
		return nil, err
	}
	cut := &Cut{Name: template, Version: head.Version, At: l.now()}
	if cut.Template, err = l.document(ctx, template, head.Template); err != nil {
		return nil, err
	}
	for _, name := range head.AccountNames() {
		doc, err := l.document(ctx, name, head.Accounts[name])
		if err != nil {
			return nil, err
		}
		cut.Accounts = append(cut.Accounts, doc)
	}
	return cut, nil
}

// Head returns the head of a template, without the texts. Errors: ErrNotFound,
// store.ErrUnavailable, WentBackError.
func (l *Log) Head(ctx context.Context, template string) (*Head, error) {
	head, err := l.RawHead(ctx, template)
	if err != nil {
		return nil, err
	}
	if head.Template.Hash == "" {
		return nil, ErrNotFound
	}
	return head, nil
}

// RawHead is Head also for a template that does not exist, or no longer: its
// head then tells which accounts were deleted.
func (l *Log) RawHead(ctx context.Context, template string) (*Head, error) {
	at, err := l.readHead(ctx, template)
	if err != nil {
		return nil, err
	}
	return at.Head, nil
}

// Text returns a document by its hash.
func (l *Log) Text(ctx context.Context, hash string) ([]byte, error) {
	return l.objects.read(ctx, hash)
}

func (l *Log) document(ctx context.Context, name string, object Object) (Document, error) {
	text, err := l.objects.read(ctx, object.Hash)
	return Document{Name: name, Text: text, Sequence: object.Sequence}, err
}

// Owner returns the template that an account's name is reserved for. Errors:
// store.ErrNotFound, store.ErrUnavailable.
func (l *Log) Owner(ctx context.Context, account string) (string, error) {
	entry, err := l.kv.Get(ctx, ownerKey(account))
	return string(entry.Value), err
}

// Heads returns the heads of all templates in force, sorted by name, with one
// call. Errors: store.ErrUnavailable, WentBackError.
func (l *Log) Heads(ctx context.Context) ([]Remembered, error) {
	seen := l.guard.All()
	listing, err := l.kv.List(ctx, HeadPrefix)
	if err != nil {
		return nil, err
	}
	var heads []Remembered
	for i := range listing.Entries {
		template := TemplateOf(listing.Entries[i].Key)
		head, err := DecodeHead(listing.Entries[i].Value)
		if err != nil {
			return nil, err
		}
		if err := l.guard.Admit(template, seen[template], head.Sighting()); err != nil {
			return nil, err
		}
		l.Remember(template, head)
		if head.Template.Hash != "" {
			heads = append(heads, Remembered{Template: template, Head: head, At: l.now()})
		}
	}
	return heads, nil
}

// Templates returns the names of all templates in force, sorted.
func (l *Log) Templates(ctx context.Context) ([]string, error) {
	heads, err := l.Heads(ctx)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(heads))
	for i := range heads {
		names[i] = heads[i].Template
	}
	return names, nil
}
