package wire

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config"
)

// Source tells where an answer was read.
type Source struct {
	// FromMemory tells that the store did not answer and this is what the node
	// last read.
	FromMemory bool `json:"from_memory"`
	// AgeMS is how long ago the node read it from the store; 0 when it was read
	// for this answer.
	AgeMS int64 `json:"age_ms"`
}

// TemplateList lists templates.
type TemplateList struct {
	Source
	Templates []TemplateEntry `json:"templates"`
}

// TemplateEntry is one template of a list.
type TemplateEntry struct {
	Name string `json:"name"`
	// Sequence is that of the template's last change.
	Sequence uint64 `json:"sequence"`
	Accounts int    `json:"accounts"`
}

// AccountList lists accounts.
type AccountList struct {
	Source
	Accounts []AccountEntry `json:"accounts"`
}

// AccountEntry is one account of a list.
type AccountEntry struct {
	Name     string `json:"name"`
	Template string `json:"template"`
	// Sequence is that of the account's own last change.
	Sequence uint64 `json:"sequence"`
}

// Document is a template or account as written. Its ETag is the sequence.
type Document struct {
	Source
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Template string `json:"template"`
	Sequence uint64 `json:"sequence"`
	// Text is the INI document.
	Text string `json:"text"`
}

// Values lists every value in force of an account and where it came from.
type Values struct {
	Account string              `json:"account"`
	Values  []config.Provenance `json:"values"`
	// Merged is the same as one INI document.
	Merged string `json:"merged"`
}

// LiveList lists the accounts in force on the node that answers.
type LiveList struct {
	Accounts []LiveAccount `json:"accounts"`
}

// LiveAccount is an account in force on the node that answers.
type LiveAccount struct {
	Account  *model.Account `json:"account"`
	Epoch    uint64         `json:"epoch"`
	Sequence uint64         `json:"sequence"`
	// Since is when the node put this state in force.
	Since time.Time `json:"since"`
	// AgeMS is how long ago a watcher that the node knows of last read the store;
	// -1 when it knows of none. What was accepted since may be missing here.
	AgeMS int64 `json:"age_ms"`
}
