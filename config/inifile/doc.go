// Package inifile reads INI documents against a schema. It reports every
// problem of a document at once, each with its file, section, key, line, value
// and the values that are permitted.
package inifile
