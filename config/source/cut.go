package source

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/config/changelog"
)

// Prefixes of the keys of items by which nodes merge accounts themselves.
const (
	// TemplateKeyPrefix is that of a template's document.
	TemplateKeyPrefix = "template/"
	// DocumentKeyPrefix is that of an account's document.
	DocumentKeyPrefix = "document/"
	// CutKeyPrefix is that of a Cut.
	CutKeyPrefix = "cut/"
)

// TemplateKey returns the key of a template's document.
func TemplateKey(template string) string { return TemplateKeyPrefix + template }

// DocumentsOf returns the prefix of the keys of all documents of accounts of a
// template.
func DocumentsOf(template string) string { return DocumentKeyPrefix + template + "/" }

// DocumentKey returns the key of an account's document.
func DocumentKey(template, account string) string { return DocumentsOf(template) + account }

// CutKey returns the key of a template's Cut.
func CutKey(template string) string { return CutKeyPrefix + template }

// Cut tells which documents belong together at one version of a head. Items
// spread one by one; a node that holds exactly these documents knows that they
// were accepted together.
//
// It is made from the hashes of texts, not from the bytes of items, which may
// differ between releases, nor from versions alone: after a store went back two
// histories can claim one version.
type Cut struct {
	// Merged is false when the accounts of the template are spread merged. The
	// other fields are 0 then.
	Merged bool
	// TemplateSequence and TemplateHash name the template's document; 0 when the
	// template was deleted.
	TemplateSequence uint64
	TemplateHash     uint64
	// Documents is the sum, modulo 2^64, of DocumentSum over the documents of all
	// accounts in force and all that were deleted. All have the cut's epoch.
	Documents uint64
}

// cutBytes is the length of an encoded Cut.
const cutBytes = 1 + 3*8

// Encode writes the body of the cut's item.
func (c Cut) Encode() []byte {
	body := make([]byte, 1, cutBytes)
	if c.Merged {
		body[0] = 1
	}
	for _, value := range []uint64{c.TemplateSequence, c.TemplateHash, c.Documents} {
		body = binary.BigEndian.AppendUint64(body, value)
	}
	return body
}

// DecodeCut reads what Encode wrote.
func DecodeCut(body []byte) (Cut, error) {
	if len(body) != cutBytes || body[0] > 1 {
		return Cut{}, errors.New("config: the cut is not of this release")
	}
	return Cut{
		Merged:           body[0] == 1,
		TemplateSequence: binary.BigEndian.Uint64(body[1:]),
		TemplateHash:     binary.BigEndian.Uint64(body[9:]),
		Documents:        binary.BigEndian.Uint64(body[17:]),
	}, nil
}

// DocumentSum returns a document's part of Cut.Documents. The hash is that which
// its body carries, 0 for an account that was deleted at the sequence.
func DocumentSum(account string, sequence, hash uint64) uint64 {
	text := binary.BigEndian.AppendUint64(nil, sequence)
	text = binary.BigEndian.AppendUint64(text, hash)
	sum := sha256.Sum256(append(text, account...))
	return binary.BigEndian.Uint64(sum[:])
}

// textHash shortens a document's name at the store to what its item carries.
func textHash(object changelog.Object) uint64 {
	sum := sha256.Sum256([]byte(object.Hash))
	return binary.BigEndian.Uint64(sum[:])
}

func cutOf(head *changelog.Head) Cut {
	cut := Cut{Merged: true}
	if head.Template.Hash != "" {
		cut.TemplateSequence, cut.TemplateHash = head.Template.Sequence, textHash(head.Template)
	}
	for name, object := range head.Accounts {
		cut.Documents += DocumentSum(name, object.Sequence, textHash(object))
	}
	for name, sequence := range head.Gone {
		cut.Documents += DocumentSum(name, sequence, 0)
	}
	return cut
}
