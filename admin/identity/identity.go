package identity

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
)

// Role tells what an identity may do with the objects in its scope.
type Role string

// The roles, each with the rights of the one before it.
const (
	// RoleReader may read.
	RoleReader Role = "reader"
	// RoleOperator may also change.
	RoleOperator Role = "operator"
	// RoleOwner may also read and change identities.
	RoleOwner Role = "owner"
)

// All in a scope stands for every object.
const All = "*"

// Identity is one caller. It is immutable.
type Identity struct {
	Name string
	Role Role
	// Accounts and Templates name what the identity may touch. Changing a
	// template changes all its accounts, so it has a scope of its own.
	Accounts  []string
	Templates []string
	hash      [sha256.Size]byte
}

// MayTouchAccount reports whether an account is in scope.
func (i *Identity) MayTouchAccount(name string) bool { return inScope(i.Accounts, name) }

// MayTouchTemplate reports whether a template is in scope.
func (i *Identity) MayTouchTemplate(name string) bool { return inScope(i.Templates, name) }

// MayChange reports whether the role permits changes.
func (i *Identity) MayChange() bool { return i.Role == RoleOperator || i.Role == RoleOwner }

func inScope(scope []string, name string) bool {
	return slices.Contains(scope, All) || slices.Contains(scope, name)
}

// Set is all identities. It is immutable.
type Set struct{ identities []Identity }

// Len returns the number of identities.
func (s *Set) Len() int { return len(s.identities) }

// Match returns the identity of a token, or nil.
//
// The hashes are compared in constant time and all of them are, so that the
// time of an answer tells nothing about how close a guessed token is or which
// identity it is for. Hashes without salt are enough because tokens are
// 256 random bits, which cannot be searched for.
func (s *Set) Match(token string) *Identity {
	hash := sha256.Sum256([]byte(token))
	found := -1
	for i := range s.identities {
		equal := subtle.ConstantTimeCompare(hash[:], s.identities[i].hash[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return nil
	}
	return &s.identities[found]
}

// HasOwner reports whether some identity is an owner.
func (s *Set) HasOwner() bool {
	for i := range s.identities {
		if s.identities[i].Role == RoleOwner {
			return true
		}
	}
	return false
}
