// Package modelcheck drives the real cores of deciders and holders through
// random pauses, partitions, restarts, lost answers, late writes and differing
// clock rates, and checks after every step that no capacity is passed. It has
// tests only; docs/design/0008-grants.md tells what it covers.
package modelcheck
