package inifile

import "strings"

// Format writes a document in canonical form. Parsing the result gives the
// same sections, keys and values; comments are not kept.
func Format(doc *Document) []byte {
	var b strings.Builder
	for i := range doc.Sections {
		if i > 0 {
			b.WriteByte('\n')
		}
		s := &doc.Sections[i]
		b.WriteString("[" + s.Title() + "]\n")
		for _, key := range s.Keys {
			b.WriteString(key.Name + " = " + key.Value + "\n")
		}
	}
	return []byte(b.String())
}
