package inifile

import (
	"bufio"
	"bytes"
	"strings"
)

// sectionLines holds where one section and its keys stand.
type sectionLines struct {
	title string
	line  int
	keys  map[string]int
}

// lineIndex finds lines, which the INI library does not report. It is used
// for messages only and never for values.
type lineIndex []sectionLines

func indexLines(text []byte) lineIndex {
	index := lineIndex{{keys: map[string]int{}}}
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, MaxDocumentBytes+1)
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if title, isHeader := headerOf(line); isHeader {
			index = append(index, sectionLines{title: title, line: n, keys: map[string]int{}})
			continue
		}
		key, _, found := strings.Cut(line, "=")
		if found {
			index[len(index)-1].keys[strings.TrimSpace(key)] = n
		}
	}
	return index
}

// next returns the lines of the first section of that title that was not
// returned yet.
func (x lineIndex) next(title string) sectionLines {
	for i := 1; i < len(x); i++ {
		if x[i].title == title {
			x[i].title = ""
			return x[i]
		}
	}
	return sectionLines{}
}

func (x lineIndex) outside() sectionLines { return x[0] }

// lineOf returns the line that holds exactly this content, or 0.
func lineOf(text []byte, content string) int {
	content = strings.Trim(content, `"`)
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) == content && content != "" {
			return i + 1
		}
	}
	return 0
}
