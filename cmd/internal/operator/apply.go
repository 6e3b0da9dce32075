package operator

import (
	"context"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// Base tells which state of the object a change requires.
type Base struct {
	// At is the sequence, 0 for the one of the file's header.
	At uint64
	// Overwrite takes any state.
	Overwrite bool
}

// Applied is what became of a document.
type Applied struct {
	Object Object `json:"object"`
	// Unchanged tells that the text was in force already and nothing was sent.
	Unchanged bool `json:"unchanged"`
	// Sequence is where the text is in force.
	Sequence uint64 `json:"sequence"`
	// Answer is nil when nothing was sent.
	Answer *wire.ChangeAnswer `json:"answer,omitempty"`
}

// Plan is a document compared with what is in force.
type Plan struct {
	Document *Document
	// Current is nil when the object does not exist.
	Current *wire.Document
	match   client.Match
}

// Unchanged tells that the document is in force already.
func (p *Plan) Unchanged() bool {
	return p.Current != nil && p.Current.Text == p.Document.Text
}

// Get returns a document in force.
func (n *Nodes) Get(ctx context.Context, o Object) (*wire.Document, error) {
	return Read(ctx, n, func(ctx context.Context, api *client.Client) (*wire.Document, error) {
		return api.Get(ctx, o.API())
	})
}

// GetAt returns the document that was in force at a sequence of the history.
func (n *Nodes) GetAt(ctx context.Context, o Object, sequence uint64) (*wire.Document, error) {
	return Read(ctx, n, func(ctx context.Context, api *client.Client) (*wire.Document, error) {
		return api.GetAt(ctx, o.API(), sequence)
	})
}

// Plan reads what is in force and finds the precondition of the change. The
// error is a BaseError when an object exists and nothing tells which state the
// document was made from.
func (n *Nodes) Plan(ctx context.Context, d *Document, base Base) (*Plan, error) {
	current, err := n.Get(ctx, d.Object)
	if err != nil && codeOf(err) != result.NotFound {
		return nil, err
	}
	p := &Plan{Document: d}
	if err == nil {
		p.Current = current
	}
	p.match, err = matchOf(p, base)
	if err != nil && !p.Unchanged() {
		return nil, err
	}
	return p, nil
}

func matchOf(p *Plan, base Base) (client.Match, error) {
	sequence := base.At
	if sequence == 0 {
		sequence = p.Document.Sequence
	}
	switch {
	case base.Overwrite:
		return client.Overwrite(), nil
	case sequence != 0:
		return client.At(sequence), nil
	case p.Current == nil:
		return client.Created(), nil
	}
	return client.Match{}, &BaseError{Object: p.Document.Object, Current: p.Current.Sequence}
}

// Apply makes a planned change. id "" makes one.
func (n *Nodes) Apply(ctx context.Context, p *Plan, id, note string) (*Applied, error) {
	d := p.Document
	if p.Unchanged() {
		return &Applied{Object: d.Object, Unchanged: true, Sequence: p.Current.Sequence}, nil
	}
	if id == "" {
		id = NewChangeID(d.Object)
	}
	answer, err := n.Do(ctx, Change{Object: d.Object, ID: id, Send: func(ctx context.Context, api *client.Client) (*wire.ChangeAnswer, error) {
		return api.Put(ctx, d.Object.API(), p.match, wire.ChangeRequest{ID: id, Text: d.Text, Note: note})
	}})
	if err != nil {
		return nil, d.refused(err)
	}
	return &Applied{Object: d.Object, Sequence: answer.Change.Sequence, Answer: answer}, nil
}

// DryRun tells what a planned change would do.
func (n *Nodes) DryRun(ctx context.Context, p *Plan) (*wire.Preview, error) {
	d := p.Document
	preview, err := Read(ctx, n, func(ctx context.Context, api *client.Client) (*wire.Preview, error) {
		return api.DryRun(ctx, d.Object.API(), p.match, wire.ChangeRequest{ID: NewChangeID(d.Object), Text: d.Text})
	})
	if err != nil {
		return nil, d.refused(err)
	}
	return preview, nil
}

// refused names the file and its lines in the problems that a node found.
func (d *Document) refused(err error) error {
	var answer *wire.Error
	if !errors.As(err, &answer) {
		return err
	}
	for i := range answer.Problems {
		p := &answer.Problems[i]
		if p.File != d.Object.String() {
			continue
		}
		p.File = d.File
		if p.Line > 0 {
			p.Line += d.headerLines()
		}
	}
	return &RefusedError{Document: d, Cause: err}
}
