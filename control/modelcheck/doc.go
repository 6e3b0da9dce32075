// Package modelcheck drives the cores of deciders and holders through random pauses,
// partitions, restarts, lost responses, late writes and differing clock rates, and
// checks after every step that no capacity is exceeded. It contains only tests;
// docs/design/0008-grants.md describes what it covers.
package modelcheck
