// Package measure does what the bench verbs offer over the bench module:
// saving, loading and comparing results, and checking bounds.
package measure
