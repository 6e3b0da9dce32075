package site

import (
	"fmt"
	"math"

	"github.com/pkg/errors"
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
}

// Allows reports whether the account's requests may run in a region.
func (a *Account) Allows(region string) bool { return allows(a.Regions, region) }

// Secrets are texts that must not appear in logs.
type Secrets []string

// Format implements fmt.Formatter and prints only the number of the secrets.
func (s Secrets) Format(f fmt.State, _ rune) { fmt.Fprintf(f, "%d secrets", len(s)) }

// MarshalText implements encoding.TextMarshaler and does not reveal the secrets.
func (s Secrets) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%d secrets", len(s)), nil }

// MaxKeyBytes is the maximum length of an account's key.
const MaxKeyBytes = 256

// Errors of ValidateAccounts. They never contain a key.
var (
	ErrAccountName  = errors.New("site: account name is empty, not printable or in use")
	ErrAccountKey   = errors.New("site: account key is empty or too long")
	ErrSharedKey    = errors.New("site: two accounts have the same key")
	ErrAccountQuota = errors.New("site: account rate or burst is not a finite positive number")
)

// ValidateAccounts checks the accounts of one configuration.
func ValidateAccounts(accounts []Account) error {
	names := make(map[string]bool, len(accounts))
	owners := make(map[string]string, 2*len(accounts))
	for i := range accounts {
		a := &accounts[i]
		if !isHeaderText(a.Name) || names[a.Name] {
			return errors.Wrapf(ErrAccountName, "account %d", i)
		}
		names[a.Name] = true
		if !isQuantity(a.Rate) || !isQuantity(a.Burst) {
			return errors.Wrap(ErrAccountQuota, a.Name)
		}
		for _, key := range a.Keys {
			if key == "" || len(key) > MaxKeyBytes {
				return errors.Wrap(ErrAccountKey, a.Name)
			}
			if owner, ok := owners[key]; ok && owner != a.Name {
				return errors.Wrapf(ErrSharedKey, "%s and %s", owner, a.Name)
			}
			owners[key] = a.Name
		}
	}
	return nil
}

func isQuantity(n float64) bool { return n >= 0 && !math.IsInf(n, 0) && !math.IsNaN(n) }

// isHeaderText reports whether a name can be sent unchanged as the value of a header field.
func isHeaderText(name string) bool {
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return false
		}
	}
	return name != ""
}
