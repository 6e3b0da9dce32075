// Package render writes the answers of the administration API for people, as
// tables and sentences, or for programs, as JSON.
package render
