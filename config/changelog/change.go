package changelog

import (
	"regexp"
	"time"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/inifile"
)

// Kind tells what a change is made to.
type Kind string

// The kinds.
const (
	KindTemplate Kind = "template"
	KindAccount  Kind = "account"
)

// AnySequence as IfSequence makes a change unconditional.
const AnySequence = ^uint64(0)

// Change is one operator's request.
type Change struct {
	// ID names the change. Repeating a change under its ID is safe: it takes
	// effect at most once.
	ID string
	// Who asks, as authenticated.
	Who      string
	Template string
	Kind     Kind
	// Name is the template's or the account's name.
	Name string
	// Text is the new document; it is empty when Delete is set.
	Text   []byte
	Delete bool
	// IfSequence is the sequence of the object's last change that the operator
	// has seen; 0 when the object must not exist, AnySequence for any.
	IfSequence uint64
	// Note is free text for the audit record.
	Note string
}

// Record is a change that took effect.
type Record struct {
	ID       string    `json:"id"`
	Who      string    `json:"who"`
	At       time.Time `json:"at"`
	Kind     Kind      `json:"kind"`
	Name     string    `json:"name"`
	Sequence uint64    `json:"sequence"`
	// Hash names the document, "" for a deletion.
	Hash string `json:"hash,omitempty"`
	// Previous is the ID of the change before this one under the template.
	Previous string `json:"previous,omitempty"`
	Note     string `json:"note,omitempty"`
}

// Deleted reports whether the change deleted the object.
func (r *Record) Deleted() bool { return r.Hash == "" }

const (
	maxNoteBytes = 256
	maxWhoBytes  = 64
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{7,63}$`)

// checked is a change that passed the checks that need no store.
type checked struct {
	Change
	hash     string
	template *config.Template
	account  *config.AccountDocument
}

func checkChange(c Change) (*checked, error) {
	if problems := c.fields(); len(problems) > 0 {
		return nil, problems
	}
	out := &checked{Change: c}
	if c.Delete {
		return out, nil
	}
	out.hash = Hash(c.Text)
	if c.Kind == KindTemplate {
		return out, out.parseTemplate()
	}
	return out, out.parseAccount()
}

func (c *Change) fields() config.Problems {
	var problems config.Problems
	add := func(ok bool, key, value, message, permitted string) {
		if !ok {
			problems = append(problems, config.Problem{File: "change", Key: key, Value: value, Message: message, Permitted: permitted})
		}
	}
	add(idPattern.MatchString(c.ID), "id", c.ID, "wrong identifier", "8 to 64 letters, digits, hyphens and underscores")
	add(len(c.Who) > 0 && len(c.Who) <= maxWhoBytes, "who", c.Who, "wrong identity", "1 to 64 bytes")
	add(c.Kind == KindTemplate || c.Kind == KindAccount, "kind", string(c.Kind), "wrong kind", "template or account")
	add(inifile.NameKind.Valid(c.Name), "name", c.Name, "wrong name", inifile.NameKind.Permitted())
	add(inifile.NameKind.Valid(c.Template), "template", c.Template, "wrong name", inifile.NameKind.Permitted())
	add(c.Kind != KindTemplate || c.Name == c.Template, "template", c.Template, "a template's change names another template", c.Name)
	add(len(c.Note) <= maxNoteBytes, "note", "", "the note is too long", "up to 256 bytes")
	add(c.Delete == (len(c.Text) == 0), "text", "", "a change has a text or deletes", "one of both")
	return problems
}

func (c *checked) parseTemplate() error {
	t, err := config.ParseTemplate(c.file(), c.Text)
	if err != nil {
		return err
	}
	c.template = t
	return c.sameName("template", "name", t.Name, c.Name)
}

func (c *checked) parseAccount() error {
	a, err := config.ParseAccount(c.file(), c.Text)
	if err != nil {
		return err
	}
	c.account = a
	if err := c.sameName("account", "name", a.Name, c.Name); err != nil {
		return err
	}
	return c.sameName("account", "template", a.Template, c.Template)
}

func (c *checked) sameName(section, key, got, want string) error {
	if got == want {
		return nil
	}
	return config.Problems{{
		File: c.file(), Section: section, Key: key, Value: got,
		Message: "the document is for another object than the change", Permitted: want,
	}}
}

func (c *checked) file() string { return fileName(c.Kind, c.Name) }

// fileName names a stored document in problems.
func fileName(kind Kind, name string) string { return string(kind) + " " + name }
