// Package examples holds the documents of two client accounts of different
// businesses. The demonstration runs them, and tests start from them.
package examples

import "embed"

//go:embed *.ini
var files embed.FS

// Names of the documents.
const (
	DealerTemplate    = "dealer"
	DaehanAccount     = "daehan"
	BookingTemplate   = "booking"
	AlpenvliesAccount = "alpenvlies"
)

// Pair is an account and its template.
type Pair struct {
	Template string
	Account  string
}

// Pairs returns both accounts with their templates.
func Pairs() []Pair {
	return []Pair{
		{DealerTemplate, DaehanAccount},
		{BookingTemplate, AlpenvliesAccount},
	}
}

// Text returns the document of a template or account; it panics for a name
// that is not one of the constants.
func Text(name string) []byte {
	text, err := files.ReadFile(name + ".ini")
	if err != nil {
		panic(err)
	}
	return text
}
