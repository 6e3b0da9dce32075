// Package config turns the INI documents that operators write (one template
// for each kind of business, one document for each client account) into the
// checked, typed accounts that every other module reads.
//
// An account's document holds only what differs from its template. Both are
// merged key by key, and what is checked is the result of the merge: a value
// that is right alone can be wrong together with the other document.
package config
