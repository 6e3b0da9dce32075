package operator

import (
	"context"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/identity"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// identitiesHeader is the first line of the written document of identities.
var identitiesHeader = regexp.MustCompile(`^; yuccaroute: identities at revision (\d+)\r?\n`)

// Identities is a document of identities read from a file.
type Identities struct {
	File     string
	Text     string
	Revision uint64
}

// ReadIdentities reads and checks a file. Its faults are config.Problems.
func ReadIdentities(file string, standardInput io.Reader) (*Identities, error) {
	text, err := readFile(file, standardInput)
	if err != nil {
		return nil, err
	}
	if _, err := identity.Parse(file, text); err != nil {
		return nil, err
	}
	d := &Identities{File: file, Text: string(text)}
	match := identitiesHeader.FindStringSubmatch(d.Text)
	if match == nil {
		return d, nil
	}
	d.Revision, err = strconv.ParseUint(match[1], 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "%s:1: revision", file)
	}
	d.Text = strings.TrimPrefix(d.Text, match[0])
	return d, nil
}

// ExportedIdentities returns a document as ReadIdentities reads it.
func ExportedIdentities(d *wire.IdentitiesDocument) string {
	return fmt.Sprintf("; yuccaroute: identities at revision %d\n%s", d.Revision, d.Text)
}

// Identities returns the document in force.
func (n *Nodes) Identities(ctx context.Context) (*wire.IdentitiesDocument, error) {
	return Read(ctx, n, func(ctx context.Context, api *client.Client) (*wire.IdentitiesDocument, error) {
		return api.Identities(ctx)
	})
}

// PutIdentities replaces the document that is at the revision; 0 creates it.
//
// The API keeps no change identifier for this document. After a lost answer it
// is read back: the text in force settles it only when it is the one sent.
func (n *Nodes) PutIdentities(ctx context.Context, d *Identities) (*wire.IdentitiesDocument, error) {
	match := client.Created()
	if d.Revision != 0 {
		match = client.At(d.Revision)
	}
	var last error
	for _, i := range n.order() {
		answer, err := call(ctx, n, i, func(ctx context.Context, api *client.Client) (*wire.IdentitiesDocument, error) {
			return api.PutIdentities(ctx, match, d.Text)
		})
		if err == nil {
			return answer, nil
		}
		if outcomeUnknown(err) {
			return n.readBack(ctx, d, err)
		}
		if ctx.Err() != nil || !anotherMayAnswer(err) {
			return nil, err
		}
		n.passed(n.list[i].Address, err)
		last = err
	}
	return nil, n.unavailable(last)
}

func outcomeUnknown(err error) bool {
	var answer *wire.Error
	return errors.As(err, &answer) && answer.Outcome == result.Unknown.String()
}

func (n *Nodes) readBack(ctx context.Context, d *Identities, cause error) (*wire.IdentitiesDocument, error) {
	current, err := n.Identities(ctx)
	if err == nil && current.Text == d.Text {
		return current, nil
	}
	return nil, &UnknownIdentitiesError{Cause: cause}
}

// UnknownIdentitiesError tells that the document of identities may or may not
// have been replaced.
type UnknownIdentitiesError struct{ Cause error }

// Error implements error.
func (e *UnknownIdentitiesError) Error() string {
	return "it is not known whether the identities were replaced: " + e.Cause.Error()
}

// Unwrap gives the cause.
func (e *UnknownIdentitiesError) Unwrap() error { return e.Cause }
