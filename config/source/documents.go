package source

import (
	"context"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
)

// Form tells in which items a source emits accounts.
type Form uint8

const (
	// Accounts emits each account merged with its template: a change of a template
	// emits all its accounts.
	Accounts Form = iota
	// Documents emits documents as they change, and a Cut for each state of a
	// head. Nodes merge them. The accounts of a template that lists caller blocks
	// are emitted merged nevertheless: the blocks that an account inherits cannot
	// be named by its document.
	Documents
	// Both emits both, for nodes that do not know of documents.
	Both
)

// head emits what changed in one head.
func (s *Source) head(ctx context.Context, template string, head *changelog.Head, emit Emit) error {
	s.log.Remember(template, head)
	documents, err := s.inDocuments(ctx, template, head)
	if err != nil {
		return err
	}
	if documents {
		if err := s.documents(ctx, template, head, emit); err != nil {
			return err
		}
	}
	if !documents || s.form == Both {
		if err := s.merged(ctx, template, head, emit); err != nil {
			return err
		}
	}
	if s.form != Accounts {
		cut := Cut{}
		if documents {
			cut = cutOf(head)
		}
		s.item(CutKey(template), head.Version, cut.Encode(), emit)
	}
	s.sighting(template, head.Sighting(), emit)
	return nil
}

// inDocuments reports whether the accounts of a head are emitted as documents.
func (s *Source) inDocuments(ctx context.Context, template string, head *changelog.Head) (bool, error) {
	if s.form == Accounts || head.Template.Hash == "" {
		return s.form != Accounts, nil
	}
	parsed, err := s.log.ParsedTemplate(ctx, head, template)
	if isProblems(err) {
		return true, nil
	}
	return err == nil && !parsed.HasCallers(), err
}

// merged emits the accounts of a head merged with the template.
func (s *Source) merged(ctx context.Context, template string, head *changelog.Head, emit Emit) error {
	for name, sequence := range head.Gone {
		s.item(Key(name), changelog.Version{Epoch: head.Epoch, Sequence: sequence}, nil, emit)
	}
	return s.accounts(ctx, template, head, emit)
}

// documents emits the documents of a head that changed. Their versions have the
// head's epoch: after an owner adopted an older state of the store, its documents
// must be newer than those of the state that was given up.
func (s *Source) documents(ctx context.Context, template string, head *changelog.Head, emit Emit) error {
	if head.Template.Hash != "" {
		if err := s.document(ctx, TemplateKey(template), head.Epoch, head.Template, emit); err != nil {
			return err
		}
	}
	for name, sequence := range head.Gone {
		s.item(DocumentKey(template, name), changelog.Version{Epoch: head.Epoch, Sequence: sequence}, nil, emit)
	}
	for _, name := range head.AccountNames() {
		if err := s.document(ctx, DocumentKey(template, name), head.Epoch, head.Accounts[name], emit); err != nil {
			return err
		}
	}
	return nil
}

func (s *Source) document(ctx context.Context, key string, epoch uint64, object changelog.Object, emit Emit) error {
	version := changelog.Version{Epoch: epoch, Sequence: object.Sequence}
	if !s.emitted[key].Less(version) {
		return nil
	}
	text, err := s.log.Text(ctx, object.Hash)
	if err != nil {
		return err
	}
	body, contents, err := config.EncodeDocument(text, textHash(object))
	if err != nil {
		return err
	}
	s.itemWith(contents, key, version, body, emit)
	return nil
}

// itemWith emits an item and the contents that it names.
func (s *Source) itemWith(contents []config.Content, key string, version changelog.Version, body []byte, emit Emit) {
	s.item(key, version, body, emit)
	for i := range contents {
		emit(contents[i].Name.Key(), 0, 0, contents[i].Body)
	}
}

// item emits an item unless this run has.
func (s *Source) item(key string, version changelog.Version, body []byte, emit Emit) {
	if !s.emitted[key].Less(version) {
		return
	}
	emit(key, version.Epoch, version.Sequence, body)
	s.emitted[key] = version
}
