package inifile

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Kind is a type of value.
type Kind interface {
	// Valid reports whether the text is a permitted value.
	Valid(text string) bool
	// Permitted describes the permitted values in a few words.
	Permitted() string
}

// Number is a decimal number in a range.
type Number struct{ Min, Max float64 }

// Valid implements Kind.
func (n Number) Valid(text string) bool {
	v, err := strconv.ParseFloat(text, 64)
	return err == nil && !math.IsNaN(v) && v >= n.Min && v <= n.Max
}

// Permitted implements Kind.
func (n Number) Permitted() string {
	return fmt.Sprintf("a number from %s to %s", decimal(n.Min), decimal(n.Max))
}

func decimal(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// Whole is a whole number in a range.
type Whole struct{ Min, Max int64 }

// Valid implements Kind.
func (w Whole) Valid(text string) bool {
	v, err := strconv.ParseInt(text, 10, 64)
	return err == nil && v >= w.Min && v <= w.Max
}

// Permitted implements Kind.
func (w Whole) Permitted() string {
	return fmt.Sprintf("a whole number from %d to %d", w.Min, w.Max)
}

// Choice is one of some words.
type Choice []string

// Valid implements Kind.
func (c Choice) Valid(text string) bool {
	for _, word := range c {
		if word == text {
			return true
		}
	}
	return false
}

// Permitted implements Kind.
func (c Choice) Permitted() string { return strings.Join(c, " or ") }

// YesNo is the words yes and no.
var YesNo = Choice{"yes", "no"}

// Pattern is text that matches an expression.
type Pattern struct {
	Expression *regexp.Regexp
	// Words describes the expression.
	Words string
}

// Valid implements Kind.
func (p Pattern) Valid(text string) bool { return p.Expression.MatchString(text) }

// Permitted implements Kind.
func (p Pattern) Permitted() string { return p.Words }

// NameKind is the name of an object.
var NameKind Kind = nameKind{}

// maxNameBytes bounds a name.
const maxNameBytes = 63

// nameKind is checked by hand, as every section of every document has a name
// and a regular expression took a tenth of the time of a check.
type nameKind struct{}

// Valid implements Kind.
func (nameKind) Valid(text string) bool {
	if text == "" || len(text) > maxNameBytes || !isLetterOrDigit(text[0]) {
		return false
	}
	for i := range len(text) {
		if c := text[i]; !isLetterOrDigit(c) && c != '.' && c != '-' {
			return false
		}
	}
	return true
}

// Permitted implements Kind.
func (nameKind) Permitted() string {
	return "a name of 1 to 63 lower-case letters, digits, dots and hyphens that starts with a letter or digit"
}

func isLetterOrDigit(c byte) bool { return c >= 'a' && c <= 'z' || c >= '0' && c <= '9' }

// PathKind is a URL path.
var PathKind = Pattern{
	regexp.MustCompile(`^/[A-Za-z0-9/_.~%-]{0,255}$`),
	"a path that starts with / and has up to 256 letters, digits and /_.~%-",
}

// FileKind is the path of a file on the VM.
var FileKind = Pattern{regexp.MustCompile(`^[^\x00-\x1f#;"` + "`" + `]{1,1000}$`), "the path of a file"}

// Moment is a point in time.
type Moment struct{}

// Valid implements Kind.
func (Moment) Valid(text string) bool {
	_, err := time.Parse(time.RFC3339, text)
	return err == nil
}

// Permitted implements Kind.
func (Moment) Permitted() string { return "a time such as 2026-03-01T04:30:00Z" }

// Blocks is a list of address blocks separated by commas.
type Blocks struct{}

// Valid implements Kind.
func (Blocks) Valid(text string) bool {
	for _, part := range SplitList(text) {
		prefix, err := netip.ParsePrefix(part)
		if err != nil || prefix != prefix.Masked() {
			return false
		}
	}
	return true
}

// Permitted implements Kind.
func (Blocks) Permitted() string {
	return "address blocks separated by commas, such as 10.1.0.0/16, with no bits set behind the length"
}

// SplitList splits a list separated by commas and drops empty parts.
func SplitList(text string) []string {
	var parts []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// Address is an IP address and port.
type Address struct {
	// AnyPort permits port 0, which lets the system choose.
	AnyPort bool
}

// Valid implements Kind.
func (a Address) Valid(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && (a.AnyPort || addr.Port() != 0)
}

// Permitted implements Kind.
func (a Address) Permitted() string {
	if a.AnyPort {
		return "an IP address and port such as 10.0.0.1:7000"
	}
	return "an IP address and port from 1 to 65535 such as 10.0.0.1:7000"
}
