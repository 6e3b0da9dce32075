package operator

import (
	"strings"

	"github.com/google/uuid"
)

const (
	// maxIDBytes is the longest identifier that the API takes.
	maxIDBytes = 64
	// randomDigits is how many hexadecimal digits tell changes of one object
	// apart.
	randomDigits = 24
)

// NewChangeID returns an identifier that names the object, so that the outcome
// of a change can be asked for by the identifier alone.
func NewChangeID(o Object) string {
	random := strings.ReplaceAll(uuid.NewString(), "-", "")[:randomDigits]
	id := string(o.Kind) + "-" + o.Name + "-" + random
	if len(id) > maxIDBytes || strings.Contains(o.Name, ".") {
		return random
	}
	return id
}

// ObjectOf returns the object that an identifier of NewChangeID names.
func ObjectOf(id string) (Object, bool) {
	kind, rest, _ := strings.Cut(id, "-")
	last := strings.LastIndex(rest, "-")
	if last <= 0 {
		return Object{}, false
	}
	o := Object{Kind: Kind(kind), Name: rest[:last]}
	return o, o.Kind == KindTemplate || o.Kind == KindAccount
}
