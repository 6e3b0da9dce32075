package render

import (
	"fmt"
	"io"
	"time"

	"github.com/goccy/go-json"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/wire"
)

// Format is how answers are written.
type Format string

// The formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Printer writes answers.
type Printer struct {
	out    io.Writer
	format Format
}

// New returns a printer to out.
func New(out io.Writer, format Format) *Printer { return &Printer{out: out, format: format} }

// print writes the value as JSON, or as people calls for.
func (p *Printer) print(value any, people func()) error {
	if p.format != JSON {
		people()
		return nil
	}
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write JSON")
}

func (p *Printer) linef(format string, args ...any) { fmt.Fprintf(p.out, format+"\n", args...) }

// table begins a table with its columns.
func (p *Printer) table(columns ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(p.out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row(columns))
	return t
}

// source warns of an answer from memory.
func (p *Printer) source(s wire.Source) {
	if s.FromMemory {
		p.linef("The store does not answer; this is what the node read %s ago.", milliseconds(s.AgeMS))
	}
}

func milliseconds(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func moment(t time.Time) string { return t.UTC().Format(time.RFC3339) }
