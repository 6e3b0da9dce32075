package site

import (
	"fmt"
	"math"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Account is a client account. Callers prove by one of its keys that a request is of the account.
type Account struct {
	Name string
	Keys Secrets
	// Priority 0 is the highest. It ranks before the priority of routes.
	Priority int
	// Rate and Burst limit the requests of the account at all VMs together, in requests per
	// second and in requests. A rate of 0 means no limit.
	Rate, Burst float64
	// Regions lists the regions that may run the account's requests; empty means all.
	Regions []string
	// Fault is why the account cannot be used, "" if it can.
	Fault string
}

// Allows reports whether the account's requests may run in a region.
func (a *Account) Allows(region string) bool { return allows(a.Regions, region) }

// Secrets are texts that must not appear in logs.
type Secrets []string

// Format implements fmt.Formatter and prints only the number of the secrets.
func (s Secrets) Format(f fmt.State, _ rune) { fmt.Fprintf(f, "%d secrets", len(s)) }

// MarshalText implements encoding.TextMarshaler and does not reveal the secrets.
func (s Secrets) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%d secrets", len(s)), nil }

// Faults of accounts and keys.
const (
	faultAccountName = "the name is empty or no value of a header field"
	faultSharedName  = "several accounts have the name"
	faultRate        = "the rate or the burst is not a finite positive number"
	faultKey         = "the key is empty or no value of a header field"
	faultSharedKey   = "several accounts have the key"
)

// SetAccounts sets the accounts of the configuration, which it takes over. Those that cannot be used are left out:
// their keys become refused ones, as does a key of several accounts. No request is then served as one of an account
// that does not hold its key alone, or beyond a limit that cannot be read.
func (c *Config) SetAccounts(accounts []Account) {
	c.HasAccounts = true
	names := make(map[string]int, len(accounts))
	for i := range accounts {
		names[accounts[i].Name]++
		trimKeys(accounts[i].Keys)
	}
	owners := keyOwners(accounts)
	c.Accounts = accounts[:0]
	for i, a := range accounts {
		if a.Fault == "" {
			a.Fault = a.fault(names)
		}
		if a.Fault != "" {
			c.Unusable = append(c.Unusable, Unusable{Item: ItemAccount, Name: a.Name, Row: i, Reason: a.Fault})
			c.RefusedKeys = append(c.RefusedKeys, a.Keys...)
			continue
		}
		a.Keys = c.usableKeys(a, i, owners)
		c.Accounts = append(c.Accounts, a)
	}
}

// fault returns why an account cannot be used; names counts the accounts of each name.
func (a *Account) fault(names map[string]int) string {
	switch {
	case !isFieldValue(a.Name):
		return faultAccountName
	case names[a.Name] > 1:
		return faultSharedName
	case !isQuantity(a.Rate) || !isQuantity(a.Burst):
		return faultRate
	}
	return ""
}

// usableKeys returns the keys that belong to the account at a row alone.
func (c *Config) usableKeys(a Account, row int, owners map[string]int) Secrets {
	keys := a.Keys[:0]
	for _, key := range a.Keys {
		reason := ""
		switch {
		case !isFieldValue(key):
			reason = faultKey
		case owners[key] == sharedKey:
			reason = faultSharedKey
			c.RefusedKeys = append(c.RefusedKeys, key)
		default:
			keys = append(keys, key)
			continue
		}
		c.Unusable = append(c.Unusable, Unusable{Item: ItemKey, Name: a.Name, Row: row, Reason: reason})
	}
	return keys
}

// sharedKey stands for the row of a key that several accounts have.
const sharedKey = -1

// keyOwners returns the row of the account of each key.
func keyOwners(accounts []Account) map[string]int {
	owners := make(map[string]int, 2*len(accounts))
	for i := range accounts {
		for _, key := range accounts[i].Keys {
			if row, known := owners[key]; known && row != i {
				owners[key] = sharedKey
			} else {
				owners[key] = i
			}
		}
	}
	return owners
}

// trimKeys changes keys to what arrives in a header field: blanks and tabs at the ends are no part of a value (RFC 9110,
// section 5.5).
func trimKeys(keys []string) {
	for i, key := range keys {
		keys[i] = trimValue(key)
	}
}

func trimValue(text string) string { return strings.Trim(text, " \t") }

func isQuantity(n float64) bool { return n >= 0 && !math.IsInf(n, 0) && !math.IsNaN(n) }

// isFieldValue reports whether a text arrives unchanged as the value of a header field: see RFC 9110, section 5.5.
func isFieldValue(text string) bool {
	return text != "" && trimValue(text) == text && httpguts.ValidHeaderFieldValue(text)
}
