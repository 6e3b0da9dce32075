package operator

import (
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/examples"
)

// What export writes is read back byte for byte, with the sequence.
func TestExportRoundTrips(t *testing.T) {
	for _, name := range []string{examples.DaehanAccount, examples.DealerTemplate} {
		text := string(examples.Text(name))
		d, err := ParseDocument(name+".ini", examples.Text(name))
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseDocument(name+".ini", []byte(Exported(d.Object, 7, text)))
		if err != nil {
			t.Fatal(err)
		}
		if again.Text != text || again.Sequence != 7 || again.Object != d.Object {
			t.Errorf("%s came back as %s at %d, same text: %v", d.Object, again.Object, again.Sequence, again.Text == text)
		}
	}
}

// A file exported from one account and renamed inside must not be taken for a
// change of the other account at that account's sequence.
func TestExportOfAnotherObject(t *testing.T) {
	text := Exported(Object{KindAccount, "other"}, 7, string(examples.Text(examples.DaehanAccount)))
	if _, err := ParseDocument("daehan.ini", []byte(text)); err == nil {
		t.Error("a header of another account was taken")
	}
}

// A node counts lines without the header; the operator sees the file's.
func TestProblemsNameTheFile(t *testing.T) {
	d := &Document{File: "daehan.ini", Object: daehan, Sequence: 7}
	answer := &wire.Error{Problems: config.Problems{{File: "account daehan", Line: 4, Message: "wrong"}, {File: "template dealer", Line: 4, Message: "wrong"}}}
	var refused *RefusedError
	if !errors.As(d.refused(answer), &refused) {
		t.Fatal("not a refusal")
	}
	text := answer.Error()
	if !strings.Contains(text, "daehan.ini:5") || !strings.Contains(text, "template dealer:4") {
		t.Error(text)
	}
}

// Identifiers tell their object, also when its name has hyphens.
func TestChangeIDNamesObject(t *testing.T) {
	for _, o := range []Object{daehan, {KindTemplate, "night-shift-2"}} {
		id := NewChangeID(o)
		if got, ok := ObjectOf(id); !ok || got != o {
			t.Errorf("%s names %v, want %v", id, got, o)
		}
	}
	for _, id := range []string{"", "xyz", "account-x", "drain-a-b", NewChangeID(Object{KindAccount, strings.Repeat("x", maxIDBytes)})} {
		if o, ok := ObjectOf(id); ok {
			t.Errorf("%q names %v", id, o)
		}
	}
}
