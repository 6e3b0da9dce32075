package wire

import (
	"time"

	"github.com/yuccaroute/yuccaroute/config"
)

// ChangeRequest asks for a change of a template or an account.
type ChangeRequest struct {
	// ID names the change, so that it can be repeated safely and asked for.
	// The node makes one when it is empty; a lost answer then takes the
	// identifier with it.
	ID string `json:"id,omitempty"`
	// Text is the new INI document; it is not used by a deletion.
	Text string `json:"text,omitempty"`
	// Note is kept in the audit record.
	Note string `json:"note,omitempty"`
}

// RollBackRequest asks to put an earlier document in force again.
type RollBackRequest struct {
	ID   string `json:"id,omitempty"`
	Note string `json:"note,omitempty"`
	// ToSequence selects the document that was in force at this sequence.
	ToSequence uint64 `json:"to_sequence"`
}

// DrainRequest plans a drain. The times are RFC 3339.
type DrainRequest struct {
	ID    string    `json:"id,omitempty"`
	Note  string    `json:"note,omitempty"`
	Place string    `json:"place"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
	Until time.Time `json:"until"`
}

// DrainList lists the planned drains of an account.
type DrainList struct {
	Account string `json:"account"`
	// Sequence is the account's; give it as If-Match to plan or cancel.
	Sequence uint64  `json:"sequence"`
	Drains   []Drain `json:"drains"`
}

// Drain is one planned drain.
type Drain struct {
	Name   string    `json:"name"`
	Place  string    `json:"place"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
	Until  time.Time `json:"until"`
	Origin string    `json:"origin"`
}

// ChangeAnswer tells that a change is in force.
type ChangeAnswer struct {
	Change Change `json:"change"`
	// Repeated tells that it had taken effect before this request.
	Repeated bool `json:"repeated"`
}

// Change is an audit record.
type Change struct {
	ID       string    `json:"id"`
	Who      string    `json:"who"`
	At       time.Time `json:"at"`
	Template string    `json:"template"`
	Kind     string    `json:"kind"`
	Name     string    `json:"name"`
	Sequence uint64    `json:"sequence"`
	Deleted  bool      `json:"deleted"`
	Note     string    `json:"note,omitempty"`
}

// History lists changes, newest first.
type History struct {
	Changes []Change `json:"changes"`
}

// Outcome answers whether a change took effect.
type Outcome struct {
	ID string `json:"id"`
	// State is "in-force" or "not-seen". A change that is not seen may still
	// take effect while its sender tries; repeating it settles the matter.
	State  string  `json:"state"`
	Change *Change `json:"change,omitempty"`
}

// States of an Outcome.
const (
	OutcomeInForce = "in-force"
	OutcomeNotSeen = "not-seen"
)

// Preview tells what a change would do.
type Preview struct {
	Accounts []AccountPreview `json:"accounts"`
	// MoreAccounts counts accounts that would change besides those listed.
	MoreAccounts int `json:"more_accounts"`
}

// AccountPreview is what a change would do to one account.
type AccountPreview struct {
	Account string              `json:"account"`
	Values  []config.Difference `json:"values"`
	// Forecast is nil when there is nothing to forecast from; ForecastMissing
	// then tells why.
	Forecast        *Forecast `json:"forecast,omitempty"`
	ForecastMissing string    `json:"forecast_missing,omitempty"`
}

// Forecast is what steering expects to do after a change.
type Forecast struct {
	Moves []ForecastMove `json:"moves"`
	// MovedPercent is the part of the account's traffic that moves in all.
	MovedPercent float64 `json:"moved_percent"`
	// DurationMS is how long the moves take within the account's cap.
	DurationMS int64 `json:"duration_ms"`
	// CapacityHolds tells whether every capacity and link holds during and
	// after the moves, given the demand now; Reasons tells why not.
	CapacityHolds bool     `json:"capacity_holds"`
	Reasons       []string `json:"reasons,omitempty"`
	// PictureAgeMS is the age of the measurements; -1 when there are none.
	PictureAgeMS int64 `json:"picture_age_ms"`
}

// ForecastMove is a change of one share.
type ForecastMove struct {
	Service     string  `json:"service"`
	Caller      string  `json:"caller"`
	Place       string  `json:"place"`
	FromPercent float64 `json:"from_percent"`
	ToPercent   float64 `json:"to_percent"`
}

// AdoptRequest asks to take the store's state for the newest.
type AdoptRequest struct {
	ID   string `json:"id,omitempty"`
	Note string `json:"note,omitempty"`
}

// AdoptAnswer tells the version that the adopted state has now.
type AdoptAnswer struct {
	ID       string `json:"id"`
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}
