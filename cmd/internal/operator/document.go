package operator

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/config"
)

// StandardInput is the file name that stands for it.
const StandardInput = "-"

// header is the first line of an exported file. It tells which state a changed
// file was made from, so that a change made since is not undone unseen.
var header = regexp.MustCompile(`^; yuccaroute: (template|account) (\S+) at sequence (\d+)\r?\n`)

// Document is a template or account read from a file.
type Document struct {
	File   string
	Object Object
	// Text is what is sent, without the header.
	Text string
	// Sequence is that of the header, 0 without one.
	Sequence uint64
}

// ReadDocument reads and checks a file. Its faults are config.Problems with
// the lines of the file.
func ReadDocument(file string, standardInput io.Reader) (*Document, error) {
	text, err := readFile(file, standardInput)
	if err != nil {
		return nil, err
	}
	return ParseDocument(file, text)
}

func readFile(file string, standardInput io.Reader) ([]byte, error) {
	if file == StandardInput {
		text, err := io.ReadAll(standardInput)
		return text, errors.Wrap(err, "read standard input")
	}
	text, err := os.ReadFile(file)
	return text, errors.Wrap(err, "read document")
}

// ParseDocument reads a document from a text.
func ParseDocument(file string, text []byte) (*Document, error) {
	object, err := objectIn(file, text)
	if err != nil {
		return nil, err
	}
	d := &Document{File: file, Object: object, Text: string(text)}
	match := header.FindStringSubmatch(d.Text)
	if match == nil {
		return d, nil
	}
	if match[1] != string(object.Kind) || match[2] != object.Name {
		return nil, errors.Errorf("%s:1: exported from %s %s, but the document is for %s; remove the first line to make another object of it",
			file, match[1], match[2], object)
	}
	d.Sequence, err = strconv.ParseUint(match[3], 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "%s:1: sequence", file)
	}
	d.Text = d.Text[len(match[0]):]
	return d, nil
}

func objectIn(file string, text []byte) (Object, error) {
	if config.IsTemplate(text) {
		template, err := config.ParseTemplate(file, text)
		if err != nil {
			return Object{}, err
		}
		return Object{KindTemplate, template.Name}, nil
	}
	account, err := config.ParseAccount(file, text)
	if err != nil {
		return Object{}, err
	}
	return Object{KindAccount, account.Name}, nil
}

// Exported returns a document with its header, as ParseDocument reads it.
func Exported(o Object, sequence uint64, text string) string {
	return fmt.Sprintf("; yuccaroute: %s at sequence %d\n%s", o, sequence, text)
}

// headerLines is how many lines of the file are not in Text.
func (d *Document) headerLines() int {
	if d.Sequence > 0 {
		return 1
	}
	return 0
}

// WriteBack writes the document with the sequence at which it is in force.
func (d *Document) WriteBack(sequence uint64) error {
	if d.File == StandardInput {
		return errors.New("standard input cannot be written")
	}
	text := Exported(d.Object, sequence, d.Text)
	return errors.Wrap(os.WriteFile(d.File, []byte(text), documentMode), "write document")
}

// documentMode is for files that do not exist any more.
const documentMode = 0o644
