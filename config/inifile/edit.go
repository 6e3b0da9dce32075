package inifile

import "strings"

// WithSection returns the text with one section replaced, or added at the end,
// and leaves all else as it was written. No keys remove the section.
// Comments right before the section's header stay.
func WithSection(text []byte, title string, keys []Key) []byte {
	var out []string
	inside := false
	for line := range strings.Lines(string(text)) {
		if name, isHeader := headerOf(line); isHeader {
			inside = name == title
		}
		if !inside {
			out = append(out, line)
		}
	}
	kept := strings.TrimRight(strings.Join(out, ""), "\n") + "\n"
	if len(keys) == 0 {
		return []byte(kept)
	}
	added := Document{Sections: []Section{{Kind: title, Keys: keys}}}
	return []byte(kept + "\n" + string(Format(&added)))
}

// headerOf returns the title of a line that is a section's header.
func headerOf(line string) (string, bool) {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "[") {
		return "", false
	}
	// The INI library takes the last bracket of the line as the closing one.
	end := strings.LastIndexByte(line, ']')
	if end < 0 {
		return "", false
	}
	return normalTitle(line[1:end]), true
}

// normalTitle writes a title with one space between its words, as people may
// write more.
func normalTitle(text string) string { return strings.Join(strings.Fields(text), " ") }
