// Package identity tells who calls the administration API and what they may
// touch. Tokens are long random texts; only their hashes are stored.
package identity
