package config

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config/inifile"
)

// spreadDocument is a template or an account's document as it is spread: parsed,
// since reading INI is most of the work of a merge.
type spreadDocument struct {
	Sections []spreadSection `json:"s,omitempty"`
	// Text is the document as written, for one that this release cannot parse: a
	// later release may.
	Text string `json:"t,omitempty"`
	// Regions are those whose caller blocks are content of their own. The sections
	// that list them are left out.
	Regions []model.RegionName `json:"r,omitempty"`
}

type spreadSection struct {
	Kind string `json:"k"`
	Name string `json:"n,omitempty"`
	// Keys alternates names and values.
	Keys []string `json:"v,omitempty"`
}

// hashBytes is the length of the hash in a spread document.
const hashBytes = 8

// EncodeDocument writes a document for spreading between nodes, and the sets of
// caller blocks that it names. The hash names the text; it is carried as it is,
// because the bytes made from one text may differ between releases.
func EncodeDocument(text []byte, hash uint64) ([]byte, []Content, error) {
	doc, problems := inifile.Parse("document", text)
	if len(problems) > 0 {
		body, err := spreadBody(nil, hash, spreadDocument{Text: string(text)})
		return body, nil, err
	}
	sections, blocks := cutBlocks(doc.Sections)
	var contents []Content
	var err error
	if len(blocks) > inlineBlocks {
		contents, err = contentOf(callerSets(blocks))
	} else {
		sections, blocks = doc.Sections, nil
	}
	if err != nil {
		return nil, nil, err
	}
	out := spreadDocument{Regions: regionsOf(blocks)}
	for i := range sections {
		out.Sections = append(out.Sections, spreadSectionOf(&sections[i]))
	}
	body, err := spreadBody(contents, hash, out)
	return body, contents, err
}

// cutBlocks divides a document into the sections that stay and the caller blocks
// of those that do not. Sections that are switched off stay.
func cutBlocks(sections []inifile.Section) (rest []inifile.Section, blocks []model.CallerBlock) {
	for i := range sections {
		list := sections[i].Find(keyBlocks)
		enabled := sections[i].Find(keyEnabled)
		if sections[i].Kind != kindCallers || list == nil || enabled != nil && enabled.Value != "yes" {
			rest = append(rest, sections[i])
			continue
		}
		blocks = append(blocks, blocksOf(sections[i].Name, list.Value)...)
	}
	return rest, blocks
}

func spreadSectionOf(section *inifile.Section) spreadSection {
	out := spreadSection{Kind: section.Kind, Name: section.Name}
	for _, key := range section.Keys {
		out.Keys = append(out.Keys, key.Name, key.Value)
	}
	return out
}

// spreadBody writes the mark and the names as EncodeDivided does, the hash, and
// the document.
func spreadBody(contents []Content, hash uint64, document spreadDocument) ([]byte, error) {
	packed, err := pack(document, "document")
	if err != nil {
		return nil, err
	}
	body := appendNames(nil, contents)
	body = binary.BigEndian.AppendUint64(body, hash)
	return append(body, packed...), nil
}

// DocumentHash returns the hash that a spread document carries.
func DocumentHash(body []byte) (uint64, error) {
	_, rest, err := cutNames(body)
	if err != nil {
		return 0, err
	}
	if len(rest) < hashBytes {
		return 0, errors.New("config: the hash of a document is cut off")
	}
	return binary.BigEndian.Uint64(rest), nil
}

// DecodeTemplate reads a spread template. The error is Problems if the template
// does not pass the checks of this release.
func DecodeTemplate(name string, body []byte) (*Template, error) {
	read, _, err := decodeDocument(body)
	if err != nil {
		return nil, err
	}
	if read.Text != "" {
		return ParseTemplate(name, []byte(read.Text))
	}
	doc, problems := checked(read.document(name), nil, templateSchema, kindTemplate)
	if problems != nil {
		return nil, problems
	}
	return newTemplate(doc, nil), nil
}

// DecodeAccountDocument reads the spread document of an account. What Resolve
// makes of it has CallerSets if its blocks are content of their own. The error
// is Problems if the document does not pass the checks of this release.
func DecodeAccountDocument(name string, body []byte) (*AccountDocument, error) {
	read, sets, err := decodeDocument(body)
	if err != nil {
		return nil, err
	}
	if read.Text != "" {
		return ParseAccount(name, []byte(read.Text))
	}
	doc, problems := checked(read.document(name), nil, accountSchema, kindAccount)
	if problems != nil {
		return nil, problems
	}
	account := newAccountDocument(doc, nil)
	account.callerSets = sets
	account.callerRegions = read.Regions
	return account, nil
}

func decodeDocument(body []byte) (spreadDocument, []content.Name, error) {
	var read spreadDocument
	names, rest, err := cutNames(body)
	if err != nil {
		return read, nil, err
	}
	if len(rest) < hashBytes {
		return read, nil, errors.New("config: the hash of a document is cut off")
	}
	return read, names, unpack(rest[hashBytes:], &read, "document")
}

func (d *spreadDocument) document(file string) *inifile.Document {
	doc := &inifile.Document{File: file, Sections: make([]inifile.Section, len(d.Sections))}
	for i := range d.Sections {
		in, out := &d.Sections[i], &doc.Sections[i]
		out.Kind, out.Name = in.Kind, in.Name
		out.Keys = make([]inifile.Key, 0, len(in.Keys)/2)
		for k := 1; k < len(in.Keys); k += 2 {
			out.Keys = append(out.Keys, inifile.Key{Name: in.Keys[k-1], Value: in.Keys[k]})
		}
	}
	return doc
}

// HasCallers reports whether the template itself lists caller blocks, which its
// accounts may inherit.
func (t *Template) HasCallers() bool {
	for i := range t.doc.Sections {
		if t.doc.Sections[i].Kind == kindCallers {
			return true
		}
	}
	return false
}
